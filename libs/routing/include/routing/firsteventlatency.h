#ifndef MAGNOLIA_ROUTING_FIRSTEVENTLATENCY_H
#define MAGNOLIA_ROUTING_FIRSTEVENTLATENCY_H

#include "base/clock.h"

#include <algorithm>

namespace magnolia::routing
{

/**
 * How long streams of one service take to begin just now, from their sending to the first event: the shortest time seen lately.
 *
 * The shortest, since it is used to tell what can't be served any more, whichever endpoint is chosen. What was seen is forgotten within one to two
 * windows, so that a service which is sent nothing for that reason is tried again. A value type.
 *
 * @code
 * times.began(now - sentAt, now);
 * const bool isVain = now + times.shortest(now) >= callerLeavesAt;
 * @endcode
 */
class FirstEventLatency
{
public:
    void began(BootClock::duration took, BootTime now)
    {
        roll(now);
        current_ = std::min(current_, took);
    }

    /** @return zero if nothing began lately. */
    BootClock::duration shortest(BootTime now) const
    {
        FirstEventLatency asOfNow = *this;
        asOfNow.roll(now);
        const BootClock::duration seen = std::min(asOfNow.current_, asOfNow.previous_);
        return seen == Nothing ? BootClock::duration(0) : seen;
    }

private:
    static constexpr Duration Window{500};
    static constexpr BootClock::duration Nothing = BootClock::duration::max();

    void roll(BootTime now)
    {
        if (now - windowBegan_ < Window) {
            return;
        }
        previous_ = now - windowBegan_ < 2 * Window ? current_ : Nothing;
        current_ = Nothing;
        windowBegan_ = now;
    }

    BootTime windowBegan_;
    BootClock::duration current_ = Nothing; ///< Shortest in the window that began then.
    BootClock::duration previous_ = Nothing; ///< Shortest in the one before.
};

} // namespace magnolia::routing

#endif
