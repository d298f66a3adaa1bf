#ifndef MAGNOLIA_POLICY_RETRYBUDGET_H
#define MAGNOLIA_POLICY_RETRYBUDGET_H

#include "base/clock.h"

namespace magnolia::policy
{

/**
 * Bounds retries to a share of recent successes, so that retries cannot feed an overload.
 *
 * One per entry and model, lives as long as the entry's task. Not thread-safe.
 *
 * @code
 * if (failure.verdict == Verdict::NotRun && budget.tryRetry(now)) { dispatchElsewhere(); }
 * @endcode
 */
class RetryBudget
{
public:
    struct Options {
        double share = 0.1; ///< Retries per success, 0 to 1.
        Duration window{10000}; ///< Successes older than about this do not count.
        double floorPerSecond = 0.2; ///< Retries allowed without any success, so that a quiet entry can retry at all.
    };

    explicit RetryBudget(const Options &options);

    /** A request ended well. */
    void succeeded(MonoTime now);

    /** @return true if a retry may be sent; it is then paid for. */
    bool tryRetry(MonoTime now);

    double available(MonoTime now) const; ///< Retries that could be sent now.

private:
    void advance(MonoTime now);

    Options options_;
    double earned_ = 0;
    double floor_ = 0;
    MonoTime updated_;
};

} // namespace magnolia::policy

#endif
