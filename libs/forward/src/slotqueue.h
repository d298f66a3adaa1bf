#ifndef MAGNOLIA_FORWARD_SLOTQUEUE_H
#define MAGNOLIA_FORWARD_SLOTQUEUE_H

#include "base/clock.h"
#include "http/timer.h"
#include "routing/backloggate.h"
#include "routing/classadmission.h"
#include "routing/concurrencylimit.h"
#include "routing/routingconfig.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

namespace magnolia::forward
{

/**
 * Limits the requests of one service that are in progress, and queues streams that wait for a slot.
 *
 * Streams are admitted by priority, but each level of priority is worth only a fixed waiting time: a stream that has
 * waited longer goes before later ones of a higher priority, so none starves. Streams that waited until the service runs again form a backlog, which comes
 * after all others and is paced. Lives on one event loop.
 *
 * @code
 * if (!queue.hasFreeSlot(now)) { queue.enqueue(priority, now, [waiting = weak_from_this()] { ... }); }
 * @endcode
 */
class SlotQueue
{
public:
    using Callback = std::function<void()>; ///< Called when a slot is free; does nothing if the request no longer waits.

    /** The service's endpoints, as far as admission depends on them. */
    struct Service {
        std::function<bool()> hasOpening; ///< Whether an endpoint can accept another stream.
        std::function<std::size_t()> slots; ///< Requests that all endpoints run concurrently.
        std::function<std::size_t()> instances; ///< Entries with the load of this one that the endpoints could serve, see LoadShare.
        std::function<bool()> isEvacuated; ///< Whether nothing can be dispatched because of evacuations; what is queued is then called to be rejected.
    };

    SlotQueue(event_base *loop, Service service) : timer_(loop, [this] { admitWaiting(); }), service_(std::move(service)) {}

    /** A stream of a service whose streams differ in urgency, see ClassAdmission. */
    struct ClassedStream {
        routing::ClassAdmission::Stream stream;
        Callback onSlot;
        Callback onHopeless; ///< Called when its turn would come too late.
    };

    /** Decides by class of urgency whether a stream begins now. Used only if classes() is enabled. */
    routing::ClassAdmission::Decision request(ClassedStream stream, BootTime now)
    {
        if (service_.isEvacuated()) {
            return {};
        }
        const auto decision = classes_.request(stream.stream, room(now), now);
        if (decision.verdict == routing::ClassAdmission::Verdict::Wait) {
            if (classed_.empty()) {
                timer_.start(RecheckInterval);
            }
            classed_.emplace(decision.ticket, std::move(stream));
        }
        return decision;
    }

    /** Ends the wait of a stream. */
    void cancel(routing::ClassAdmission::Ticket ticket)
    {
        classes_.cancel(ticket);
        classed_.erase(ticket);
    }

    /** @return see ClassAdmission::boundOf(). */
    double boundOf(routing::Priority priority, BootTime now) const
    {
        return classes_.boundOf(priority, room(now), now);
    }

    routing::ClassAdmission &classes()
    {
        return classes_;
    }

    /** A slot is free and no stream is queued for it. */
    bool hasFreeSlot(BootTime now) const
    {
        return waiting_.empty() && canAdmit(now);
    }

    void enqueue(routing::Priority priority, BootTime since, Callback onSlot)
    {
        if (waiting_.empty()) {
            timer_.start(RecheckInterval); // The limit grows over time without an event.
        }
        waiting_.emplace(since + priority * TimePerPriority, std::move(onSlot));
    }

    /**
     * Queues a stream that waited until the service runs again.
     *
     * @param until after this time it is of no use to its caller.
     * @return false if its turn would come later; it is not queued then.
     */
    bool enqueueBacklog(BootTime since, BootTime until, Callback onSlot)
    {
        const auto ahead = static_cast<BootClock::duration::rep>(backlog_.size());
        if (BootClock::now() + ahead * backlogGate_.interval(service_.slots(), service_.instances()) > until) {
            return false;
        }
        backlog_.emplace(since, std::move(onSlot));
        scheduleAdmission();
        return true;
    }

