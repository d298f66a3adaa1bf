#include "routing/ratelimitshare.h"

#include <algorithm>
#include <random>

namespace magnolia::routing
{

namespace
{

// What is drawn at random comes in clusters: half the stated rate keeps them within what an endpoint bears for some seconds.
constexpr double PartOfLimit = 0.5;

// Of all entries together. An endpoint that takes nothing is asked now and then whether it still says so.
constexpr double LeastPerSecond = 0.1;

constexpr Duration OpenTime{1000};

// So that an interval fits in a duration, whatever the number of entries.
constexpr double LongestIntervalSeconds = 3600;

} // namespace

bool RateLimitShare::state(double perSecond, std::size_t instances, BootTime now, Random &random)
{
    if (isStated_ && perSecond == perSecond_) {
        return false;
    }
    isStated_ = true;
    perSecond_ = perSecond;
    drawNext(instances, now, random);
    return true;
}

bool RateLimitShare::lift()
{
    const bool wasStated = isStated_;
    isStated_ = false;
    return wasStated;
}

bool RateLimitShare::mayUse(std::size_t instances, BootTime now, Random &random)
{
    if (!isStated_) {
        return true;
    }
    if (now >= opensAt_ + OpenTime) {
        drawNext(instances, now, random);
    }
    return now >= opensAt_;
}

void RateLimitShare::use(std::size_t instances, BootTime now, Random &random)
{
    if (isStated_) {
        drawNext(instances, now, random);
    }
}

void RateLimitShare::drawNext(std::size_t instances, BootTime from, Random &random)
{
    const double rate = std::max(perSecond_ * PartOfLimit, LeastPerSecond) / static_cast<double>(std::max<std::size_t>(instances, 1));
    const double seconds = std::exponential_distribution<double>(rate)(random);
    const std::chrono::duration<double> interval(std::min(seconds, LongestIntervalSeconds));
    opensAt_ = from + std::chrono::duration_cast<BootClock::duration>(interval);
}

} // namespace magnolia::routing
