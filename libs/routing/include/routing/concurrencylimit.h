#ifndef MAGNOLIA_ROUTING_CONCURRENCYLIMIT_H
#define MAGNOLIA_ROUTING_CONCURRENCYLIMIT_H

#include "base/clock.h"
#include "routing/endpointtable.h"
#include "routing/routingconfig.h"

#include <cstddef>
#include <optional>

namespace magnolia::routing
{

/**
 * Adaptive limit on the streams of one service that this instance may have in progress, so that their events meet the pause objective.
 *
 * Model engines process all requests in one batch, and each additional request makes every pass longer. Above a certain load all streams exceed the
 * pause objective of their route, whereas fewer streams would all meet it. That load depends on which experts the requests use, so it is found by
 * feedback: a pause that is too long lowers the limit, and the limit grows by a fraction each second. Each instance adapts its limit independently;
 * all instances observe the same pauses, because the engines of a group run their passes together. The engines' published step model gives the
 * utilisation at which the pass would have met the objective. If that is less than half of the engines' slots, load is not the cause (demand has just
 * shifted, or a rank is down or held), fewer streams would not help, and the limit stays. When callers of other instances move to this one, its limit
 * rises with its share of the load, since the limits of the others are no longer used. No I/O, and time is passed in. Not thread-safe.
 *
 * @code
 * limit.onPause({.pause = gap, .objective = route.pauseObjective, .inProgress = inProgress}, steps, now);
 * if (!limit.canAdmit(inProgress, instances, now)) { enqueue(); }
 * @endcode
 */
class ConcurrencyLimit
{
public:
    struct Options {
        double minDecreaseFactor = 0.85; ///< Lowest fraction of the streams in progress to which one pause can reduce the limit.
        Duration decreaseInterval{600}; ///< Many streams observe the same pass, and the effect of a decrease takes some passes more.
        double growthPerSecond = 0.025; ///< Growth of the limit as a fraction of itself.
        double minUtilisation = 0.5; ///< Fraction of the endpoints' slots; a pause that only a lower utilisation would avoid is not caused by load.
        Duration reportHalfLife{500}; ///< Age at which a load report has half its weight.
        double minLimit = 4; ///< Streams that are always admitted.
    };

    explicit ConcurrencyLimit(Options options) : options_(options) {}

    /** Adds a load report of one of the service's endpoints to the utilisation estimate. */
    void onLoadReport(const LoadReport &report, BootTime now);

    /** The time between two events of a stream. */
    struct Pause {
        BootClock::duration pause{0};
        Duration objective{0}; ///< 0: the route has none, and the pause is ignored.
        std::size_t inProgress = 0; ///< Streams that this instance has in progress for the service.
        std::size_t instances = 1; ///< See LoadShare::effectiveInstances().
    };

    /** @param steps step model of the service's engines. @return true if the pause lowered the limit. */
    bool onPause(const Pause &pause, const StepModel &steps, BootTime now);

    /** @param instances as in Pause. */
    bool canAdmit(std::size_t inProgress, std::size_t instances, BootTime now) const
    {
        return !limit_ || static_cast<double>(inProgress) < limitAt(instances, now);
    }

    /** @return the current limit; nothing if none is set. */
    std::optional<double> limit(std::size_t instances, BootTime now) const
    {
        return limit_ ? std::optional(limitAt(instances, now)) : std::nullopt;
    }

private:
    double limitAt(std::size_t instances, BootTime now) const;
    double utilisation() const;

    Options options_;
    std::optional<double> limit_; ///< As of decreasedAt_.
    std::size_t instancesAtDecrease_ = 1; ///< See Pause.
    BootTime decreasedAt_;
    double weightedUtilisation_ = 0; ///< Weighted sum of the fractions of slots in use, from the latest reports.
    double utilisationWeight_ = 0;
    BootTime utilisationAt_;
};

} // namespace magnolia::routing

#endif
