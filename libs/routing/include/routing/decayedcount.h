#ifndef MAGNOLIA_ROUTING_DECAYEDCOUNT_H
#define MAGNOLIA_ROUTING_DECAYEDCOUNT_H

#include "base/clock.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace magnolia::routing
{

/**
 * Counts events, and forgets half of them after each half-life. A value type; time is passed in. Not thread-safe.
 *
 * @code
 * count.add(now, halfLife);
 * const double perSecond = count.ratePerSecond(now, halfLife);
 * @endcode
 */
class DecayedCount
{
public:
    void add(BootTime now, Duration halfLife)
    {
        value_ = value(now, halfLife) + 1;
        updatedAt_ = now;
    }

    /** @return the events counted, weighted by their age. */
    double value(BootTime now, Duration halfLife) const
    {
        const double halves = std::chrono::duration<double>(now - updatedAt_) / std::chrono::duration<double>(halfLife);
        return value_ * std::exp2(-std::max(halves, 0.0));
    }

    /** @return the rate of a steady flow of events with this count. */
    double ratePerSecond(BootTime now, Duration halfLife) const
    {
        return value(now, halfLife) * std::numbers::ln2 / std::chrono::duration<double>(halfLife).count();
    }

private:
    double value_ = 0; ///< As of updatedAt_.
    BootTime updatedAt_;
};

} // namespace magnolia::routing

#endif
