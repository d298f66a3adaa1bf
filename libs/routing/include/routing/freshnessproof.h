#ifndef MAGNOLIA_ROUTING_FRESHNESSPROOF_H
#define MAGNOLIA_ROUTING_FRESHNESSPROOF_H

#include "base/clock.h"

#include <algorithm>

namespace magnolia::routing
{

/**
 * Until when this process may trust that it knows the newest routing configuration.
 *
 * A key that was taken away has to be refused within a bounded time, also by an instance that cannot learn of it: one
 * that the store turns away, or that was suspended. So a key is trusted only while the last proof that the configuration
 * was the newest is younger than that bound. Ages are by the clock that counts suspension. A value type.
 *
 * @code
 * proof.confirmed(askedAt);
 * if (!proof.isFresh(BootClock::now())) { refuse(); }
 * @endcode
 */
class FreshnessProof
{
public:
    struct Options {
        Duration bound{5000}; ///< Within which a key that was taken away is refused; 0: keys are trusted without proof.
        Duration margin{200}; ///< Kept free for the way from the check to the endpoint, and for clocks that differ in rate.
    };

    explicit FreshnessProof(const Options &options) : options_(options) {}

    /** The configuration in force was the newest at that time. */
    void confirm(BootTime asOf)
    {
        provedAt_ = std::max(provedAt_, asOf);
    }

    bool isFresh(BootTime now) const
    {
        return options_.bound.count() == 0 || age(now) <= options_.bound - options_.margin;
    }

    BootClock::duration age(BootTime now) const
    {
        return now - provedAt_;
    }

private:
    Options options_;
    BootTime provedAt_;
};

} // namespace magnolia::routing

#endif
