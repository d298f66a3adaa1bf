#ifndef MAGNOLIA_GROUP_CHANGEPOLICY_H
#define MAGNOLIA_GROUP_CHANGEPOLICY_H

#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace magnolia::group
{

/**
 * Judges whether a map is uneven enough for a change to be looked for.
 *
 * A change costs copies, makes passes longer while ranks copy, and keeps the next change waiting: one that only polishes the map is in the
 * way when demand shifts a moment later, for as long as a copy takes. While passes are short beside the pause that routes allow, nobody is served better by
 * a more even map, so that only an uneven one is changed; when passes come near it, each hundredth counts.
 *
 * Only copies that take longer than the rest of a change count: shorter ones keep the next change waiting for hardly longer. A value type.
 *
 * @code
 * policy.reported(state.step, state.running > 0, now);
 * if (policy.wantsChange(ReplicaPlanner::load(map, demand) / sets)) { plan(); }
 * @endcode
 */
class ChangePolicy
{
public:
    struct Options {
        Duration pauseObjective{0}; ///< Longest pause that routes allow between events, one pass each; 0: none stated, each hundredth counts.
        double balancedLoad = 1.06; ///< Most loaded rank against an even spread: no change could then save the least gain.
        std::chrono::duration<double> copyTime{0}; ///< Of one expert to one rank: for so long a change keeps the next one waiting.
        std::chrono::duration<double> switchOverhead{0.1}; ///< Of a change, besides copying: a copy that takes no longer is in nobody's way.
        double tolerancePerSecond = 1.5; ///< By how much less even a map may be at ease, for each second that a copy takes beyond that.
        double shortPassFraction = 0.55; ///< Of the pause objective that a pass may take to be short: the first one after a shift takes about twice as long.
    };

    explicit ChangePolicy(Options options) : options_(options) {}

    /** The latest pass, as a rank reports it. @param isBusy requests are being answered; an idle group makes no passes. */
    void recordStep(std::uint64_t step, bool isBusy, BootTime now)
    {
        const bool isContinued = isBusy_ && step > step_;
        if (isContinued) {
            const auto stepTime = std::chrono::duration<double, std::milli>(now - stepSeenAt_) / static_cast<double>(step - step_);
            passTime_ += (stepTime - passTime_) * SmoothingFactor;
        }
        if (step != step_ || !isBusy_) {
            step_ = step;
            stepSeenAt_ = now;
        }
        isBusy_ = isBusy;
    }

    /** @param load of the most loaded rank, 1 where work is spread evenly; as a mean over sets. */
    bool needsChange(double load) const
    {
        const bool arePassesShort = passTime_ < options_.pauseObjective * options_.shortPassFraction;
        const double blockedSeconds = std::max((options_.copyTime - options_.switchOverhead).count(), 0.0); // Seconds.
        return load > options_.balancedLoad + (arePassesShort ? options_.tolerancePerSecond * blockedSeconds : 0);
    }

    /** @return smoothed. */
    std::chrono::duration<double, std::milli> passTime() const
    {
        return passTime_;
    }

private:
    // Reports come some 100 ms apart and tell of one to three passes: the latest third of a second counts most.
    static constexpr double SmoothingFactor = 0.3;

    Options options_;
    std::chrono::duration<double, std::milli> passTime_{0};
    std::uint64_t step_ = 0;
    BootTime stepSeenAt_; ///< When that step was first reported.
    bool isBusy_ = false;
};

} // namespace magnolia::group

#endif
