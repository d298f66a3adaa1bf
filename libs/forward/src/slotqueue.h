#ifndef MAGNOLIA_FORWARD_SLOTQUEUE_H
#define MAGNOLIA_FORWARD_SLOTQUEUE_H

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
class SlotQueue
{
public:
    using Callback = std::function<void()>; ///< Called when there is room; one that does not want it any more does nothing.

    /** @param hasOpening whether an endpoint can be sent one more. */
    SlotQueue(event_base *loop, std::function<bool()> hasOpening) : timer_(loop, [this] { admitWaiting(); }), hasOpening_(std::move(hasOpening)) {}

    /** For one that has not waited: there is a place, and nobody waits for it. */
    bool hasFreeSlot(BootTime now) const
    {
        return waiting_.empty() && limit_.hasRoom(inProgress_, now) && hasOpening_();
    }

    void enqueue(routing::Priority priority, BootTime since, Callback onSlot)
    {
        if (waiting_.empty()) {
            timer_.start(RecheckInterval); // The limit grows by itself.
        }
        waiting_.emplace(since + priority * TimePerPriority, std::move(onSlot));
    }

    void reserve()
    {
        ++inProgress_;
    }

    void release()
    {
        --inProgress_;
        scheduleAdmission();
    }

    /** An endpoint may be sent one more. */
    void scheduleAdmission()
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
    static constexpr Duration TimePerPriority{20};
    static constexpr Duration RecheckInterval{20};

    void admitWaiting()
    {
        while (!waiting_.empty() && limit_.hasRoom(inProgress_, BootClock::now()) && hasOpening_()) {
            const Callback next = std::move(waiting_.begin()->second);
            waiting_.erase(waiting_.begin());
            next();
        }
        if (!waiting_.empty()) {
            timer_.start(RecheckInterval);
        }
    }

    http::Timer timer_;
    std::function<bool()> hasOpening_;
    routing::ConcurrencyLimit limit_{{}};
    std::multimap<BootTime, Callback> waiting_; ///< By the time from which on it counts as waiting.
    std::size_t inProgress_ = 0;
};

} // namespace magnolia::forward

#endif
