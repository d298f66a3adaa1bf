#include "routing/ratelimitshare.h"

#include <algorithm>
#include <random>

namespace magnolia::routing
{

namespace
{

// Randomly drawn send times cluster. Half the stated rate keeps the clusters within what an endpoint can take for some seconds.
constexpr double LimitFraction = 0.5;

// For all entries together. An endpoint that states a limit of zero still gets an occasional request, to find out whether the limit holds.
constexpr double MinPerSecond = 0.1;

constexpr Duration SendWindow{1000};

// Keeps an interval within the range of a duration for any number of entries.
constexpr double MaxIntervalSeconds = 3600;

} // namespace

bool RateLimitShare::update(double perSecond, std::size_t instances, BootTime now, Random &random)
{
    if (isLimited_ && perSecond == perSecond_) {
        return false;
    }
    isLimited_ = true;
    perSecond_ = perSecond;
    scheduleNext(instances, now, random);
    return true;
}

bool RateLimitShare::clear()
{
    const bool wasLimited = isLimited_;
    isLimited_ = false;
    return wasLimited;
}

bool RateLimitShare::canSend(std::size_t instances, BootTime now, Random &random)
{
    if (!isLimited_) {
        return true;
    }
    if (now >= nextSendAt_ + SendWindow) {
        scheduleNext(instances, now, random);
    }
    return now >= nextSendAt_;
}

void RateLimitShare::consume(std::size_t instances, BootTime now, Random &random)
{
    if (isLimited_) {
        scheduleNext(instances, now, random);
    }
}

void RateLimitShare::scheduleNext(std::size_t instances, BootTime from, Random &random)
{
    const double rate = std::max(perSecond_ * LimitFraction, MinPerSecond) / static_cast<double>(std::max<std::size_t>(instances, 1));
    const double seconds = std::exponential_distribution<double>(rate)(random);
    const std::chrono::duration<double> interval(std::min(seconds, MaxIntervalSeconds));
    nextSendAt_ = from + std::chrono::duration_cast<BootClock::duration>(interval);
}

} // namespace magnolia::routing
