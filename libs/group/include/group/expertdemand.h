#ifndef MAGNOLIA_GROUP_EXPERTDEMAND_H
#define MAGNOLIA_GROUP_EXPERTDEMAND_H

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace magnolia::group
{

/**
 * Demand for the experts of a group: the choices that ranks report, with exponential decay.
 *
 * Takes the time as a parameter and does no I/O. Not thread-safe.
 *
 * @code
 * demand.addCounts(counts, now); // for each report of a rank
 * const auto shares = demand.shares(map.size());
 * @endcode
 */
class ExpertDemand
{
public:
    /** @param halfLife age at which the weight of a choice is one half. */
    explicit ExpertDemand(Duration halfLife) : halfLife_(halfLife) {}

    /** @param counts choices since the previous report of the rank, set by set. */
    void addCounts(std::span<const std::uint64_t> counts, BootTime now);

    bool isEmpty() const
    {
        return decayedCounts_.empty();
    }

    /** @return by set, the share of each expert in the choices of its set. */
    std::vector<std::vector<double>> shares(std::size_t sets) const;

private:
    Duration halfLife_;
    std::vector<double> decayedCounts_; ///< Set by set, as of decayedAt_.
    BootTime decayedAt_;
};

} // namespace magnolia::group

#endif
