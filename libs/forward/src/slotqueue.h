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
 * Limits the requests of one service that are in progress, and queues streams that wait for a slot.
 *
 * Streams are admitted by priority, but each level of priority is worth only a fixed waiting time: a stream that has
 * waited longer goes before later ones of a higher priority, so none starves. Lives on one event loop.
 *
 * @code
 * if (!queue.hasFreeSlot(now)) { queue.enqueue(priority, now, [waiting = weak_from_this()] { ... }); }
 * @endcode
 */
class SlotQueue
{
public:
    using Callback = std::function<void()>; ///< Called when a slot is free; does nothing if the request no longer waits.

    /** @param hasOpening tells whether an endpoint can accept another stream. */
    SlotQueue(event_base *loop, std::function<bool()> hasOpening) : timer_(loop, [this] { admitWaiting(); }), hasOpening_(std::move(hasOpening)) {}

    /** A slot is free and no stream is queued for it. */
    bool hasFreeSlot(BootTime now) const
    {
        return waiting_.empty() && limit_.canAdmit(inProgress_, now) && hasOpening_();
    }

    void enqueue(routing::Priority priority, BootTime since, Callback onSlot)
    {
        if (waiting_.empty()) {
            timer_.start(RecheckInterval); // The limit grows over time without an event.
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

    /** Admits queued streams on the loop's next turn, e.g. since an endpoint can accept another one. */
    void scheduleAdmission()
    {
        if (!waiting_.empty()) {
            timer_.start(Duration(0)); // Callbacks must not run inside a call of the queue's user.
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
    // Head start of each priority level. Callers wait some tenths of a second in total.
    static constexpr Duration TimePerPriority{20};
    static constexpr Duration RecheckInterval{20};

    void admitWaiting()
    {
        while (!waiting_.empty() && limit_.canAdmit(inProgress_, BootClock::now()) && hasOpening_()) {
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
    std::multimap<BootTime, Callback> waiting_; ///< By arrival time, adjusted for the priority.
    std::size_t inProgress_ = 0;
};

} // namespace magnolia::forward

#endif
