#ifndef MAGNOLIA_EXPERTS_EPOCHCOORDINATOR_H
#define MAGNOLIA_EXPERTS_EPOCHCOORDINATOR_H

#include "experts/expertmap.h"
#include "experts/switchprotocol.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace magnolia::experts
{

/**
 * Brings all ranks of a group into a new epoch, after one was replaced or its engine restarted.
 *
 * Made by the holder of the group's lease after it has recorded the epoch's number; never given the same number twice,
 * nor after a restart, so that one epoch begins with one map only. It begins with the highest map that any survivor of
 * the latest epoch has committed. Owned by the agent's group task; one thread. Pure, as SwitchCoordinator.
 */
class EpochCoordinator
{
public:
    struct Options {
        std::string group;
        Rank rank = 0;
        Rank ranks = 0;
        wire::Incarnation incarnation = 0;
        Epoch epoch = 0; ///< The new one.
        std::map<MapNumber, std::string> maps; ///< Recorded maps by number, as ExpertMap::encode(); at least one.
    };

    enum class Phase : std::uint8_t {
        Inquiring,
        Joining,
        Finished,
    };

    /** What it knows of one rank. */
    struct Member {
        bool hasAnswered = false;
        Epoch epoch = 0; ///< That the engine was in; 0: it has restarted.
        MapNumber map = 0;
        bool hasJoined = false;

        auto operator<=>(const Member &) const = default; // NOLINT(modernize-use-nullptr)
    };

    /** All that changes. */
    struct State {
        Phase phase = Phase::Inquiring;
        MapNumber map = 0; ///< Chosen.
        Step firstStep = 1;
        std::vector<Member> members;

        auto operator<=>(const State &) const = default; // NOLINT(modernize-use-nullptr)
    };

    explicit EpochCoordinator(Options options);
    EpochCoordinator(Options options, State state);

    SwitchActions receive(const wire::SwitchMessage &message);

    /** Repeats whatever has not been answered. */
    SwitchActions tick();

    const State &state() const;

private:
    void receiveState(const wire::SwitchMessage &message, SwitchActions &actions);
    void choose();
    void send(SwitchKind kind, Rank to, SwitchActions &actions) const;

    Options options_;
    State state_;
};

} // namespace magnolia::experts

#endif
