#ifndef MAGNOLIA_GROUP_CHANGEPOLICY_H
#define MAGNOLIA_GROUP_CHANGEPOLICY_H

#include "base/clock.h"
#include "group/passmodel.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace magnolia::group
{

/**
 * Decides whether the load of a map is uneven enough to plan a switch to a better one.
 *
 * A switch costs copies of experts, lengthens passes while ranks copy, and delays the next switch. A switch that brings little gain is therefore harmful if
 * demand shifts just after it has begun, for as long as a copy takes. While passes are short compared to the pause that routes allow, a more even map does not
 * improve latency, so only a clearly uneven map is changed. When pass times approach the allowed pause, every hundredth of load counts.
 *
 * Only the part of the copy time that exceeds the rest of a switch matters: shorter copies hardly delay the next switch. A value type.
 *
 * @code
 * policy.recordStep(state.step, state.runningRequests > 0, now);
 * if (policy.needsChange(ReplicaPlanner::load(map, demand) / sets)) { planSwitch(); }
 * @endcode
 */
class ChangePolicy
{
public:
    struct Options {
        Duration pauseObjective{0}; ///< Longest pause that routes allow between two events of a stream; each pass yields one event. 0: no objective, so every
                                    ///< hundredth of load counts.
        double balancedLoad = 1.06; ///< Load of the most loaded rank relative to an even spread, up to which no switch can reach the minimum gain.
        std::chrono::duration<double> copyTime{0}; ///< Time to copy one expert to one rank; the next switch is delayed by as much.
        /** Time that a switch takes besides copying. Copies that take no longer than this do not count as a delay. */
        std::chrono::duration<double> switchOverhead{0.1};
        double tolerancePerSecond = 1.5; ///< Additional load tolerated while passes are short, for each second of copy time beyond switchOverhead.
        /** Passes below this fraction of the pause objective are short. The first pass after a shift of demand takes about twice as long. */
        double shortPassFraction = 0.55;
        /** Smallest gain that is worth a switch, as a fraction of the time that passes could still grow before they reach the pause objective. */
        double minHeadroomFraction = 0.1;
    };

    explicit ChangePolicy(Options options) : options_(options) {}

    /** Records the last pass that a rank reports. @param isBusy whether requests are running; an idle group makes no passes. */
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

    /** @param load of the most loaded rank as a mean over sets; 1 is an even spread. */
    bool needsChange(double load) const
    {
        const bool arePassesShort = passTime_ < options_.pauseObjective * options_.shortPassFraction;
        const double blockedSeconds = std::max((options_.copyTime - options_.switchOverhead).count(), 0.0); // Seconds.
        return load > options_.balancedLoad + (arePassesShort ? options_.tolerancePerSecond * blockedSeconds : 0);
    }

    /**
     * Whether a switch shortens passes by enough to matter to callers. While passes are far below the pause objective, a few milliseconds make no stream timely
     * that would be late otherwise, yet copies have to be made and the next switch has to wait.
     *
     * @param before predicted pass time with the map in use.
     * @param after the same with the new map.
     */
    bool isWorthwhile(PassModel::Milliseconds before, PassModel::Milliseconds after) const
    {
        const PassModel::Milliseconds headroom = std::max(options_.pauseObjective - before, PassModel::Milliseconds(0));
        return options_.pauseObjective == Duration(0) || before - after >= headroom * options_.minHeadroomFraction;
    }

    /** Whether the most even map that can be hoped for would be worthwhile. To find a map takes much longer than to decide this. */
    bool mayBeWorthwhile(const PassModel &passes, double load) const
    {
        return isWorthwhile(passes.predict(load), passes.predict(options_.balancedLoad));
    }

    /** @return the exponentially smoothed pass time. */
    std::chrono::duration<double, std::milli> passTime() const
    {
        return passTime_;
    }

private:
    // Reports arrive about every 100 ms and cover one to three passes, so the latest third of a second has the most weight.
    static constexpr double SmoothingFactor = 0.3;

    Options options_;
    std::chrono::duration<double, std::milli> passTime_{0};
    std::uint64_t step_ = 0;
    BootTime stepSeenAt_; ///< When step_ was first reported.
    bool isBusy_ = false;
};

} // namespace magnolia::group

#endif
