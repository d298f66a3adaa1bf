#ifndef MAGNOLIA_EXPERTS_RANKSPEED_H
#define MAGNOLIA_EXPERTS_RANKSPEED_H

#include "experts/expertmap.h"

#include "base/clock.h"

#include <span>
#include <vector>

namespace magnolia::experts
{

/**
 * Measured speed of each rank, relative to the group's mean: a straggler has less than 1 and gets less work.
 *
 * A value type owned by the group's controller; one thread.
 */
class RankSpeed
{
public:
    struct Options {
        Rank ranks = 0;
        Duration halfLife{30000}; ///< Age at which an observation counts half.
        double lowest = 0.05; ///< Floor, so that a stalled rank does not lose all its work for good.
    };

    explicit RankSpeed(Options options);

    /**
     * @param work  tokens that the rank worked on in the interval, over all layers
     * @param busy  time it took for them, without waiting for other ranks
     * @param interval  length of the interval
     */
    void observe(Rank rank, double work, Duration busy, Duration interval);

    /** @return one speed per rank; their mean is 1. */
    std::span<const double> speeds() const;

private:
    void normalise();

    Options options_;
    std::vector<double> rates_; // tokens per millisecond; 0: never measured
    std::vector<double> speeds_;
};

} // namespace magnolia::experts

#endif
