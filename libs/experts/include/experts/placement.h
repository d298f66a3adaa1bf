#ifndef MAGNOLIA_EXPERTS_PLACEMENT_H
#define MAGNOLIA_EXPERTS_PLACEMENT_H

#include "experts/expertmap.h"
#include "experts/skew.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace magnolia::experts
{

/** A map reached from another one, with what it takes to get there. */
struct PlacementStep {
    ExpertMap map;
    std::size_t moves = 0; ///< Replicas that ranks have to load, counted from the first map.
    double skew = 1; ///< Predicted.
};

/**
 * Works out where replicas go.
 *
 * Stateless apart from its options; any thread may use its own copy. Both ways keep at least two replicas of each
 * expert where slots allow, so that the loss of one rank loses no expert.
 */
class Placement
{
public:
    struct Options {
        std::uint32_t slotsPerRank = 0; ///< Replicas that a rank can hold, per layer.
        std::uint32_t minReplicas = 2; ///< Kept per expert where slots allow.
    };

    explicit Placement(Options options);

    /** Packs afresh: replica counts in proportion to popularity, onto ranks by expected load over measured speed. */
    ExpertMap pack(const ExpertMap::Shape &shape, const Demand &demand) const;

    /**
     * Improves a map by the few changes that relieve its slowest ranks most.
     * @return the maps on the way, each better than the one before; empty if nothing helps
     */
    std::vector<PlacementStep> improve(const ExpertMap &current, const Demand &demand, std::size_t maxMoves) const;

private:
    Options options_;
};

} // namespace magnolia::experts

#endif
