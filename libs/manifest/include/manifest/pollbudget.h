#ifndef MAGNOLIA_MANIFEST_POLLBUDGET_H
#define MAGNOLIA_MANIFEST_POLLBUDGET_H

#include "base/clock.h"

#include <cstddef>

namespace magnolia::manifest
{

/** What all daemons together may read of the head row, and the limits of each one's interval. */
struct PollBudget {
    std::size_t readsPerSecond = 170; ///< Of all daemons together; at least 1.
    Duration least{1000}; ///< However few daemons there are, unless `most` is less.
    Duration most{10000}; ///< However many daemons there are, and while their number is not known.
};

/**
 * @param daemons how many share the budget; 0: not known.
 * @return the mean time between one daemon's reads of the head row.
 */
Duration pollIntervalFor(std::size_t daemons, const PollBudget &budget);

} // namespace magnolia::manifest

#endif