    routing::BacklogGate &backlogGate()
    {
        return backlogGate_;
    }

    void reserve()
    {
        ++inProgress_;
    }

    void release()
    {
        --inProgress_;
        classes_.onEnded(BootClock::now());
        scheduleAdmission();
    }

    /** Admits queued streams on the loop's next turn, e.g. since an endpoint can accept another one. */
    void scheduleAdmission()
    {
        if (hasQueued()) {
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
        while (!waiting_.empty() && canAdmit(BootClock::now())) {
            takeFirst(waiting_)();
        }
        admitClassed();
        admitBacklog(BootClock::now());
        if (hasQueued()) {
            timer_.start(RecheckInterval);
        }
    }

    bool hasQueued() const
    {
        return !waiting_.empty() || !classed_.empty() || !backlog_.empty();
    }

    void admitClassed()
    {
        if (classed_.empty()) {
            return;
        }
        while (service_.isEvacuated() && !classed_.empty()) {
            const routing::ClassAdmission::Ticket ticket = classed_.begin()->first;
            classes_.cancel(ticket);
            callFor(ticket, &ClassedStream::onSlot);
        }
        while (const auto ticket = classes_.takeNext(room(BootClock::now()), BootClock::now())) {
            callFor(*ticket, &ClassedStream::onSlot);
        }
        while (const auto ticket = classes_.takeHopeless(room(BootClock::now()), BootClock::now())) {
            callFor(*ticket, &ClassedStream::onHopeless);
        }
    }

    void callFor(routing::ClassAdmission::Ticket ticket, Callback ClassedStream::*callback)
    {
        const auto found = classed_.find(ticket);
        if (found != classed_.end()) {
            const ClassedStream stream = std::move(found->second);
            classed_.erase(found);
            (stream.*callback)();
        }
    }

    routing::ClassAdmission::Room room(BootTime now) const
    {
        const std::size_t instances = std::max<std::size_t>(service_.instances(), 1);
        return {.inProgress = inProgress_,
                .slots = static_cast<double>(service_.slots()) / static_cast<double>(instances),
                .limit = limit_.limit(instances, now),
                .hasOpening = service_.hasOpening()};
    }

    void admitBacklog(BootTime now)
    {
        const std::size_t before = inProgress_;
        // Requests that have ended meanwhile are still queued, and dispatch nothing.
        while (waiting_.empty() && classed_.empty() && !backlog_.empty() && inProgress_ == before && isGateOpen(now) && canAdmit(now)) {
            takeFirst(backlog_)();
        }
        if (inProgress_ != before) {
            backlogGate_.onAdmitted(now);
        }
    }

    bool isGateOpen(BootTime now) const
    {
        return service_.isEvacuated() || backlogGate_.canAdmit(backlogGate_.interval(service_.slots(), service_.instances()), now);
    }

    bool canAdmit(BootTime now) const
    {
        return service_.isEvacuated() || (limit_.canAdmit(inProgress_, service_.instances(), now) && service_.hasOpening());
    }

    static Callback takeFirst(std::multimap<BootTime, Callback> &queue)
    {
        Callback first = std::move(queue.begin()->second);
        queue.erase(queue.begin());
        return first;
    }

    http::Timer timer_;
    Service service_;
    routing::ConcurrencyLimit limit_{{}};
    std::multimap<BootTime, Callback> waiting_; ///< By arrival time, adjusted for the priority.
    routing::ClassAdmission classes_{{}};
    std::unordered_map<routing::ClassAdmission::Ticket, ClassedStream> classed_; ///< Wait for a slot by class.
    std::multimap<BootTime, Callback> backlog_; ///< By arrival time.
    routing::BacklogGate backlogGate_{{}};
    std::size_t inProgress_ = 0;
};

} // namespace magnolia::forward

#endif
