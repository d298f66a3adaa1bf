#ifndef MAGNOLIA_FORWARD_STREAMPLACES_H
#define MAGNOLIA_FORWARD_STREAMPLACES_H

#include "base/clock.h"
#include "http/timer.h"
#include "routing/streamgate.h"

#include <functional>
#include <map>
#include <utility>

namespace magnolia::forward
{

/**
 * Streams of one service that wait until the gate lets them begin: calls each when its turn has come, or when it is refused.
 *
 * Lives on one event loop; calls back from its own timer, never from within a call.
 *
 * @code
 * if (!places.gate().takesNow(now)) { ticket = places.wait(waiter, {.begin = ..., .refuse = ...}); }
 * @endcode
 */
class StreamPlaces
{
public:
    struct Callbacks {
        std::function<void()> begin{};
        std::function<void()> refuse{}; ///< No place came while it was of use.
    };

    explicit StreamPlaces(event_base *loop) : timer_(loop, [this] { look(); }) {}

    /** @param waiter its ticket is given here. @return the ticket. */
    std::uint64_t wait(routing::StreamGate::Waiter waiter, Callbacks callbacks)
    {
        waiter.ticket = ++lastTicket_;
        gate_.wait(waiter);
        if (waiting_.empty()) {
            timer_.start(LookInterval); // Pauses grow shorter by themselves.
        }
        waiting_.emplace(waiter.ticket, std::move(callbacks));
        return waiter.ticket;
    }

    /** For one that does not want a place any more. */
    void leave(std::uint64_t ticket)
    {
        gate_.leave(ticket);
        waiting_.erase(ticket);
    }

    void ended(bool hadEvent)
    {
        gate_.ended(hadEvent);
        lookSoon();
    }

    void firstEvent(BootClock::duration took)
    {
        gate_.firstEvent(took);
        lookSoon();
    }

    routing::StreamGate &gate()
    {
        return gate_;
    }

private:
    static constexpr Duration LookInterval{10};

    void lookSoon()
    {
        if (gate_.hasWaiters()) {
            timer_.start(Duration(0)); // Not from within a call of its owner.
        }
    }

    Callbacks take(std::uint64_t ticket)
    {
        const auto found = waiting_.find(ticket);
        Callbacks callbacks = std::move(found->second);
        waiting_.erase(found);
        return callbacks;
    }

    void look()
    {
        while (const auto ticket = gate_.nextHopeless(BootClock::now())) {
            take(*ticket).refuse();
        }
        while (const auto ticket = gate_.next(BootClock::now())) {
            take(*ticket).begin();
        }
        if (gate_.hasWaiters()) {
            timer_.start(LookInterval);
        }
    }

    http::Timer timer_;
    routing::StreamGate gate_{{}};
    std::map<std::uint64_t, Callbacks> waiting_; ///< By ticket.
    std::uint64_t lastTicket_ = 0;
};

} // namespace magnolia::forward

#endif
