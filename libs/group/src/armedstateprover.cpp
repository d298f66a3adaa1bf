#include "group/armedstateprover.h"

#include "group/mapswitch.h"

#include <algorithm>

namespace magnolia::group
{

std::optional<ArmedStateProver::Proof> ArmedStateProver::prove(const Query &query) const
{
    std::uint64_t latestVersion = 0;
    std::uint64_t mapInUse = 0;
    for (const auto &[rank, record] : records_) {
        latestVersion = std::max(latestVersion, record.orderedVersion);
        mapInUse = std::max(mapInUse, record.mapVersion);
    }
    if (MapSwitch::termOf(latestVersion) != query.term) {
        return std::nullopt;
    }
    std::optional<ArmedMap> armed;
    bool isUnknown = false;
    for (std::uint32_t rank = 0; rank < query.size; ++rank) {
        if (rank == query.rank) {
            continue;
        }
        const auto found = records_.find(rank);
        if (found == records_.end() || found->second.orderedVersion != latestVersion || !found->second.isFresh) {
            return std::nullopt;
        }
        const auto &order = found->second.peerArm;
        // An order for a version that is in use was executed, and its pass has begun.
        if (!order || order->rank != query.rank || order->epoch != query.epoch || order->version <= mapInUse) {
            continue;
        }
        if (order->isAccepted && order->version == latestVersion) {
            armed = ArmedMap{.version = order->version, .step = order->step};
        } else {
            isUnknown = true; // The order may have been executed or may still be.
        }
    }
    if (isUnknown && !armed) {
        return std::nullopt;
    }
    return Proof{.armed = armed};
}

} // namespace magnolia::group
