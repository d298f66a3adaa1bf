#include "timingwindow.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace magnolia::observe
{

namespace
{

// P-square needs some samples before its markers mean anything; until then the samples themselves are kept.
constexpr std::size_t ExactSamples = 64;

} // namespace

TimingWindow::TimingWindow()
    : quantiles_(boost::accumulators::extended_p_square_probabilities = std::vector<double>(std::begin(TimingQuantiles), std::end(TimingQuantiles)))
{
}

void TimingWindow::record(double seconds)
{
    quantiles_(seconds);
    if (first_.size() < ExactSamples) {
        first_.push_back(seconds);
    } else {
        isEstimated_ = true;
    }
}

double TimingWindow::quantile(double quantile) const
{
    if (isEstimated_) {
        return boost::accumulators::quantile(quantiles_, boost::accumulators::quantile_probability = quantile);
    }
    if (first_.empty()) {
        return 0;
    }
    std::vector<double> sorted = first_;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

WindowedTiming::WindowedTiming(std::chrono::seconds window, std::function<MonoTime()> now) : window_(window), now_(std::move(now)), rotatedAt_(now_()) {}

void WindowedTiming::record(Seconds duration)
{
    rotate();
    ++count_;
    sum_ += duration.count();
    older_.record(duration.count());
    newer_.record(duration.count());
}

Timing::Seconds WindowedTiming::quantile(double quantile) const
{
    rotate();
    return Seconds(older_.quantile(quantile));
}

std::size_t WindowedTiming::count() const
{
    return count_;
}

double WindowedTiming::sum() const
{
    return sum_;
}

void WindowedTiming::rotate() const
{
    const MonoTime now = now_();
    const auto age = now - rotatedAt_;
    if (age < window_) {
        return;
    }
    older_ = age < 2 * window_ ? std::move(newer_) : TimingWindow();
    newer_ = TimingWindow();
    rotatedAt_ = now;
}

} // namespace magnolia::observe
