#ifndef MAGNOLIA_EXPERTS_POPULARITY_H
#define MAGNOLIA_EXPERTS_POPULARITY_H

#include "experts/expertmap.h"

#include "base/clock.h"

#include <span>
#include <vector>

namespace magnolia::experts
{

/**
 * How much of each layer's work goes to each expert: a decayed average of measured tokens.
 *
 * A value type owned by the group's controller; one thread. Shares of a layer add up to 1 once anything was observed.
 *
 * @code
 * Popularity popularity({.layers = 1, .experts = 64});
 * popularity.observe(0, tokensByExpert, 1s);
 * const std::span<const double> shares = popularity.shares(0);
 * @endcode
 */
class Popularity
{
public:
    struct Options {
        Layer layers = 1;
        Expert experts = 0;
        Duration halfLife{30000}; ///< Age at which an observation counts half.
    };

    explicit Popularity(Options options);

    /**
     * @param tokens  tokens that each expert of the layer got in the interval; one entry per expert, not negative
     * @param interval  length of the interval
     */
    void observe(Layer layer, std::span<const double> tokens, Duration interval);

    /** @return each expert's share of the layer's work; equal shares before the first observation. */
    std::span<const double> shares(Layer layer) const;

private:
    Options options_;
    std::vector<std::vector<double>> shares_;
    std::vector<bool> observed_;
};

} // namespace magnolia::experts

#endif
