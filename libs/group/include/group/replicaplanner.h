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

/** A map that is worth changing to. */
struct ReplicaPlan {
    ExpertMap map;
    std::size_t copies = 0; ///< Experts that ranks have to take on, in all.
    double loadBefore = 0; ///< Sum over sets of the most loaded rank's work, where an even spread of a set has 1.
    double loadAfter = 0;
};

/**
 * Works out which experts to hold more often, and where, in one change of map.
 *
 * All ranks of a group run a pass together, and in each set the most loaded rank is waited for: what counts is the sum
 * over sets of the highest load. Takes the change that relieves the most loaded rank most, one after the other: a further
 * replica of one of its experts on another rank, in a free place or in that of an expert that others hold too; the same in place
 * of its own; or that it leaves the expert to the others that hold it. Copies cost time and ranks copy side by side, so what is
 * bounded is the number of copies of each rank.
 *
 * A rank that works at a slower pace takes longer for the same work, and all wait for it: its work counts by its pace, so that
 * it is left with little, or no, experts, and gets them back as its pace recovers. A value type.
 *
 * @code
 * const ReplicaPlanner planner({.placesPerRank = 11, .mostNewPerSet = 4, .mostNewPerRank = 3, .leastGain = 0.1});
 * if (const auto plan = planner.plan(map, shares)) { begin(plan->map); }
 * @endcode
 */
class ReplicaPlanner
{
public:
    struct Options {
        std::size_t maxExpertsPerRank = 0; ///< In each set.
        std::size_t maxCopiesPerSet = 0; ///< Copies of one rank in one set that the engine takes in one change.
        std::size_t maxCopiesPerRank = 0; ///< Copies of one rank in all: bounds the time that a change takes.
        double minGain = 0.05; ///< Least relative fall of the load for which a change is worth its copies.
    };

    explicit ReplicaPlanner(Options options) : options_(options) {}

    /**
     * @param shares by set, each expert's part of the set's work.
     * @param paces by rank, how many times as long as usual it takes; 1 where none is given.
     * @return nothing if no change is worth it.
     */
    std::optional<ReplicaPlan> plan(const ExpertMap &current, std::span<const std::vector<double>> shares, std::span<const double> paces = {}) const;

    /** @return sum over sets of the slowest rank's time; 1 for each set with an even spread and no slow rank. */
    static double load(const ExpertMap &map, std::span<const std::vector<double>> shares, std::span<const double> paces = {});

private:
    Options options_;
};

} // namespace magnolia::group

#endif
