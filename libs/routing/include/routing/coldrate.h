#ifndef MAGNOLIA_ROUTING_COLDRATE_H
#define MAGNOLIA_ROUTING_COLDRATE_H

#include "routing/routingconfig.h"

#include <cstddef>

namespace magnolia::routing
{

/** How far the requests that a cold endpoint gets in any one second may exceed its rate: at most rate * overshoot + slack. */
struct ColdBound {
    double overshoot = 1;
    double slack = 0;
};

/** The requests that cold endpoints of a service get, divided so that all holders of turns together keep the bound. */
struct ColdRate {
    double perSecond = 0; ///< Of all holders together.
    std::size_t maxHolders = 1; ///< Entries that hold turns for one endpoint.
};

/** @param start with a rate above 0. */
ColdRate coldRateOf(const ColdStart &start, const ColdBound &bound);

} // namespace magnolia::routing

#endif
