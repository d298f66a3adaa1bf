#include "policy/retrybudget.h"

#include <algorithm>
#include <cmath>

namespace magnolia::policy
{

namespace
{

/** Retries that the floor can save up: one, so that a quiet entry can retry the request that fails. */
constexpr double FloorCapacity = 1;

double seconds(MonoClock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

RetryBudget::RetryBudget(const Options &options) : options_(options), floor_(FloorCapacity) {}

void RetryBudget::succeeded(MonoTime now)
{
    advance(now);
    earned_ += options_.share;
}

bool RetryBudget::tryRetry(MonoTime now)
{
    advance(now);
    // The floor goes first, as it fills up again even where nothing succeeds.
    if (floor_ >= 1) {
        floor_ -= 1;
        return true;
    }
    if (earned_ >= 1) {
        earned_ -= 1;
        return true;
    }
    return false;
}

double RetryBudget::available(MonoTime now) const
{
    RetryBudget copy = *this;
    copy.advance(now);
    return copy.earned_ + copy.floor_;
}

void RetryBudget::advance(MonoTime now)
{
    if (now <= updated_) {
        return;
    }
    const double elapsed = seconds(now - updated_);
    updated_ = now;
    // Old successes fade, or an hour of health would pay for a storm of retries in the first minute of an outage.
    earned_ *= std::exp(-elapsed / std::max(seconds(options_.window), 1e-3));
    floor_ = std::min(FloorCapacity, floor_ + elapsed * options_.floorPerSecond);
}

} // namespace magnolia::policy
