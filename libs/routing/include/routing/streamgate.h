#ifndef MAGNOLIA_ROUTING_STREAMGATE_H
#define MAGNOLIA_ROUTING_STREAMGATE_H

#include "base/clock.h"
#include "routing/endpointtable.h"
#include "routing/routingconfig.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace magnolia::routing
{

/**
 * Decides when streams of one service may begin, in which order, and whom to refuse.
 *
 * Model engines answer all requests side by side, and the ranks of a group run each pass together: a further stream makes
 * every pass longer, and reading its prompt most of all. Beyond a point all streams pause for longer than their routes allow,
 * and all are late where fewer would all have been in time. So streams begin
 *
 * - while the pauses that are seen just now are short enough, else wait. If by the engines' step model fewer streams would not
 *   help either (demand that has just moved, a slow rank), they wait only for a moment, so that the worst passes don't have to
 *   read prompts too, and begin then;
 * - so many at a time that have had no event yet: after an outage the backlog would else be read at once, in passes that make
 *   all of it late, and those who come meanwhile as well.
 *
 * After a standstill of the group still fewer begin at a time for some seconds. Nobody begins while all places of the endpoints are
 * taken, as far as is known: what waits there could not be overtaken by one that can still be in time.
 *
 * Those who can still be in time go before those who can't any more, but one of a few turns is always theirs. Who would
 * not have a place before the caller loses patience is refused at once. Each instance decides for itself from its own streams;
 * those of a service see the same pauses. Pure. Not thread-safe.
 *
 * @code
 * if (gate.takesNow(now)) { gate.began(); } else { gate.wait({.ticket = 7, .receivedAt = now, .objective = 400ms}, now); }
 * while (const auto ticket = gate.next(now)) { begin(*ticket); }
 * @endcode
 */
class StreamGate
{
public:
    struct Options {
        double fullShare = 0.95; ///< Part of the pause objective that pauses may take while further streams begin.
        Duration pauseHalfLife{100}; ///< Age at which a pause counts half: a pass or two.
        Duration pauseTrust{400}; ///< Without an event for so long nothing is known of passes.
        double fullUse = 0.95; ///< Part of the endpoints' places, waiting requests included, from which on streams begin only as others end.
        double leastUse = 0.5; ///< Part of the endpoints' places; where fewer in use would be needed, load is not the cause.
        Duration useHalfLife{500}; ///< Age at which an endpoint's report of its load counts half.
        double startsPerEndpoint = 4; ///< Streams without an event yet, for each endpoint of the service and all instances.
        Duration standstill{600}; ///< Without an event for so long the endpoints' group stands still.
        Duration returnTime{3000}; ///< After a standstill fewer may begin at a time: the backlog is read then.
        double returnPart = 0.5; ///< Of the starts, then.
        double leastStarts = 2; ///< Of this instance, whatever its part.
        Duration calmWait{130}; ///< How long one waits for shorter pauses where fewer streams would not make them shorter.
        Duration patience{1300}; ///< After the request came; callers give up a stream after two seconds without an event.
        std::uint32_t lateTurn = 4; ///< Of so many admissions one is for those who can't be in time any more.
        Duration urgencyTime{20}; ///< A level of urgency goes before whatever came so much later.
    };

    explicit StreamGate(Options options) : options_(options) {}

    /** How much of the service this instance has to itself. */
    void setCapacity(std::size_t endpoints, std::size_t instances);

    /** What an endpoint of the service said of its load. */
    void reported(const LoadReport &report, BootTime now);

    /** A pause between two events of a stream. @param objective its route's; 0: none, and it says nothing. */
    void paused(BootClock::duration pause, Duration objective, const StepModel &steps, BootTime now);

    void began()
    {
        ++inProgress_;
        ++starting_;
    }
    /** Its first event came. @param took from its sending. */
    void firstEvent(BootClock::duration took);
    void ended(bool hadEvent);

    /** For one that has not waited: it may begin, and nobody waits. */
    bool takesNow(BootTime now) const
    {
        return waiting_.empty() && hasRoom(now);
    }

    struct Waiter {
        std::uint64_t ticket = 0;
        BootTime receivedAt;
        Duration objective{0}; ///< For its first event.
        Priority priority = 0;
    };

    void wait(const Waiter &waiter);
    void leave(std::uint64_t ticket);
    bool hasWaiters() const
    {
        return !waiting_.empty();
    }

    /** @return whoever may begin now; it waits no more. */
    std::optional<std::uint64_t> next(BootTime now);

    /** @return one whose patience is over; it waits no more. */
    std::optional<std::uint64_t> nextHopeless(BootTime now);

    /** When a place is to be expected by one that comes now, at the rate at which streams have begun. */
    Duration expectedWait() const;

    /** One that comes now can't begin before its patience is over. */
    bool isHopeless() const
    {
        return expectedWait() > options_.patience;
    }

    /** Pauses are so long that no further stream should begin. */
    bool isCrowded(BootTime now) const;

    std::size_t inProgress() const
    {
        return inProgress_;
    }
    std::size_t starting() const
    {
        return starting_;
    }
    double pauseShare() const ///< Of the objective, as seen lately; 0 before any.
    {
        return pauseWeight_ > 0 ? pauses_ / pauseWeight_ : 0;
    }

private:
    bool hasRoom(BootTime now) const
    {
        return mayStart(now) && !isCrowded(now) && !isFull(now);
    }
    bool mayStart(BootTime now) const
    {
        const double part = isReturning(now) ? options_.returnPart : 1.0;
        return static_cast<double>(starting_) < std::max(startLimit_ * part, options_.leastStarts);
    }
    bool isReturning(BootTime now) const
    {
        const bool isStanding = pauseWeight_ > 0 && now - pausedAt_ > options_.standstill;
        return isStanding || now < returnedAt_ + options_.returnTime;
    }
    bool isForLoad() const;
    /** The endpoints have no place free, as far as is known: what begins would wait there, and could not be overtaken. */
    bool isFull(BootTime now) const;
    bool canBeInTime(const Waiter &waiter, BootTime now) const;
    BootTime turnOf(const Waiter &waiter) const
    {
        return waiter.receivedAt + waiter.priority * options_.urgencyTime;
    }
    std::optional<std::size_t> firstWaiter(bool isInTime, BootTime now) const;

    Options options_;
    double startLimit_ = 0;
    std::size_t inProgress_ = 0;
    std::size_t starting_ = 0; ///< Of those, without an event yet.
    double pauses_ = 0; ///< Parts of their objectives, weighted by age.
    double pauseWeight_ = 0;
    BootTime pausedAt_;
    BootTime returnedAt_{-std::chrono::hours(1)}; ///< The first event after a standstill.
    double wantedUse_ = 0; ///< Part of the endpoints' places with which pauses would be in time.
    double use_ = 0; ///< Part of the places in use, weighted by age.
    double demanded_ = 0; ///< The same with requests that wait there.
    double reportedWith_ = 0; ///< Streams of this instance in progress, smoothed over the reports.
    double useWeight_ = 0;
    BootTime useAt_;
    std::optional<BootClock::duration> firstEventTime_; ///< Smoothed.
    std::vector<Waiter> waiting_;
    std::uint32_t turns_ = 0; ///< Admissions since the last of one that can't be in time.
    double begun_ = 0; ///< Admissions, weighted by age.
    BootTime begunAt_;
    BootTime ratedSince_;
};

} // namespace magnolia::routing

#endif
