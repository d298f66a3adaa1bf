#ifndef MAGNOLIA_FORWARD_PLACEQUEUE_H
#define MAGNOLIA_FORWARD_PLACEQUEUE_H

#include "base/clock.h"
#include "http/timer.h"
#include "routing/concurrencylimit.h"
#include "routing/routingconfig.h"

#include <cstddef>
#include <functional>
#include <map>
#include <utility>

namespace magnolia::forward
{

/**
 * Streams of one service that are in progress, and those that wait for a place.
 *
 * The most urgent goes first, but an urgency is worth only so much time: whoever has waited longer passes those that came
 * later, so that nobody waits for ever behind urgent ones. Lives on one event loop.
 *
 * @code
 * if (!queue.hasRoom(now)) { queue.wait(priority, now, [waiting = weak_from_this()] { ... }); }
 * @endcode
 */
class PlaceQueue
{
public:
    using Wake = std::function<void()>; ///< Called when there is room; one that does not want it any more does nothing.

    /** @param hasOpening whether an endpoint can be sent one more. */
    PlaceQueue(event_base *loop, std::function<bool()> hasOpening) : timer_(loop, [this] { wake(); }), hasOpening_(std::move(hasOpening)) {}

    /** For one that has not waited: there is a place, and nobody waits for it. */
    bool hasRoom(BootTime now) const
    {
        return waiting_.empty() && limit_.canAdmit(inProgress_, now) && hasOpening_();
    }

    void wait(routing::Priority priority, BootTime since, Wake wake)
    {
        if (waiting_.empty()) {
            timer_.start(LookInterval); // The limit grows by itself.
        }
        waiting_.emplace(since + priority * PriorityTime, std::move(wake));
    }

    void began()
    {
        ++inProgress_;
    }

    void ended()
    {
        --inProgress_;
        opened();
    }

    /** An endpoint may be sent one more. */
    void opened()
    {
        if (!waiting_.empty()) {
            timer_.start(Duration(0)); // Not from within a call of its owner.
        }
    }

    std::size_t inProgress() const
    {
        return inProgress_;
    }

    routing::ConcurrencyLimit &limit()
    {
        return limit_;
    }

private:
    // A level of urgency goes before whatever came so much later; callers wait some tenths of a second in all.
    static constexpr Duration PriorityTime{20};
    static constexpr Duration LookInterval{20};

    void wake()
    {
        while (!waiting_.empty() && limit_.canAdmit(inProgress_, BootClock::now()) && hasOpening_()) {
            const Wake first = std::move(waiting_.begin()->second);
            waiting_.erase(waiting_.begin());
            first();
        }
        if (!waiting_.empty()) {
            timer_.start(LookInterval);
        }
    }

    http::Timer timer_;
    std::function<bool()> hasOpening_;
    routing::ConcurrencyLimit limit_{{}};
    std::multimap<BootTime, Wake> waiting_; ///< By the time from which on it counts as waiting.
    std::size_t inProgress_ = 0;
};

} // namespace magnolia::forward

#endif
