#ifndef MAGNOLIA_EXPERTS_SKEW_H
#define MAGNOLIA_EXPERTS_SKEW_H

#include "experts/expertmap.h"

#include <span>
#include <vector>

namespace magnolia::experts
{

/** What placement is decided on: the work per expert and the speed per rank. Views; the owner keeps them alive. */
struct Demand {
    std::vector<std::span<const double>> shares; ///< Per layer, one entry per expert; see Popularity::shares.
    std::span<const double> speeds; ///< One per rank; see RankSpeed::speeds.
};

/** @return time of each rank in one layer: its share of the work over its speed; tokens spread evenly over replicas. */
std::vector<double> predictedTimes(const ExpertMap &map, Layer layer, const Demand &demand);

/**
 * Predicts step-time skew: the sum over layers of the slowest rank's time, over that of the mean rank's time.
 *
 * Each layer ends in an exchange between all ranks, so the slowest rank of each layer counts.
 * @return 1.0 at best
 */
double predictedSkew(const ExpertMap &map, const Demand &demand);

} // namespace magnolia::experts

#endif
