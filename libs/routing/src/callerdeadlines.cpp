#include "routing/callerdeadlines.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

// For callers that send no timeout; the route's timeout applies as well.
constexpr Duration DefaultTimeout{30000};

// Covers the transmission to the caller and late timers.
constexpr Duration DeadlineMargin{40};

// Callers disconnect from a stream after the longest of these three without an event.
constexpr Duration MinGap{2000};
constexpr int GapLatencyObjectives = 4; // The latency objective is for the first event.
constexpr int GapPauseObjectives = 8;

// The caller's gap starts when it connects, which is before its request is received.
constexpr Duration GapMargin{60};

} // namespace

CallerDeadlines::CallerDeadlines(const Options &options)
    : options_(options)
    , timeLimit_(options.callerTimeout.value_or(DefaultTimeout))
    , deadline_(options.receivedAt + std::max(timeLimit_ - DeadlineMargin, Duration(0)))
    , gapStart_(options.receivedAt)
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
    maxGap_ = std::max({MinGap, route.latencyObjective * GapLatencyObjectives, route.pauseObjective * GapPauseObjectives});
}

void CallerDeadlines::onEventSent(BootTime now)
{
    gapStart_ = now;
}

BootTime CallerDeadlines::nextEventDeadline() const
{
    return maxGap_ ? std::min(deadline_, gapStart_ + *maxGap_ - GapMargin) : deadline_;
}

} // namespace magnolia::routing
