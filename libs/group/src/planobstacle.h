#ifndef MAGNOLIA_GROUP_PLANOBSTACLE_H
#define MAGNOLIA_GROUP_PLANOBSTACLE_H

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace magnolia::group
{

/** Why a coordinator does not plan a new map. */
enum class PlanObstacle : std::uint8_t {
    MissingRanks, ///< Not all ranks of the epoch have reported.
    NoWholeMap, ///< Ranks report different versions, or not all experts that they hold are known.
    NoDemand, ///< No counts have arrived.
    EvenEnough, ///< The load of the most loaded rank is near that of an even spread.
    NoGain, ///< No change within the limits on copies is worth a switch.
};

/** @return e.g. "no demand". */
std::string_view toString(PlanObstacle obstacle);

/**
 * Notices when a coordinator goes without a plan for long, so that it can be logged with the reason. Not thread-safe.
 *
 * @code
 * if (monitor.onObstacle(PlanObstacle::NoDemand, now)) { log(); }
 * @endcode
 */
class PlanMonitor
{
public:
    /** No map could be planned. @return true if that should be logged now. */
    bool onObstacle(PlanObstacle obstacle, BootTime now);

    /** A map was planned, or a switch is in progress. */
    void onProgress();

    /** @return since when no map could be planned; nothing while plans are made. */
    std::optional<BootTime> withoutPlanSince() const
    {
        return since_;
    }

private:
    std::optional<BootTime> since_;
    BootTime loggedAt_;
    std::optional<PlanObstacle> logged_;
};

} // namespace magnolia::group

#endif
