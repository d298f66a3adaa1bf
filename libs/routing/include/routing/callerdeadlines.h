#ifndef MAGNOLIA_ROUTING_CALLERDEADLINES_H
#define MAGNOLIA_ROUTING_CALLERDEADLINES_H

#include "base/clock.h"
#include "routing/routingconfig.h"

#include <optional>

namespace magnolia::routing
{

/**
 * Computes the times by which the caller of one request must be sent its answer and the next event.
 *
 * A caller disconnects at its own timeout or at its route's timeout, whichever is earlier. It also disconnects from a stream after a gap without an
 * event, including the first one: two seconds, or a multiple of the route's objectives if that is longer. A margin is subtracted from the caller's
 * timeout and from the gap, so that an answer sent at the deadline still arrives. A value type that lives as long as its request.
 *
 * @code
 * CallerDeadlines deadlines({.receivedAt = now, .callerTimeout = Duration(8000)});
 * deadlines.applyRoute(route);
 * if (now >= deadlines.nextEventDeadline()) { endWithFinalAnswer(); }
 * @endcode
 */
class CallerDeadlines
{
public:
    struct Options {
        BootTime receivedAt{}; ///< When the first byte of the request was received.
        std::optional<Duration> callerTimeout{}; ///< Sent by the caller; counts from receivedAt.
    };

    explicit CallerDeadlines(const Options &options);

    /** Applies the timeout of the request's route and, for a stream, the maximum gap between events. */
    void applyRoute(const Route &route);

    /** Restarts the gap, because the caller was sent an event. */
    void onEventSent(BootTime now);

    /** @return when the complete answer must have been sent. */
    BootTime deadline() const
    {
        return deadline_;
    }

    /** @return when the next event, or an answer that is no stream, must have been sent; never later than deadline(). */
    BootTime nextEventDeadline() const;

    /** @return the caller's timeout, or the default if it sent none. */
    Duration timeLimit() const
    {
        return timeLimit_;
    }

private:
    Options options_;
    Duration timeLimit_;
    BootTime deadline_;
    std::optional<Duration> maxGap_; ///< Maximum time without an event; set for streams only.
    BootTime gapStart_;
};

} // namespace magnolia::routing

#endif
