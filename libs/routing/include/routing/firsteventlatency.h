#ifndef MAGNOLIA_ROUTING_FIRSTEVENTLATENCY_H
#define MAGNOLIA_ROUTING_FIRSTEVENTLATENCY_H

#include "base/clock.h"

#include <algorithm>

namespace magnolia::routing
{

/**
 * Tracks the minimum time from dispatch to first event over the recent streams of one service.
 *
 * The minimum is used because it tells which requests cannot be served in time by any endpoint. Samples expire after one to two windows, so that a
 * service that gets no requests because it was too slow is tried again. A value type.
 *
 * @code
 * latency.record(now - sentAt, now);
 * const bool isTooLate = now + latency.shortest(now) >= callerDeadline;
 * @endcode
 */
class FirstEventLatency
{
public:
    void record(BootClock::duration latency, BootTime now)
    {
        roll(now);
        current_ = std::min(current_, latency);
    }

    /** @return the minimum latency; zero if no stream started recently. */
    BootClock::duration shortest(BootTime now) const
    {
        FirstEventLatency asOfNow = *this;
        asOfNow.roll(now);
        const BootClock::duration seen = std::min(asOfNow.current_, asOfNow.previous_);
        return seen == NoSample ? BootClock::duration(0) : seen;
    }

private:
    static constexpr Duration Window{500};
    static constexpr BootClock::duration NoSample = BootClock::duration::max();

    void roll(BootTime now)
    {
        if (now - windowStart_ < Window) {
            return;
        }
        previous_ = now - windowStart_ < 2 * Window ? current_ : NoSample;
        current_ = NoSample;
        windowStart_ = now;
    }

    BootTime windowStart_;
    BootClock::duration current_ = NoSample; ///< Minimum of the window that started at windowStart_.
    BootClock::duration previous_ = NoSample; ///< Minimum of the preceding window.
};

} // namespace magnolia::routing

#endif
