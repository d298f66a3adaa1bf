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
    RankExperts map;
    std::size_t copies = 0; ///< Experts that ranks have to take on, in all.
    double loadBefore = 0; ///< Sum over sets of the most loaded rank's work, where an even spread of a set has 1.
    double loadAfter = 0;
};

/**
 * Works out which experts to hold more often, and where, in one change of map.
 *
 * All ranks of a group run a pass together, and in each set the most loaded rank is waited for: what counts is the sum
 * over sets of the highest load. Takes the change that relieves the most loaded rank most, one after the other: a further
 * replica of one of its experts on another rank, in a free place or in that of an expert that others hold too. Each change
 * costs a copy, and ranks copy side by side, so what is bounded is the number of copies of each rank. A value type.
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
        std::size_t placesPerRank = 0; ///< In each set.
        std::size_t mostNewPerSet = 0; ///< Copies of one rank in one set that the engine takes in one change.
        std::size_t mostNewPerRank = 0; ///< Copies of one rank in all: bounds the time that a change takes.
        double leastGain = 0.05; ///< Least relative fall of the load for which a change is worth its copies.
    };

    explicit ReplicaPlanner(Options options) : options_(options) {}

    /** @param shares by set, each expert's part of the set's work. @return nothing if no change is worth it. */
    std::optional<ReplicaPlan> plan(const RankExperts &current, std::span<const std::vector<double>> shares) const;

    /** @return sum over sets of the most loaded rank's work; 1 for each set with an even spread. */
    static double load(const RankExperts &map, std::span<const std::vector<double>> shares);

private:
    Options options_;
};

} // namespace magnolia::group

#endif
