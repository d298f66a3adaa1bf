#include "routing/callerdeadlines.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

// A request that states no deadline and whose route has no timeout.
constexpr Duration UsualDeadline{30000};

// For the way to the caller, and a timer that fires late.
constexpr Duration DeadlineMargin{40};

// After the longest of the three without an event callers leave a stream.
constexpr Duration ShortestGap{2000};
constexpr int ObjectivesOfGap = 4; // For the first event.
constexpr int PausesOfGap = 8;

// The caller's gap begins as it connects, which is before its request comes.
constexpr Duration GapMargin{60};

} // namespace

CallerDeadlines::CallerDeadlines(const Options &options)
    : options_(options)
    , timeLimit_(options.callerTimeout.value_or(UsualDeadline))
    , deadline_(options.receivedAt + std::max(timeLimit_ - DeadlineMargin, Duration(0)))
    , gapBegan_(options.receivedAt)
{
}

void CallerDeadlines::applyRoute(const Route &route)
{
    if (route.timeout.count() > 0) {
        deadline_ = std::min(deadline_, options_.receivedAt + route.timeout);
    }
    if (route.kind != RouteKind::Stream) {
        return;
    }
    gap_ = std::max({ShortestGap, route.latencyObjective * ObjectivesOfGap, route.pauseObjective * PausesOfGap});
}

void CallerDeadlines::onEventSent(BootTime now)
{
    gapBegan_ = now;
}

BootTime CallerDeadlines::nextEventDeadline() const
{
    return gap_ ? std::min(deadline_, gapBegan_ + *gap_ - GapMargin) : deadline_;
}

} // namespace magnolia::routing
