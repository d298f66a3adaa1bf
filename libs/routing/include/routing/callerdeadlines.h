#ifndef MAGNOLIA_ROUTING_CALLERDEADLINES_H
#define MAGNOLIA_ROUTING_CALLERDEADLINES_H

#include "base/clock.h"
#include "routing/routingconfig.h"

#include <optional>

namespace magnolia::routing
{

/**
 * Until when an answer still finds the caller of one request.
 *
 * A caller leaves at the deadline that it states, at the latest when its route's timeout is over, and leaves a stream also after a gap without an
 * event, be it the first: two seconds, or some times the route's objectives. Stated deadline and gap hold back a margin, so that an answer sent then still
 * arrives. A value type, as long-lived as its request.
 *
 * @code
 * CallerBounds bounds({.receivedAt = now, .stated = Duration(8000)});
 * bounds.takeRoute(route);
 * if (now >= bounds.nextEventDue()) { endWithFinalAnswer(); }
 * @endcode
 */
class CallerDeadlines
{
public:
    struct Options {
        BootTime receivedAt{}; ///< When the request's first byte came.
        std::optional<Duration> callerTimeout{}; ///< By the caller, from then on.
    };

    explicit CallerDeadlines(const Options &options);

    /** The request's route is known: its timeout holds, and the gap of its streams. */
    void applyRoute(const Route &route);

    /** An event was sent to the caller: its gap begins anew. */
    void onEventSent(BootTime now);

    /** The whole answer has to be sent by then. */
    BootTime deadline() const
    {
        return deadline_;
    }

    /** The next event, or whatever else is the answer, has to be sent by then; the deadline if that is sooner. */
    BootTime nextEventDeadline() const;

    /** What was stated, or else the usual time. */
    Duration timeLimit() const
    {
        return timeLimit_;
    }

private:
    Options options_;
    Duration timeLimit_;
    BootTime deadline_;
    std::optional<Duration> gap_; ///< Of a stream.
    BootTime gapBegan_;
};

} // namespace magnolia::routing

#endif
