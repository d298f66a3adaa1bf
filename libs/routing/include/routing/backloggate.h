#ifndef MAGNOLIA_ROUTING_BACKLOGGATE_H
#define MAGNOLIA_ROUTING_BACKLOGGATE_H

#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace magnolia::routing
{

/**
 * Paces the streams that queued up while a service did not run, once it runs again.
 *
 * Each of them makes the passes of its engines longer, for the streams in progress as well. They are already late, whereas new streams can still be in
 * time, so the backlog may use only the capacity that is left: one stream at a time, and none while pauses come near the objective of their route. No I/O,
 * and time is passed in. Not thread-safe.
 *
 * @code
 * gate.onPause(pause, route.pauseObjective, now);
 * if (gate.canAdmit(gate.interval(slots, instances), now)) { gate.onAdmitted(now); dispatch(); }
 * @endcode
 */
class BacklogGate
{
public:
    struct Options {
        double maxPauseFraction = 0.75; ///< Fraction of the pause objective; a longer pause closes the gate.
        Duration closedTime{250}; ///< How long the gate stays closed; streams admitted before take this long to show in the pauses.
        /** Streams per second and slot of the service's endpoints, for all instances together. Streams last one to two seconds, so that most slots are left to
         * new ones. */
        double streamsPerSlot = 0.15;
    };

    explicit BacklogGate(Options options) : options_(options) {}

    /** Records the time between two events of a stream. @param objective the longest that its route allows; 0: the pause is ignored. */
    void onPause(BootClock::duration pause, Duration objective, BootTime now)
    {
        if (objective.count() > 0 && pause > objective * options_.maxPauseFraction) {
            opensAt_ = now + options_.closedTime;
        }
    }

    /**
     * @param slots requests that the service's endpoints run concurrently.
     * @param instances that admit streams to them.
     * @return the least time between two streams of this instance.
     */
    BootClock::duration interval(std::size_t slots, std::size_t instances) const
    {
        const double perSecond = options_.streamsPerSlot * static_cast<double>(slots) / static_cast<double>(std::max<std::size_t>(instances, 1));
        return std::chrono::duration_cast<BootClock::duration>(std::chrono::duration<double>(1 / std::max(perSecond, MinPerSecond)));
    }

    bool canAdmit(BootClock::duration interval, BootTime now) const
    {
        return now >= opensAt_ && now >= admittedAt_ + interval;
    }

    /** A stream of the backlog was dispatched. */
    void onAdmitted(BootTime now)
    {
        admittedAt_ = now;
    }

private:
    static constexpr double MinPerSecond = 1;

    Options options_;
    BootTime opensAt_;
    BootTime admittedAt_;
};

} // namespace magnolia::routing

#endif
