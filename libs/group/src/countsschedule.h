#ifndef MAGNOLIA_GROUP_COUNTSSCHEDULE_H
#define MAGNOLIA_GROUP_COUNTSSCHEDULE_H

#include "base/clock.h"
#include "base/random.h"

#include <chrono>
#include <cstddef>
#include <random>

namespace magnolia::group
{

/**
 * When an agent reports its rank's counts to the coordinator.
 *
 * The counts that all ranks together send are limited. Requests are alike on all ranks, so in a large group each rank reports less often. All ranks begin to
 * count at the same moment. With equal intervals they would go on to report together, and the coordinator would learn nothing in between. Therefore intervals
 * are random. Not thread-safe.
 *
 * @code
 * if (schedule.isDue(counts.size() * groupSize, now)) { sendCounts(); schedule.onSent(random, now); }
 * @endcode
 */
class CountsSchedule
{
public:
    /** @param countsOfGroup number of counts in one report of each rank. */
    bool isDue(std::size_t countsOfGroup, BootTime now) const
    {
        const std::chrono::duration<double> interval(static_cast<double>(countsOfGroup) / CountsPerSecond * intervalFactor_);
        return now >= sentAt_ + std::chrono::duration_cast<BootClock::duration>(interval);
    }

    void onSent(Random &random, BootTime now)
    {
        sentAt_ = now;
        intervalFactor_ = std::uniform_real_distribution<double>(MinIntervalFactor, MaxIntervalFactor)(random);
    }

private:
    static constexpr double CountsPerSecond = 160'000; ///< Limit for all ranks together.
    static constexpr double MinIntervalFactor = 0.5;
    static constexpr double MaxIntervalFactor = 1.5;

    BootTime sentAt_;
    double intervalFactor_ = 1; ///< Of the time until the next report.
};

} // namespace magnolia::group

#endif
