#include "group/rankwitness.h"

#include "group/mapswitch.h"

#include <algorithm>

namespace magnolia::group
{

std::optional<RankWitness::Proof> RankWitness::judge(const Question &question) const
{
    std::uint64_t told = 0;
    std::uint64_t inUse = 0;
    for (const auto &[rank, memory] : memories_) {
        told = std::max(told, memory.told);
        inUse = std::max(inUse, memory.map);
    }
    if (MapSwitch::termOf(told) != question.term) {
        return std::nullopt;
    }
    std::optional<ArmedMap> armed;
    bool isUnknown = false;
    for (std::uint32_t rank = 0; rank < question.size; ++rank) {
        if (rank == question.rank) {
            continue;
        }
        const auto found = memories_.find(rank);
        if (found == memories_.end() || found->second.told != told || !found->second.isFresh) {
            return std::nullopt;
        }
        const auto &order = found->second.peerArm;
        // An order for a version that is in use was carried out, and its pass has begun.
        if (!order || order->rank != question.rank || order->epoch != question.epoch || order->version <= inUse) {
            continue;
        }
        if (order->isAccepted && order->version == told) {
            armed = ArmedMap{.version = order->version, .step = order->step};
        } else {
            isUnknown = true; // It may have been carried out, or may be later.
        }
    }
    if (isUnknown && !armed) {
        return std::nullopt;
    }
    return Proof{.armed = armed};
}

} // namespace magnolia::group
