#include "routing/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace magnolia::routing
{

namespace
{

/** @return the utilisation of the engines' slots at which the same pass would have met the pause objective. */
double utilisationMeetingObjective(const ConcurrencyLimit::Pause &pause, const StepModel &steps, double utilisation)
{
    const double slots = steps.slots;
    const double currentStepMs = steps.stepMs + steps.perRequestMs * utilisation * slots;
    // Expert imbalance and prompts lengthen each step by a factor that does not depend on the number of streams.
    const double targetStepMs = currentStepMs * (std::chrono::duration<double>(pause.objective) / std::chrono::duration<double>(pause.pause));
    return (targetStepMs - steps.stepMs) / steps.perRequestMs / slots;
}

} // namespace

void ConcurrencyLimit::onLoadReport(const LoadReport &report, BootTime now)
{
    if (report.slots == 0) {
        return;
    }
    const double halves = std::chrono::duration<double>(now - utilisationAt_) / std::chrono::duration<double>(options_.reportHalfLife);
    const double factor = std::exp2(-std::max(halves, 0.0));
    const double utilisation = std::min(static_cast<double>(report.running) / report.slots, 1.0);
    weightedUtilisation_ = weightedUtilisation_ * factor + utilisation;
    utilisationWeight_ = utilisationWeight_ * factor + 1;
    utilisationAt_ = now;
}

bool ConcurrencyLimit::onPause(const Pause &pause, const StepModel &steps, BootTime now)
{
    const bool isTooLong = pause.objective.count() > 0 && pause.pause > pause.objective;
    const bool hasData = utilisationWeight_ > 0 && steps.perRequestMs > 0;
    if (!isTooLong || !hasData || now < decreasedAt_ + options_.decreaseInterval) {
        return false;
    }
    const double targetUtilisation = utilisationMeetingObjective(pause, steps, utilisation());
    if (targetUtilisation < options_.minUtilisation) {
        return false;
    }
    const double factor = std::max(targetUtilisation / utilisation(), options_.minDecreaseFactor);
    limit_ = std::max(static_cast<double>(pause.inProgress) * factor, options_.minLimit);
    instancesAtDecrease_ = pause.instances;
    decreasedAt_ = now;
    return true;
}

/** @return the fraction of the endpoints' slots in use. Requires at least one report. */
double ConcurrencyLimit::utilisation() const
{
    return weightedUtilisation_ / utilisationWeight_;
}

double ConcurrencyLimit::limitAt(std::size_t instances, BootTime now) const
{
    const double concentration = static_cast<double>(instancesAtDecrease_) / static_cast<double>(std::max<std::size_t>(instances, 1));
    return *limit_ * std::max(concentration, 1.0) * std::exp(options_.growthPerSecond * std::chrono::duration<double>(now - decreasedAt_).count());
}

} // namespace magnolia::routing
