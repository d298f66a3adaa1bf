#ifndef MAGNOLIA_POLICY_BACKOFF_H
#define MAGNOLIA_POLICY_BACKOFF_H

#include "base/clock.h"
#include "base/random.h"

#include <cstdint>

namespace magnolia::policy
{

/**
 * Exponential backoff with full jitter: each delay is uniform between nothing and a bound that doubles up to a limit.
 *
 * A value type, one per thing that is retried. Not thread-safe.
 *
 * @code
 * retryTimer.start(backoff.next(random));   // and backoff.reset() once it has worked
 * @endcode
 */
class Backoff
{
public:
    struct Options {
        Duration base{100}; ///< Bound of the first delay.
        Duration limit{10000}; ///< Bound of all delays.
    };

    explicit Backoff(const Options &options);

    Duration next(Random &random);
    void reset();
    std::uint32_t attempts() const; ///< Delays given since the last reset.

private:
    Options options_;
    std::uint32_t attempts_ = 0;
};

} // namespace magnolia::policy

#endif
