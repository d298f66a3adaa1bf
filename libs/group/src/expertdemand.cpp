#include "group/expertdemand.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace magnolia::group
{

void ExpertDemand::took(std::span<const std::uint64_t> counts, BootTime now)
{
    if (chosen_.size() != counts.size()) {
        chosen_.assign(counts.size(), 0.0);
        at_ = now;
    }
    const double halves = std::chrono::duration<double>(now - at_) / std::chrono::duration<double>(halfLife_);
    const double factor = std::exp2(-halves);
    at_ = now;
    for (std::size_t index = 0; index < chosen_.size(); ++index) {
        chosen_[index] = chosen_[index] * factor + static_cast<double>(counts[index]);
    }
}

std::vector<std::vector<double>> ExpertDemand::shares(std::size_t sets) const
{
    const std::size_t experts = chosen_.size() / sets;
    std::vector<std::vector<double>> shares(sets);
    for (std::size_t set = 0; set < sets; ++set) {
        const auto first = chosen_.begin() + static_cast<std::ptrdiff_t>(set * experts);
        shares[set].assign(first, first + static_cast<std::ptrdiff_t>(experts));
        const double total = std::accumulate(shares[set].begin(), shares[set].end(), 0.0);
        for (double &share : shares[set]) {
            share /= std::max(total, 1.0);
        }
    }
    return shares;
}

} // namespace magnolia::group
