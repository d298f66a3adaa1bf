#ifndef MAGNOLIA_ROUTING_FRESHNESSPROOF_H
#define MAGNOLIA_ROUTING_FRESHNESSPROOF_H

#include "base/clock.h"

#include <algorithm>

namespace magnolia::routing
{

/**
 * Tracks when the routing configuration of this process was last proven to be the newest.
 *
 * A revoked API key must be rejected within a bounded time, even by an instance that cannot learn of the revocation because the store rejects its
 * requests or the instance was suspended. Keys are therefore trusted only while the last proof of freshness is younger than that bound. Ages are
 * measured with a clock that includes suspension. A value type.
 *
 * @code
 * proof.confirm(askedAt);
 * if (!proof.isFresh(BootClock::now())) { reject(); }
 * @endcode
 */
class FreshnessProof
{
public:
    struct Options {
        Duration bound{5000}; ///< Maximum time until a revoked key is rejected; 0: keys are trusted without proof.
        Duration margin{200}; ///< Subtracted from the bound for the time from the check to the endpoint and for clock drift.
    };

    explicit FreshnessProof(const Options &options) : options_(options) {}

    /** Records that the current configuration was the newest at that time. */
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
