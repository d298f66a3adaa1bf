#include "group/expertdemand.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace magnolia::group
{

void ExpertDemand::addCounts(std::span<const std::uint64_t> counts, BootTime now)
{
    if (decayedCounts_.size() != counts.size()) {
        decayedCounts_.assign(counts.size(), 0.0);
        decayedAt_ = now;
    }
    const double halfLives = std::chrono::duration<double>(now - decayedAt_) / std::chrono::duration<double>(halfLife_);
    const double factor = std::exp2(-halfLives);
    decayedAt_ = now;
    for (std::size_t index = 0; index < decayedCounts_.size(); ++index) {
        decayedCounts_[index] = decayedCounts_[index] * factor + static_cast<double>(counts[index]);
    }
}

std::vector<std::vector<double>> ExpertDemand::shares(std::size_t sets) const
{
    const std::size_t experts = decayedCounts_.size() / sets;
    std::vector<std::vector<double>> shares(sets);
    for (std::size_t set = 0; set < sets; ++set) {
        const auto first = decayedCounts_.begin() + static_cast<std::ptrdiff_t>(set * experts);
        shares[set].assign(first, first + static_cast<std::ptrdiff_t>(experts));
        const double total = std::accumulate(shares[set].begin(), shares[set].end(), 0.0);
        for (double &share : shares[set]) {
            share /= std::max(total, 1.0);
        }
    }
    return shares;
}

} // namespace magnolia::group
