#include "routing/endpointavailability.h"

#include <algorithm>
#include <random>
#include <utility>

namespace magnolia::routing
{

namespace
{

// An endpoint that needs more rest answers a probe at once; a stream needs about this long to its first event.
constexpr Duration ProbeInterval{250};

// Share of the rest by which its end is delayed at most, and the limit on that for long ones.
constexpr int MaxDelayDivisor = 4;
constexpr Duration MaxDelay{1000};

} // namespace

bool EndpointAvailability::onLeavingStated()
{
    return !std::exchange(isLeaving_, true);
}

void EndpointAvailability::onRestStated(Duration rest, BootTime now, Random &random)
{
    if (rest.count() <= 0) {
        return;
    }
    const Duration maxDelay = std::min(rest / MaxDelayDivisor, MaxDelay);
    const Duration delay(std::uniform_int_distribution<Duration::rep>(0, maxDelay.count())(random));
    restEndsAt_ = std::max(restEndsAt_, now + rest + delay);
    isProbed_ = true;
}

void EndpointAvailability::onNewRun()
{
    isProbed_ = !isUnrestricted();
    isLeaving_ = false;
    restEndsAt_ = {};
}

void EndpointAvailability::onDispatch(BootTime now)
{
    if (isProbed_) {
        nextProbeAt_ = now + ProbeInterval;
    }
}

void EndpointAvailability::onAnswer(BootTime sentAt)
{
    if (sentAt >= restEndsAt_) {
        isProbed_ = false;
    }
}

BootTime EndpointAvailability::nextDispatchAt() const
{
    return isProbed_ ? std::max(restEndsAt_, nextProbeAt_) : restEndsAt_;
}

} // namespace magnolia::routing
