#ifndef MAGNOLIA_GROUP_ARMEDSTATEPROVER_H
#define MAGNOLIA_GROUP_ARMEDSTATEPROVER_H

#include "group/rankstate.h"

#include <cstdint>
#include <map>
#include <optional>

namespace magnolia::group
{

/** What an agent remembers, since its process started, of the changes of map that it was told of. */
struct SwitchRecord {
    std::uint64_t preparedVersion = 0; ///< Version that it was last told to prepare; 0: none.
    bool isFresh = false; ///< No rank was armed or held when that change was begun.
    std::optional<PeerArm> peerArm{}; ///< The last order to arm that it gave to another rank's engine.
    std::uint64_t map = 0; ///< Version in use at its own rank.
};

/**
 * Proves, from what all other agents remember, whether the rank of a coordinator that can't be reached any more is armed.
 *
 * An instance that freezes or loses its network amid a change of map leaves a group that is held, and an engine of which
 * nobody can say whether it is armed: releasing the pass could split the group, and waiting costs callers the whole outage.
 * But a coordinator's own rank is armed by another agent, and last of all. So if all others still remember the change in
 * progress, and none has given that order, that rank is not armed; if one has and the engine took it, it is. An agent that has
 * started again meanwhile remembers nothing, and then nothing is proved.
 *
 * Holds only for the coordinator of the term just before, and only for a change that was begun while no rank was armed: what
 * an earlier coordinator or an undone change left behind is not known to the others. A value type.
 *
 * @code
 * witness.heard(rank, memory);
 * if (const auto proof = witness.judge({.rank = 3, .size = 12, .epoch = 1, .term = 7})) { change.vouch(3, proof->armed, now); }
 * @endcode
 */
class ArmedStateProver
{
public:
    void reset()
    {
        records_.clear();
    }

    void recordSwitch(std::uint32_t rank, const SwitchRecord &record)
    {
        records_[rank] = record;
    }

    struct Query {
        std::uint32_t rank = 0; ///< The one that can't be reached.
        std::uint32_t size = 0; ///< Ranks of the group.
        std::uint64_t epoch = 0;
        std::uint64_t term = 0; ///< In which that rank's agent coordinated.
    };

    struct Proof {
        std::optional<ArmedMap> armed{}; ///< Nothing: the rank is not armed.
    };

    /** @return nothing if nothing is proved. */
    std::optional<Proof> prove(const Query &query) const;

private:
    std::map<std::uint32_t, SwitchRecord> records_; ///< By rank.
};

} // namespace magnolia::group

#endif
