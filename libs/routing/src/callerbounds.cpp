#include "routing/callerbounds.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

// A request that states no deadline and whose route has no timeout.
constexpr Duration UsualDeadline{30000};

// For the way to the caller, and a timer that fires late.
constexpr Duration DeadlineMargin{40};

// The caller's gap begins as it connects, which is before its request comes.
constexpr Duration GapMargin{60};

} // namespace

CallerBounds::CallerBounds(const Options &options)
    : options_(options)
    , allowed_(options.stated.value_or(UsualDeadline))
    , deadline_(options.receivedAt + std::max(allowed_ - DeadlineMargin, Duration(0)))
    , gapBegan_(options.receivedAt)
{
}

void CallerBounds::takeRoute(const Route &route)
{
    if (route.timeout.count() > 0) {
        deadline_ = std::min(deadline_, options_.receivedAt + route.timeout);
    }
    if (route.kind != RouteKind::Stream) {
        return;
    }
    const StreamPatience &patience = options_.patience;
    gap_ = std::max({patience.shortest, route.latencyObjective * patience.objectives, route.pauseObjective * patience.pauses});
}

void CallerBounds::eventSent(BootTime now)
{
    gapBegan_ = now;
}

BootTime CallerBounds::nextEventDue() const
{
    return gap_ ? std::min(deadline_, gapBegan_ + *gap_ - GapMargin) : deadline_;
}

} // namespace magnolia::routing
