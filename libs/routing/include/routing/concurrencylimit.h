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
 * How many streams of one service this instance may have in progress, so that their events come in time.
 *
 * Model engines answer all requests side by side, and each further one makes every pass longer. Beyond a point all streams
 * pause for longer than their route allows: then all are late, where fewer would all be in time. Where that point is depends on
 * which experts are asked for, so it is found from what is seen: a pause that is too long lowers the limit, and it grows again
 * by a part each second. Each instance does so for itself; those of a service see the same pauses, since the engines of a
 * group make their passes together. By the engines' published step model it is judged how many streams would have had the
 * pass in time: if that is less than half of the engines' places, the pause has another cause (demand that has just moved, a
 * rank that is gone or held), fewer streams would not help, and nobody is refused for it. Pure. Not thread-safe.
 *
 * @code
 * limit.paused({.pause = gap, .objective = route.pauseObjective, .inProgress = inProgress}, steps, now);
 * if (!limit.hasRoom(inProgress, now)) { wait(); }
 * @endcode
 */
class ConcurrencyLimit
{
public:
    struct Options {
        double leastLeft = 0.85; ///< Part of what is in progress below which one pause does not bring the limit.
        Duration decreaseInterval{600}; ///< One pass is seen by many streams, and its follow-up takes some more.
        double growthPerSecond = 0.025; ///< Part by which the limit grows.
        double leastUse = 0.5; ///< Part of the endpoints' places; a pause that would need fewer in use is not for load.
        Duration useHalfLife{500}; ///< Age at which an endpoint's report counts half.
        double least = 4; ///< Streams that are always allowed.
    };

    explicit ConcurrencyLimit(Options options) : options_(options) {}

    /** What an endpoint of the service said of its load. */
    void onLoadReport(const LoadReport &report, BootTime now);

    /** A pause between two events of a stream. */
    struct Pause {
        BootClock::duration pause{0};
        Duration objective{0}; ///< 0: none, and it says nothing.
        std::size_t inProgress = 0; ///< Streams of this instance.
    };

    /** @param steps of the service's engines. @return true if the limit fell for it. */
    bool onPause(const Pause &pause, const StepModel &steps, BootTime now);

    bool canAdmit(std::size_t inProgress, BootTime now) const
    {
        return !limit_ || static_cast<double>(inProgress) < limitAt(now);
    }

    /** @return the limit; nothing if there is none. */
    std::optional<double> limit(BootTime now) const
    {
        return limit_ ? std::optional(limitAt(now)) : std::nullopt;
    }

private:
    double limitAt(BootTime now) const;
    double use() const;

    Options options_;
    std::optional<double> limit_; ///< As of loweredAt_.
    BootTime loweredAt_;
    double use_ = 0; ///< Part of the places in use, of the latest reports.
    double useWeight_ = 0;
    BootTime useAt_;
};

} // namespace magnolia::routing

#endif
