#include "benchsupport.h"

#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <numeric>
#include <random>
#include <utility>

namespace magnolia::bench
{

BenchOptions parseOptions(int argc, char **argv)
{
    static const std::array<option, 3> longOptions = {{
        {"quick", no_argument, nullptr, 'q'},
        {"help", no_argument, nullptr, 'h'},
        {nullptr, 0, nullptr, 0},
    }};
    constexpr int BadUsage = 2;
    BenchOptions options;
    int option = 0;
    while ((option = getopt_long(argc, argv, "qh", longOptions.data(), nullptr)) != -1) {
        if (option == 'q') {
            options.quick = true;
            continue;
        }
        fmt::print("usage: {} [--quick]\n", argv[0]);
        std::exit(option == 'h' ? 0 : BadUsage);
    }
    return options;
}

void report(const Figure &figure)
{
    const bool isMet = figure.kind == GoalKind::AtMost ? figure.value <= figure.goal : figure.value >= figure.goal;
    fmt::print("RESULT {} {:.3f} {} {:.3f} {}{:g} {}\n",
               figure.name,
               figure.value,
               figure.unit,
               figure.baseline,
               figure.kind == GoalKind::AtMost ? "<=" : ">=",
               figure.goal,
               isMet ? "met" : "short");
}

MonoTime EventLoop::now() const
{
    return now_;
}

void EventLoop::at(MonoTime time, std::function<void()> action)
{
    events_.push({.time = std::max(time, now_), .order = ++order_, .action = std::move(action)});
}

void EventLoop::after(double delaySeconds, std::function<void()> action)
{
    at(now_ + fromSeconds(delaySeconds), std::move(action));
}

void EventLoop::runUntil(MonoTime end)
{
    while (!events_.empty() && events_.top().time <= end) {
        // The queue gives no way to move its top out; the action is not part of the order.
        Event event = std::move(const_cast<Event &>(events_.top()));
        events_.pop();
        now_ = event.time;
        event.action();
    }
    now_ = end;
}

bool EventLoop::IsLater::operator()(const Event &left, const Event &right) const
{
    return left.time != right.time ? left.time > right.time : left.order > right.order;
}

double toSeconds(MonoClock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

MonoClock::duration fromSeconds(double value)
{
    return std::chrono::duration_cast<MonoClock::duration>(std::chrono::duration<double>(value));
}

double exponential(double mean, Random &random)
{
    return std::exponential_distribution<double>(1 / mean)(random);
}

double lengthy(double mean, Random &random)
{
    constexpr double Sigma = 0.7;
    return std::lognormal_distribution<double>(std::log(mean) - Sigma * Sigma / 2, Sigma)(random);
}

double percentile(std::span<const double> samples, double share)
{
    if (samples.empty()) {
        return 0;
    }
    std::vector<double> sorted(samples.begin(), samples.end());
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(sorted.begin(), position, sorted.end());
    return *position;
}

double mean(std::span<const double> samples)
{
    return samples.empty() ? 0 : std::accumulate(samples.begin(), samples.end(), 0.0) / static_cast<double>(samples.size());
}

Zipf::Zipf(std::size_t size, double exponent)
{
    double sum = 0;
    for (std::size_t rank = 1; rank <= size; ++rank) {
        sum += std::pow(static_cast<double>(rank), -exponent);
        cumulative_.push_back(sum);
    }
}

std::size_t Zipf::draw(Random &random) const
{
    const double drawn = std::uniform_real_distribution<double>(0, cumulative_.back())(random);
    return static_cast<std::size_t>(std::ranges::lower_bound(cumulative_, drawn) - cumulative_.begin());
}

} // namespace magnolia::bench
