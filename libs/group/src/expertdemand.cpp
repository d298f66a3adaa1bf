#include "group/expertdemand.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace magnolia::group
{

namespace
{

// Longer than one shift shows, so that a shift hardly raises the usual divergence.
constexpr Duration UsualDivergenceHalfLife{1000};

double decayFactor(BootClock::duration age, Duration halfLife)
{
    return std::exp2(-(std::chrono::duration<double>(age) / std::chrono::duration<double>(halfLife)));
}

} // namespace

void ExpertDemand::Estimate::add(std::span<const std::uint64_t> added, double factor)
{
    total = 0;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        counts[index] = counts[index] * factor + static_cast<double>(added[index]);
        total += counts[index];
    }
}

void ExpertDemand::addCounts(std::span<const std::uint64_t> counts, BootTime now)
{
    if (steady_.counts.size() != counts.size()) {
        steady_.counts.assign(counts.size(), 0.0);
        recent_.counts.assign(counts.size(), 0.0);
        decayedAt_ = now;
    }
    const BootClock::duration elapsed = now - decayedAt_;
    decayedAt_ = now;
    steady_.add(counts, decayFactor(elapsed, options_.halfLife));
    recent_.add(counts, decayFactor(elapsed, options_.recentHalfLife));
    detectShift(elapsed, now);
}

/** @return the fraction of choices that the two estimates assign to different experts. */
double ExpertDemand::divergence() const
{
    const double steadyTotal = std::max(steady_.total, 1.0);
    const double recentTotal = std::max(recent_.total, 1.0);
    double sum = 0;
    for (std::size_t index = 0; index < steady_.counts.size(); ++index) {
        sum += std::abs(steady_.counts[index] / steadyTotal - recent_.counts[index] / recentTotal);
    }
    return sum / 2;
}

void ExpertDemand::detectShift(BootClock::duration sincePrevious, BootTime now)
{
    const double current = divergence();
    const double threshold = std::max(options_.minDivergence, options_.divergenceFactor * usualDivergence_);
    // Also learnt from a shift: if choices are so few that the estimates always differ by more than the threshold, it has to rise.
    usualDivergence_ += (current - usualDivergence_) * (1 - decayFactor(sincePrevious, UsualDivergenceHalfLife));
    if (current > threshold) {
        steady_ = recent_;
        shiftedAt_ = now;
    }
}

std::vector<std::vector<double>> ExpertDemand::shares(std::size_t sets) const
{
    const std::size_t experts = steady_.counts.size() / sets;
    std::vector<std::vector<double>> shares(sets);
    for (std::size_t set = 0; set < sets; ++set) {
        const auto first = steady_.counts.begin() + static_cast<std::ptrdiff_t>(set * experts);
        shares[set].assign(first, first + static_cast<std::ptrdiff_t>(experts));
        const double total = std::accumulate(shares[set].begin(), shares[set].end(), 0.0);
        for (double &share : shares[set]) {
            share /= std::max(total, 1.0);
        }
    }
    return shares;
}

} // namespace magnolia::group
