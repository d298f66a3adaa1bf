#ifndef MAGNOLIA_GROUP_ARMEDSTATEPROVER_H
#define MAGNOLIA_GROUP_ARMEDSTATEPROVER_H

#include "group/rankstate.h"

#include <cstdint>
#include <map>
#include <optional>

namespace magnolia::group
{

/** Orders of map switches that an agent has received since its process started. */
struct SwitchRecord {
    std::uint64_t orderedVersion = 0; ///< Version that it was last ordered to prepare; 0: none.
    bool isFresh = false; ///< No rank was armed or held when that switch began.
    std::optional<PeerArm> peerArm{}; ///< The last order to arm that it sent to another rank's engine.
    std::uint64_t mapVersion = 0; ///< Version of the map in use on its own rank.
};

/**
 * Derives from the records of all other agents whether the rank of an unreachable coordinator is armed.
 *
 * If an instance freezes or loses its network during a map switch, the group stays held and it is unknown whether that instance's engine is armed. Releasing
 * the pass could leave ranks on different maps, and waiting blocks callers for the whole outage. A coordinator's own rank, however, is armed by another agent
 * and after all other ranks. If all other agents still have a record of the current switch and none has sent that order, the rank is not armed. If one has sent
 * it and the engine accepted it, the rank is armed. An agent that has restarted has no record, and then nothing can be proven.
 *
 * Applies only to the coordinator of the preceding term, and only to a switch that began while no rank was armed: orders of earlier coordinators or of an
 * undone switch are not in the records. A value type.
 *
 * @code
 * prover.recordSwitch(rank, record);
 * if (const auto proof = prover.prove({.rank = 3, .size = 12, .epoch = 1, .term = 7})) { change.setProvenState(3, proof->armed, now); }
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
        std::uint32_t rank = 0; ///< The unreachable rank.
        std::uint32_t size = 0; ///< Number of ranks in the group.
        std::uint64_t epoch = 0;
        std::uint64_t term = 0; ///< Term in which the agent of that rank was the coordinator.
    };

    struct Proof {
        std::optional<ArmedMap> armed{}; ///< Empty if the rank is not armed.
    };

    /** @return nothing if the state cannot be proven. */
    std::optional<Proof> prove(const Query &query) const;

private:
    std::map<std::uint32_t, SwitchRecord> records_; ///< By rank.
};

} // namespace magnolia::group

#endif
