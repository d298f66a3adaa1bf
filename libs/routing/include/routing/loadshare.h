#ifndef MAGNOLIA_ROUTING_LOADSHARE_H
#define MAGNOLIA_ROUTING_LOADSHARE_H

#include "base/clock.h"

#include <cstddef>
#include <cstdint>

namespace magnolia::routing
{

/**
 * Estimates which share of a service's load comes from this instance.
 *
 * A load balancer may send most callers to one instance for a while. What the instances share without communication can then not be divided by their
 * number. Each load report of an endpoint tells how many requests run there beside the one that it answers, and the instance knows how many of them are
 * its own. The estimate is a lower bound, so that chance alone hardly ever exceeds the equal share. Not thread-safe.
 *
 * @code
 * share.onLoadReport({.own = endpoint.inFlight, .total = load.running + load.waiting}, now);
 * const std::size_t divisor = share.effectiveInstances(instances, now);
 * @endcode
 */
class LoadShare
{
public:
    /** Requests at an endpoint, including the one that it answers. */
    struct Requests {
        std::uint32_t own = 0; ///< Of this instance.
        std::uint32_t total = 0; ///< Of all instances.
    };

    void onLoadReport(const Requests &requests, BootTime now);

    /** @return among how many instances with the same load as this one the service's load would be divided; at most their real number. */
    std::size_t effectiveInstances(std::size_t instances, BootTime now) const;

private:
    double decayUntil(BootTime now) const;

    double own_ = 0; ///< Weighted numbers of requests beside those answered, by the age of the report.
    double total_ = 0;
    BootTime updatedAt_;
};

} // namespace magnolia::routing

#endif
