#ifndef MAGNOLIA_ENTRY_REQUESTTRACKER_H
#define MAGNOLIA_ENTRY_REQUESTTRACKER_H

#include "base/clock.h"
#include "base/failure.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace magnolia::entry
{

/** Names one link from its handshake to its end; a fresh link to the same agent has another number. Never 0. */
using LinkId = std::uint64_t;

/** Where an attempt was sent. */
struct AttemptTarget {
    std::string agent; ///< Instance name of the agent.
    wire::Incarnation incarnation = 0;
    LinkId link = 0;
};

/** Why a further attempt is made; says which budget pays for it. */
enum class RetryReason : std::uint8_t {
    First, ///< It is the first attempt.
    Unsent, ///< The one before never left the process.
    Moved, ///< The endpoint is leaving, restarted or changing its version, and refused: no sign of overload.
    Refused, ///< Refused for another reason, as a rule overload.
    Lost, ///< The one before may have run and was lost.
};

/** Please choose an endpoint and its agent, send the attempt there, and report by dispatched(), notSent() or noEndpoint(). */
struct ChooseEndpoint {
    wire::AttemptId id;
    std::uint32_t resumeAfter = 0;
    RetryReason reason = RetryReason::First;
};

/** Please ask the agent what became of the attempt. */
struct SendQuery {
    std::string agent; ///< Instance name of the agent.
    wire::Query query;
};

/** Please ask the agent to go on with the attempt over the fresh link. */
struct SendAttach {
    std::string agent; ///< Instance name of the agent.
    wire::Attach attach;
};

/** Please tell the agent that the attempt is no longer wanted, now or as soon as its link is back. */
struct SendCancel {
    std::string agent; ///< Instance name of the agent.
    wire::Incarnation incarnation = 0;
    wire::Cancel cancel;
};

/** The next piece of the answer, in order and once. */
struct DeliverChunk {
    std::uint32_t index = 0;
    std::string data;
};

/** The end of the request; exactly one, and nothing after it. */
struct Conclude {
    std::optional<Failure> failure; ///< Empty: the answer is whole.
    Verdict verdict = Verdict::Ran;
    std::uint32_t status = 0; ///< HTTP status from the endpoint; 0 if there was none.
    std::string contentType;
    bool replayed = false;
};

using TrackerAction = std::variant<ChooseEndpoint, SendQuery, SendAttach, SendCancel, DeliverChunk, Conclude>;
using TrackerActions = std::vector<TrackerAction>;

/**
 * Follows one request of one caller through all its attempts, and decides what is done next.
 *
 * Pure: events go in with the time, actions come out; it touches no socket, clock or log. Lives from the caller's request
 * until it gave out Conclude or callerGone() was called; later events are harmless. Not thread-safe; one task owns it.
 *
 * What it guarantees, whatever the order of events: the caller gets chunks in order, each once, from one unbroken answer;
 * one end; a further attempt only if the earlier ones are proved not to have run or the request is idempotent; and the
 * verdict NotRun only if every attempt is proved not to have run.
 *
 * @code
 * RequestTracker tracker({.id = id, .deadline = now + 30s});
 * TrackerActions actions;
 * tracker.start(actions); // gives ChooseEndpoint
 * tracker.dispatched({.agent = "engine-1", .incarnation = 7, .link = 3});
 * tracker.chunk(3, std::move(chunk), now, actions); // gives DeliverChunk
 * @endcode
 */
class RequestTracker
{
public:
    struct Options {
        RequestId id;
        MonoTime deadline;
        bool idempotent = true;
        bool resumable = true; ///< A rerun can begin after the chunks that the caller has: true for models.
        std::uint32_t maxAttempts = 4;
        std::size_t maxHeldBytes = 1U << 20U; ///< Of chunks that came before their turn.
    };

    explicit RequestTracker(Options options);

    void start(TrackerActions &actions);

    /** The present attempt was given to a link. */
    void dispatched(AttemptTarget target);

    /** The link would not take the present attempt: it never left the process. */
    void notSent(MonoTime now, TrackerActions &actions);

    /** No endpoint is left to try. @param reason why; used if no agent gave a better one. */
    void noEndpoint(Failure reason, TrackerActions &actions);

    void chunk(LinkId link, wire::Chunk &&chunk, MonoTime now, TrackerActions &actions);
    void finish(LinkId link, const wire::Finish &finish, MonoTime now, TrackerActions &actions);
    void queryAnswer(LinkId link, const wire::QueryAnswer &answer, MonoTime now, TrackerActions &actions);

    /** A link ended; a fresh one is being dialled. */
    void linkDown(LinkId link);

    /** A fresh link to an agent is ready. */
    void linkUp(const AttemptTarget &fresh, MonoTime now, TrackerActions &actions);

    /** A fresh connection to this agent failed too. */
    void peerLost(std::string_view agent, MonoTime now, TrackerActions &actions);

    void deadlinePassed(TrackerActions &actions);

    /** The caller hung up: no Conclude follows. */
    void callerGone(TrackerActions &actions);

    /** Gives the request up for a reason of the entry's own, e.g. an answer over its limit. */
    void giveUp(Failure reason, TrackerActions &actions);

    bool isDone() const
    {
        return state_ == State::Done;
    }

    const RequestId &id() const
    {
        return options_.id;
    }

    MonoTime deadline() const
    {
        return options_.deadline;
    }

    /** Chunks given out so far. */
    std::uint32_t delivered() const
    {
        return nextChunk_;
    }

    /** @return NotRun only if no attempt can have run, by what is known now. */
    Verdict verdict() const;

private:
    enum class State : std::uint8_t {
        Idle,
        Choosing, ///< ChooseEndpoint is being carried out.
        Sent, ///< The present attempt is on a link.
        Stranded, ///< Its link ended; waiting for a fresh one.
        Querying, ///< Waiting for the QueryAnswer.
        Done,
    };

    struct Attempt {
        AttemptTarget target;
        Verdict verdict = Verdict::NotRun;
    };

    wire::AttemptId attemptId() const;
    Attempt &present();
    bool isPresent(LinkId link, const wire::AttemptId &id) const;
    void choose(RetryReason reason, TrackerActions &actions);
    void deliverInOrder(TrackerActions &actions);
    void concludeIfWhole(TrackerActions &actions);
    void attemptFailed(Failure failure, std::uint32_t status, MonoTime now, TrackerActions &actions);
    bool mayTryAgain(const Failure &failure, std::uint32_t status, MonoTime now) const;
    void cancelPresent(TrackerActions &actions);
    void rememberRefusal(const Failure &failure);
    void learnOfEarlierAttempt(const wire::Finish &finish);
    void conclude(Failure failure, TrackerActions &actions);

    Options options_;
    State state_ = State::Idle;
    std::vector<Attempt> attempts_;
    std::uint32_t nextChunk_ = 0;
    std::map<std::uint32_t, std::string> held_; ///< Chunks of the present attempt that came before their turn.
    std::size_t heldBytes_ = 0;
    std::optional<wire::Finish> success_; ///< Came, but chunks before it are missing.
    bool attachedForGap_ = false;
    std::optional<Failure> refusal_; ///< The most telling refusal so far.
};

} // namespace magnolia::entry

#endif
