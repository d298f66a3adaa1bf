#ifndef MAGNOLIA_EXPERTS_SWITCHRANK_H
#define MAGNOLIA_EXPERTS_SWITCHRANK_H

#include "experts/expertmap.h"
#include "experts/switchprotocol.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::experts
{

/**
 * One rank's side of a switch of expert maps: takes messages and what its engine tells, gives messages and orders.
 *
 * Lives as long as its agent's process and is owned by the agent's group task; one thread. Pure: the caller sends the
 * messages (also those to its own rank), runs the orders one after the other, reads the engine's state back after each
 * order and hands it to onEngineState. It keeps one read in progress at a time, on a connection of its own, so that an
 * old state never comes after a newer one. Nothing is answered before the first state has been handed in.
 *
 * @code
 * SwitchRank<> rank({.group = "a", .rank = 3, .ranks = 12, .incarnation = 7, .recordedMap = 41});
 * run(rank.start());
 * run(rank.receive(message)); // from a link
 * run(rank.onEngineState(state)); // from GET /control/experts
 * run(rank.tick()); // every few milliseconds while isBusy()
 * @endcode
 */
template<typename Rules = SwitchRules>
class SwitchRank
{
public:
    struct Options {
        std::string group;
        Rank rank = 0;
        Rank ranks = 0;
        wire::Incarnation incarnation = 0;
        MapNumber recordedMap = 0; ///< Highest number in the group's row when the agent started: older ones are refused.
        bool engineChecksFence = false; ///< Its engine refuses orders with an old fencing number.
    };

    enum class Outcome : std::uint8_t {
        Undecided,
        Committed,
        Aborted,
    };

    /** The switch that this rank knows of last. */
    struct Ballot {
        MapNumber map = 0; ///< 0: none.
        Step holdStep = 0;
        bool ordered = false; ///< This incarnation may have told its engine to hold.
        Outcome outcome = Outcome::Undecided;
        std::vector<Rank> yesVotes; ///< Other ranks known to hold, rising; gathered while in doubt.
        std::vector<Rank> askers; ///< Ranks that wait for this rank's vote, rising.

        auto operator<=>(const Ballot &) const = default; // NOLINT(modernize-use-nullptr)
    };

    /** A rank that waits for an answer about a map or an epoch. */
    struct Request {
        Rank from = 0;
        Epoch epoch = 0;
        MapNumber map = 0;

        auto operator<=>(const Request &) const = default; // NOLINT(modernize-use-nullptr)
    };

    /** All that changes; a value, so that a checker can compare and restore it. */
    struct State {
        bool isStarted = false; ///< The engine's state has been read since the agent started.
        bool isRefusing = false;
        EngineState engine; ///< As last read.
        MapNumber highest = 0; ///< Highest map number seen.
        MapNumber refusedUpTo = 0; ///< No map up to this number will get a yes that it has not got yet.
        MapNumber orderedUpTo = 0; ///< Highest map that this incarnation told its engine to hold for.
        Ballot ballot;
        std::optional<Request> loading; ///< To be answered Ready.
        std::optional<Request> inquiry; ///< To be answered State.
        std::optional<Request> joining; ///< To be answered Joined.

        auto operator<=>(const State &) const = default; // NOLINT(modernize-use-nullptr)
    };

    explicit SwitchRank(Options options);
    SwitchRank(Options options, State state);

    /**
     * Comes first. Where the engine checks fencing numbers, the first order raises the number that it has seen: its
     * success has to be known before the state is read, or it is given again.
     */
    SwitchActions start() const;

    SwitchActions receive(const wire::SwitchMessage &message);

    /** @param engine  as read after all orders that have ended */
    SwitchActions onEngineState(const EngineState &engine);

    /** Reads the engine's state again, repeats orders, and asks the other ranks if this one is in doubt. */
    SwitchActions tick();

    /** From now on switches that this rank has not voted for are refused, e.g. since its endpoint is leaving. */
    void refuse();

    /** @return whether tick() has anything to do. */
    bool isBusy() const;

    /** @return whether the engine holds for a map whose fate is not known here. */
    bool isInDoubt() const;

    const State &state() const;

private:
    void receiveLoad(const wire::SwitchMessage &message, SwitchActions &actions);
    void receivePrepare(const wire::SwitchMessage &message, SwitchActions &actions);
    void receiveInstruction(const wire::SwitchMessage &message, Outcome outcome, SwitchActions &actions);
    void receiveQuery(const wire::SwitchMessage &message, SwitchActions &actions);
    void receiveVote(const wire::SwitchMessage &message, SwitchActions &actions);
    void receiveOutcome(const wire::SwitchMessage &message, Outcome outcome, SwitchActions &actions);
    void receiveInquire(const wire::SwitchMessage &message, SwitchActions &actions);
    void receiveJoin(const wire::SwitchMessage &message, SwitchActions &actions);
    bool isOfThisEpoch(const wire::SwitchMessage &message) const;
    bool adoptBallot(MapNumber map, Step holdStep);
    bool canHold() const;
    bool isMapPending() const;
    Ballot newBallot(MapNumber map, Step holdStep) const;
    bool isOpen() const;
    bool isPrepared() const;
    bool isResolved() const;
    bool mayRefuseForPredecessor() const;
    void refuseBallot();
    void answer(MapNumber map, Rank asker, SwitchActions &actions);
    void answerAskers(SwitchActions &actions);
    void answerRequests(SwitchActions &actions);
    void learnOutcome();
    void settle(Outcome outcome);
    void orderOutcome(SwitchActions &actions) const;
    void order(EngineOrderKind kind, SwitchActions &actions) const;
    void send(SwitchKind kind, Rank to, MapNumber map, Step step, SwitchActions &actions) const;

    Options options_;
    State state_;
};

extern template class SwitchRank<SwitchRules>;

} // namespace magnolia::experts

#endif
