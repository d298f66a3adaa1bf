#include "routing/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace magnolia::routing
{

namespace
{

/** @return part of the engines' places with which the same pass would have been in time. */
double wantedUse(const ConcurrencyLimit::Pause &pause, const StepModel &steps, double use)
{
    const double slots = steps.slots;
    const double stepNow = steps.stepMs + steps.perRequestMs * use * slots;
    // Uneven experts and prompts stretch each step by the same factor, whatever the number of streams.
    const double stepWanted = stepNow * (std::chrono::duration<double>(pause.objective) / std::chrono::duration<double>(pause.pause));
    return (stepWanted - steps.stepMs) / steps.perRequestMs / slots;
}

} // namespace

void ConcurrencyLimit::onLoadReport(const LoadReport &report, BootTime now)
{
    if (report.slots == 0) {
        return;
    }
    const double halves = std::chrono::duration<double>(now - useAt_) / std::chrono::duration<double>(options_.useHalfLife);
    const double factor = std::exp2(-std::max(halves, 0.0));
    const double use = std::min(static_cast<double>(report.running) / report.slots, 1.0);
    use_ = use_ * factor + use;
    useWeight_ = useWeight_ * factor + 1;
    useAt_ = now;
}

bool ConcurrencyLimit::onPause(const Pause &pause, const StepModel &steps, BootTime now)
{
    const bool isTooLong = pause.objective.count() > 0 && pause.pause > pause.objective;
    const bool isKnown = useWeight_ > 0 && steps.perRequestMs > 0;
    if (!isTooLong || !isKnown || now < loweredAt_ + options_.decreaseInterval) {
        return false;
    }
    const double wanted = wantedUse(pause, steps, use());
    if (wanted < options_.leastUse) {
        return false;
    }
    const double part = std::max(wanted / use(), options_.leastLeft);
    limit_ = std::max(static_cast<double>(pause.inProgress) * part, options_.least);
    loweredAt_ = now;
    return true;
}

/** @return part of the endpoints' places in use; only once there was a report. */
double ConcurrencyLimit::use() const
{
    return use_ / useWeight_;
}

double ConcurrencyLimit::limitAt(BootTime now) const
{
    return *limit_ * std::exp(options_.growthPerSecond * std::chrono::duration<double>(now - loweredAt_).count());
}

} // namespace magnolia::routing
