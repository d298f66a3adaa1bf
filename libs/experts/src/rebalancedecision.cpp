#include "experts/rebalancedecision.h"

#include <utility>

namespace magnolia::experts
{

namespace
{

constexpr double BytesPerGigabyte = 1e9;
constexpr double MillisecondsPerSecond = 1000;

double seconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MillisecondsPerSecond;
}

} // namespace

RebalanceDecision::RebalanceDecision(Options options) : options_(options) {}

std::optional<RebalancePlan> RebalanceDecision::decide(MonoTime now, const ExpertMap &current, const Demand &demand) const
{
    if (lastSwitch_ && now - *lastSwitch_ < options_.minInterval) {
        return std::nullopt;
    }
    const double skewBefore = predictedSkew(current, demand);
    const Placement placement({.slotsPerRank = options_.slotsPerRank, .minReplicas = options_.minReplicas});
    std::optional<RebalancePlan> best;
    // Stopping early is weighed as well: the first moves save most, later ones may cost more than they save.
    for (const PlacementStep &step : placement.improve(current, demand, options_.maxMoves)) {
        RebalancePlan plan = weigh(step, skewBefore);
        const bool isWorthIt = plan.benefit > plan.cost * (1 + options_.hysteresis) && skewBefore - plan.skewAfter >= options_.smallestGain;
        if (isWorthIt && (!best || plan.benefit - plan.cost > best->benefit - best->cost)) {
            best = std::move(plan);
        }
    }
    return best;
}

void RebalanceDecision::noteSwitch(MonoTime now)
{
    lastSwitch_ = now;
}

RebalancePlan RebalanceDecision::weigh(const PlacementStep &step, double skewBefore) const
{
    const double bytes = static_cast<double>(step.moves) * options_.bytesPerExpert;
    const double gigabytes = bytes / BytesPerGigabyte + seconds(options_.stall) * options_.gigabytesPerStallSecond;
    return {.map = step.map,
            .moves = step.moves,
            .bytes = bytes,
            .skewBefore = skewBefore,
            .skewAfter = step.skew,
            .benefit = (skewBefore - step.skew) * seconds(options_.horizon) * options_.skewWeight,
            .cost = gigabytes * options_.rebalanceWeight};
}

} // namespace magnolia::experts
