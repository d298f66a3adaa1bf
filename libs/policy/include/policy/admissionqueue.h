#ifndef MAGNOLIA_POLICY_ADMISSIONQUEUE_H
#define MAGNOLIA_POLICY_ADMISSIONQUEUE_H

#include "base/clock.h"
#include "base/errorcode.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace magnolia::policy
{

/** One attempt that asks for a place at the endpoint. */
struct Ticket {
    wire::AttemptId id;
    std::string organisation;
    wire::PriorityClass priorityClass = wire::PriorityClass::Trial;
    std::uint32_t weight = 1; ///< The organisation's share within its class, 1 to 1000.
    std::uint32_t promptTokens = 0; ///< Estimate; 0 for a plain service.
    MonoTime deadline; ///< When the caller gives up, on this instance's monotonic clock.
    bool wholeAnswer = false; ///< The caller needs the last token by the deadline, not just the first one.
    bool preemptible = false; ///< May be cancelled once it runs, and resumed later (a stream of an idempotent request).
    bool started = false; ///< Set by the queue: it ran already and was preempted, so that it may not be told "not run".
};

/** The answer to an offer. A refused or displaced ticket has not run and never will. */
struct AdmissionDecision {
    bool admitted = false;
    ErrorCode code = ErrorCode::Ok; ///< Why it was refused: Overloaded, DeadlineExceeded, Leaving or Conflict (an id offered twice).
    Duration expectedWait{0}; ///< Estimated time until its first token.
    Duration retryAfter{0}; ///< When a later try is expected to be admitted; 0 with Leaving: at once, elsewhere.
    std::optional<Ticket> displaced; ///< A queued ticket that gave up its room: to be refused as Overloaded, not run.
    Duration displacedRetryAfter{0};
};

/** What one finished attempt cost, from its start at the endpoint on. */
struct ServiceSample {
    MonoClock::duration firstToken{0}; ///< Start to first token; for a plain service the whole call.
    MonoClock::duration total{0}; ///< Start to end.
    std::uint32_t outputTokens = 0;
    bool valid = false; ///< False if it failed or was cut short, so that nothing is learned from it.
};

/** What became of a cancelled attempt. */
enum class CancelOutcome : std::uint8_t {
    Unknown, ///< Not here.
    Removed, ///< It was queued and never will run (again); it has not run unless it was preempted.
    Running, ///< It runs: cancel it at the endpoint, then call finished().
};

/** A queued ticket whose deadline cannot be met any more; it has not run, unless ticket.started, and never will. */
struct ExpiredTicket {
    Ticket ticket;
    Duration retryAfter{0};
};

/** The numbers of a load report. */
struct QueueLoad {
    std::uint32_t running = 0;
    std::uint32_t queuedPaying = 0;
    std::uint32_t queuedTrial = 0;
    std::uint32_t limit = 1;
    Duration waitPaying{0}; ///< Expected wait for the first token of a request offered now.
    Duration waitTrial{0};
};

/**
 * Decides what runs at one endpoint, and in which order.
 *
 * All traffic of the endpoint meets here. Paying work goes strictly before trial work; within a class organisations share
 * by weight (deficit round robin over estimated service time). A ticket whose deadline the queue cannot meet is refused at
 * once, with the time after which a retry is expected to fit. Only organisations with queued work hold state. Pure: it
 * reads no clock and does no I/O. Lives as long as its endpoint's task; not thread-safe, one thread calls it.
 *
 * @code
 * AdmissionQueue queue({.limit = 8});
 * const AdmissionDecision decision = queue.offer(ticket, now);
 * while (const auto ticket = queue.next(now)) { start(*ticket); }
 * if (const auto victim = queue.preempt(now)) { cancelAtEngine(victim->id); }   // later: queue.preempted(victim->id, now)
 * queue.finished(id, {.firstToken = 120ms, .total = 2s, .outputTokens = 180, .valid = true}, now);
 * @endcode
 */
class AdmissionQueue
{
public:
    struct Options {
        std::uint32_t limit = 8; ///< Attempts that run at once, 1 to 100000.
        std::uint32_t trialLimit = 0; ///< Trial attempts that run at once; 0: as many as limit.
        std::size_t maxQueuedPaying = 1024;
        std::size_t maxQueuedTrial = 256;
        MonoClock::duration initialFirstToken = std::chrono::milliseconds(100); ///< Assumed until work has finished.
        MonoClock::duration initialTotal = std::chrono::seconds(1);
        Duration maxRetryAfter{30000};
        double reservedShare = 0.125; ///< Share of the slots that a paying organisation above its share leaves to the others.
        bool refusesLate = true; ///< Refuse at admission what is expected to miss its deadline.
        bool preempts = true; ///< Offer trial streams for preemption.
    };

    explicit AdmissionQueue(const Options &options);
    ~AdmissionQueue();
    AdmissionQueue(const AdmissionQueue &) = delete;
    AdmissionQueue &operator=(const AdmissionQueue &) = delete;

    /** Asks for a place. Call next() afterwards. */
    AdmissionDecision offer(Ticket ticket, MonoTime now);

    /** @return the next ticket to start at the endpoint, if there is room for one; it counts as running from now on. */
    std::optional<Ticket> next(MonoTime now);

    /** The attempt's slot is free again, however it ended. Unknown ids are ignored. */
    void finished(const wire::AttemptId &id, const ServiceSample &sample, MonoTime now);

    CancelOutcome cancel(const wire::AttemptId &id, MonoTime now);

    /** @return the queued tickets that cannot meet their deadline any more, now removed; valid until the next call. */
    std::span<const ExpiredTicket> expire(MonoTime now);

    /**
     * @return a running trial stream to cancel at the endpoint since paying work waits for its slot, at most one per
     * waiting paying ticket. When the endpoint has let go of it, call preempted() to queue the rest of it, or finished().
     */
    std::optional<Ticket> preempt(MonoTime now);

    /** A preempted stream has stopped: it goes back to the head of its organisation's queue, and next() gives it again. */
    void preempted(const wire::AttemptId &id, MonoTime now);

    /** Admits nothing more. @return the queued tickets, now removed: to be refused as Leaving; not run unless started. */
    std::span<const Ticket> drain(MonoTime now);

    /** @param limit attempts that run at once; those above a lowered limit run to their end. */
    void setLimit(std::uint32_t limit, MonoTime now);

    QueueLoad load(MonoTime now) const;
    bool isIdle() const; ///< Nothing queued or running.

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnolia::policy

#endif
