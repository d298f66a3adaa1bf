#ifndef MAGNOLIA_OBSERVE_TIMINGWINDOW_H
#define MAGNOLIA_OBSERVE_TIMINGWINDOW_H

#include "observe/metrics.h"

// Boost copies an accumulator before its cached probability is first set; g++ 12 warns of that within Boost's header.
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#if defined(__GNUC__) && !defined(__clang__)
#pragma GCC diagnostic pop
#endif

#include <vector>

namespace magnolia::observe
{

/** Quantiles of the samples of one window. */
class TimingWindow
{
public:
    TimingWindow();
    void record(double seconds);
    double quantile(double quantile) const;

private:
    using Quantiles = boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::extended_p_square_quantile>>;

    std::vector<double> first_;
    Quantiles quantiles_;
    bool isEstimated_ = false;
};

/** A Timing over two windows that overlap by half: the older one is read, and replaced once it is two windows old. */
class WindowedTiming final : public Timing
{
public:
    WindowedTiming(std::chrono::seconds window, std::function<MonoTime()> now);

    void record(Seconds duration) override;
    Seconds quantile(double quantile) const override;
    std::size_t count() const override;
    double sum() const;

private:
    void rotate() const;

    std::chrono::seconds window_;
    std::function<MonoTime()> now_;
    std::size_t count_ = 0;
    double sum_ = 0;
    // Reading is also when old samples fall out of sight.
    mutable MonoTime rotatedAt_;
    mutable TimingWindow older_;
    mutable TimingWindow newer_;
};

} // namespace magnolia::observe

#endif
