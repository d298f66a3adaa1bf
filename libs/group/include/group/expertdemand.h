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
 * What a group's requests choose of its experts, as ranks report it; older choices count less.
 *
 * Pure: time comes in. Not thread-safe.
 *
 * @code
 * demand.took(counts, now); // with each report of a rank
 * const auto shares = demand.shares(map.size());
 * @endcode
 */
class ExpertDemand
{
public:
    /** @param halfLife age at which a choice counts half. */
    explicit ExpertDemand(Duration halfLife) : halfLife_(halfLife) {}

    /** @param counts choices since the rank's last report, set by set. */
    void addCounts(std::span<const std::uint64_t> counts, BootTime now);

    bool isEmpty() const
    {
        return decayedCounts_.empty();
    }

    /** @return each expert's part of its set's choices, by set. */
    std::vector<std::vector<double>> shares(std::size_t sets) const;

private:
    Duration halfLife_;
    std::vector<double> decayedCounts_; ///< Decayed, set by set.
    BootTime decayedAt_; ///< As of then.
};

} // namespace magnolia::group

#endif
