#ifndef MAGNOLIA_GROUP_REPLICAPLANNER_H
#define MAGNOLIA_GROUP_REPLICAPLANNER_H

#include "group/rankstate.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace magnolia::group
{

/** A map that is worth switching to. */
struct ReplicaPlan {
    ExpertMap map;
    std::size_t copies = 0; ///< Total number of experts that ranks have to copy.
    std::size_t mostCopiesOfRank = 0; ///< Copies of the rank that copies most; ranks copy in parallel.
    double loadBefore = 0; ///< Sum over sets of the most loaded rank's work; 1 for each set with an even spread.
    double loadAfter = 0;
};

/**
 * Plans which experts get additional replicas, and on which ranks, in one map switch.
 *
 * All ranks of a group run each pass together and in each set wait for the most loaded rank, so the cost is the sum over sets of the highest load. The planner
 * is greedy: it repeatedly applies the change that relieves the most loaded rank most. A change adds a replica of one of that rank's experts on another rank,
 * if necessary in place of an expert that has further replicas; moves the expert to the other rank in the same way; or drops the expert if other ranks hold it
 * too. Copies take time and ranks copy in parallel, so the number of copies is limited for each rank.
 *
 * A slow rank takes longer for the same work, and all ranks wait for it. Its work is weighted by its pace, so that it keeps few or no experts and gets them
 * back when its pace recovers. A value type.
 *
 * @code
 * const ReplicaPlanner planner({.maxExpertsPerRank = 11, .maxCopiesPerSet = 4, .maxCopiesPerRank = 3, .minGain = 0.1});
 * if (const auto plan = planner.plan(map, shares)) { begin(plan->map); }
 * @endcode
 */
class ReplicaPlanner
{
public:
    struct Options {
        std::size_t maxExpertsPerRank = 0; ///< Experts that a rank can hold in each set.
        std::size_t maxCopiesPerSet = 0; ///< Copies to one rank in one set that the engine accepts in one switch.
        std::size_t maxCopiesPerRank = 0; ///< Copies to one rank in all sets; limits the duration of a switch.
        double minGain = 0.05; ///< Smallest relative reduction of the load that is worth a switch.
    };

    explicit ReplicaPlanner(Options options) : options_(options) {}

    /**
     * @param shares by set, the share of each expert in the work of the set.
     * @param paces by rank, its time for the same work relative to normal; 1 if missing.
     * @return nothing if no switch is worthwhile.
     */
    std::optional<ReplicaPlan> plan(const ExpertMap &current, std::span<const std::vector<double>> shares, std::span<const double> paces = {}) const;

    /** @return the sum over sets of the slowest rank's time; 1 for each set with an even spread and no slow rank. */
    static double load(const ExpertMap &map, std::span<const std::vector<double>> shares, std::span<const double> paces = {});

private:
    Options options_;
};

} // namespace magnolia::group

#endif
