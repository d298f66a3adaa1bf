#ifndef MAGNOLIA_EXPERTS_SWITCHCOORDINATOR_H
#define MAGNOLIA_EXPERTS_SWITCHCOORDINATOR_H

#include "experts/expertmap.h"
#include "experts/switchprotocol.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace magnolia::experts
{

/**
 * Drives one switch of a group to one map: loading, vote, outcome.
 *
 * Made by the holder of the group's lease after it has recorded the map's number; it is never given the same number
 * twice, nor after a restart. It has no say in the outcome: if it dies, ranks in doubt settle it among themselves.
 * Owned by the agent's group task; one thread. Pure: the caller sends the messages, also those to its own rank.
 *
 * @code
 * SwitchCoordinator<> coordinator({.group = "a", .rank = 0, .ranks = 12, .incarnation = 7, .epoch = 2, .map = 42, .payload = map.encode()});
 * send(coordinator.tick(step)); // at once and every few milliseconds until phase() is Finished
 * send(coordinator.receive(message));
 * @endcode
 */
template<typename Rules = SwitchRules>
class SwitchCoordinator
{
public:
    struct Options {
        std::string group;
        Rank rank = 0; ///< Of the agent that it runs in.
        Rank ranks = 0;
        wire::Incarnation incarnation = 0;
        Epoch epoch = 0;
        MapNumber map = 0;
        std::string payload; ///< ExpertMap::encode()
        Step margin = 40; ///< Steps between the furthest rank and the hold step: the vote should end within them.
    };

    enum class Phase : std::uint8_t {
        Loading, ///< Nothing is held; giveUp() may end it.
        Voting, ///< The outcome is up to the ranks.
        Committing, ///< Telling all ranks.
        Aborting, ///< Telling all ranks.
        Finished, ///< All ranks have applied the outcome.
        GivenUp,
    };

    /** What it knows of one rank. */
    struct Member {
        bool isReady = false;
        wire::Incarnation incarnation = 0; ///< That Prepare is addressed to.
        bool votedYes = false;
        bool hasApplied = false;

        auto operator<=>(const Member &) const = default; // NOLINT(modernize-use-nullptr)
    };

    /** All that changes; a value, so that a checker can compare and restore it. */
    struct State {
        Phase phase = Phase::Loading;
        bool isCommitted = false;
        Step furthestStep = 0;
        Step holdStep = 0;
        std::vector<Member> members; ///< By rank.

        auto operator<=>(const State &) const = default; // NOLINT(modernize-use-nullptr)
    };

    explicit SwitchCoordinator(Options options);
    SwitchCoordinator(Options options, State state);

    SwitchActions receive(const wire::SwitchMessage &message);

    /** Repeats whatever has not been answered. @param ownStep  latest step of the engine beside it */
    SwitchActions tick(Step ownStep);

    /** Ends a switch that takes too long to load. @return false if the vote has begun: then it must go on. */
    bool giveUp();

    Phase phase() const;
    bool isCommitted() const; ///< Meaningful from Committing or Aborting on.
    const State &state() const;

private:
    void receiveReady(const wire::SwitchMessage &message, SwitchActions &actions);
    void receiveYes(Rank from, SwitchActions &actions);
    void decide(bool isCommitted, SwitchActions &actions);
    void sendPhase(SwitchActions &actions) const;
    void send(SwitchKind kind, Rank to, SwitchActions &actions) const;

    Options options_;
    State state_;
};

extern template class SwitchCoordinator<SwitchRules>;

} // namespace magnolia::experts

#endif
