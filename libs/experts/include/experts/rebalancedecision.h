#ifndef MAGNOLIA_EXPERTS_REBALANCEDECISION_H
#define MAGNOLIA_EXPERTS_REBALANCEDECISION_H

#include "experts/placement.h"

#include "base/clock.h"

#include <cstdint>
#include <optional>

namespace magnolia::experts
{

/** A switch that is worth its cost. */
struct RebalancePlan {
    ExpertMap map;
    std::size_t moves = 0; ///< Replicas to load.
    double bytes = 0;
    double skewBefore = 1;
    double skewAfter = 1;
    double benefit = 0; ///< In the deployment's own unit of cost.
    double cost = 0;
};

/**
 * Decides whether a switch of expert maps is worth it, and how far it goes.
 *
 * A switch is taken if the predicted skew that it saves over the horizon, times the skew weight, exceeds its cost:
 * (gigabytes moved + what the stall is worth in gigabytes) times the rebalance weight. Hysteresis keeps it from
 * switching back and forth on noise. Owned by the group's controller; one thread.
 *
 * @code
 * RebalanceDecision decision({.skewWeight = 4, .rebalanceWeight = 1, .bytesPerExpert = 40e6, .slotsPerRank = 16});
 * if (const auto plan = decision.decide(now, map, demand)) { ... }
 * @endcode
 */
class RebalanceDecision
{
public:
    struct Options {
        double skewWeight = 1; ///< Cost of a unit of skew, per second (manifest::Group::skewWeight).
        double rebalanceWeight = 1; ///< Cost of a gigabyte moved (manifest::Group::rebalanceWeight).
        double bytesPerExpert = 0; ///< Weights of one replica in one layer.
        std::uint32_t slotsPerRank = 0;
        std::uint32_t minReplicas = 2;
        Duration horizon{40000}; ///< How long the saving is expected to last.
        Duration stall{20}; ///< How long one switch holds the group's steps.
        double gigabytesPerStallSecond = 20; ///< What a second of held steps weighs against bytes.
        double hysteresis = 0.25; ///< The benefit must exceed the cost by this part of it.
        double smallestGain = 0.005; ///< Skew saved below this is taken for noise.
        Duration minInterval{5000}; ///< Between two switches.
        std::size_t maxMoves = 64; ///< Per switch.
    };

    explicit RebalanceDecision(Options options);

    /** @return the plan with the greatest benefit over cost, or nothing if none is worth it. */
    std::optional<RebalancePlan> decide(MonoTime now, const ExpertMap &current, const Demand &demand) const;

    /** Tells it that a switch was begun; the next one waits for minInterval. */
    void noteSwitch(MonoTime now);

private:
    RebalancePlan weigh(const PlacementStep &step, double skewBefore) const;

    Options options_;
    std::optional<MonoTime> lastSwitch_;
};

} // namespace magnolia::experts

#endif
