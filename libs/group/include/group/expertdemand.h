#ifndef MAGNOLIA_GROUP_EXPERTDEMAND_H
#define MAGNOLIA_GROUP_EXPERTDEMAND_H

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace magnolia::group
{

/**
 * Demand for the experts of a group, estimated from the choices that ranks report.
 *
 * Each report covers the few requests of one rank, so an estimate from a short time varies by more than a better map would gain, and an estimate from a long
 * time lags behind a shift of demand. Therefore two estimates with exponential decay are kept. The steady one is used. If the recent one differs from it by
 * clearly more than it usually does, demand has shifted: the recent one replaces the steady one, so that choices from before the shift have no more weight.
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
    struct Options {
        Duration halfLife{500}; ///< Age at which the weight of a choice in the steady estimate is one half.
        Duration recentHalfLife{75}; ///< The same for the recent estimate.
        /** Smallest difference between the estimates that is a shift: the fraction of choices that fall on other experts. One report alone causes less. */
        double minDivergence = 0.07;
        double divergenceFactor = 2.5; ///< A shift is a difference of at least this multiple of the usual one.
    };

    explicit ExpertDemand(Options options) : options_(options) {}

    /** @param counts choices since the previous report of the rank, set by set. */
    void addCounts(std::span<const std::uint64_t> counts, BootTime now);

    /** @return the number of counts, over all sets. */
    std::size_t size() const
    {
        return steady_.counts.size();
    }
    bool isEmpty() const
    {
        return steady_.counts.empty();
    }

    /** @return by set, the share of each expert in the choices of its set. */
    std::vector<std::vector<double>> shares(std::size_t sets) const;

    /** @return when a shift was last found. */
    std::optional<BootTime> shiftedAt() const
    {
        return shiftedAt_;
    }

private:
    struct Estimate {
        std::vector<double> counts; ///< Set by set.
        double total = 0;

        void add(std::span<const std::uint64_t> added, double factor);
    };

    double divergence() const;
    void detectShift(BootClock::duration sincePrevious, BootTime now);

    Options options_;
    Estimate steady_;
    Estimate recent_;
    double usualDivergence_ = 0;
    BootTime decayedAt_;
    std::optional<BootTime> shiftedAt_;
};

} // namespace magnolia::group

#endif
