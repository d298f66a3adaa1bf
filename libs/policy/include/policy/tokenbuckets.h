#ifndef MAGNOLIA_POLICY_TOKENBUCKETS_H
#define MAGNOLIA_POLICY_TOKENBUCKETS_H

#include "base/clock.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace magnolia::policy
{

/** The rate that an organisation may keep up at one entry. */
struct RateLimit {
    double perSecond = 0; ///< 0: no limit.
    double burst = 1; ///< Requests at once, at least 1.
};

struct RateDecision {
    bool allowed = true;
    Duration retryAfter{0}; ///< Until the next token, if not allowed.
};

/**
 * A token bucket for each organisation: the cheap first cut at an entry.
 *
 * Memory is bounded: a bucket that has filled up again is forgotten, as it equals a new one, and above the capacity the one
 * that was idle longest is dropped. Lives as long as the entry's task. Not thread-safe.
 *
 * @code
 * const RateDecision decision = buckets.take("acme", {.perSecond = 50, .burst = 100}, now);
 * @endcode
 */
class TokenBuckets
{
public:
    struct Options {
        std::size_t capacity = 32768; ///< Organisations remembered at once.
    };

    explicit TokenBuckets(const Options &options);
    ~TokenBuckets();
    TokenBuckets(const TokenBuckets &) = delete;
    TokenBuckets &operator=(const TokenBuckets &) = delete;

    RateDecision take(std::string_view organisation, const RateLimit &limit, MonoTime now);

    std::size_t size() const; ///< Organisations remembered now.

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnolia::policy

#endif
