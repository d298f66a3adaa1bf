#include "policy/backoff.h"
#include "policy/retrybudget.h"
#include "policy/tokenbuckets.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace std::chrono_literals;
using namespace magnolia;
using namespace magnolia::policy;

namespace
{

class RateLimitsFixture
{
public:
    MonoTime now_ = MonoTime{} + 1h;

    int retriesAllowed(RetryBudget &budget) const
    {
        int allowed = 0;
        while (budget.tryRetry(now_)) {
            ++allowed;
        }
        return allowed;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RateLimitsTest, RateLimitsFixture)

BOOST_AUTO_TEST_CASE(retryBudget_aHundredSuccesses_allowsATenth)
{
    RetryBudget budget({.share = 0.1, .floorPerSecond = 0});
    budget.tryRetry(now_);
    for (int i = 0; i < 100; ++i) {
        budget.succeeded(now_);
    }
    const int allowed = retriesAllowed(budget);
    BOOST_TEST(allowed >= 9);
    BOOST_TEST(allowed <= 10);
}

// Symptom: a burst of retries at the beginning of an outage that follows a long healthy time.
// Sequence: thousands of successes over an hour, then everything fails.
// Cause: a budget that only adds up never forgets.
BOOST_AUTO_TEST_CASE(retryBudget_longHealthyTime_isWorthOneWindowOnly)
{
    RetryBudget budget({.share = 0.1, .window = 10s});
    for (int i = 0; i < 36000; ++i) {
        now_ += 100ms;
        budget.succeeded(now_);
    }
    // Ten successes a second for ten seconds, a tenth of that, and one from the floor.
    BOOST_TEST(retriesAllowed(budget) <= 12);
}

BOOST_AUTO_TEST_CASE(retryBudget_noSuccesses_allowsTheFloor)
{
    RetryBudget budget({.floorPerSecond = 0.5});
    BOOST_TEST(retriesAllowed(budget) == 1);
    now_ += 2100ms;
    BOOST_TEST(retriesAllowed(budget) == 1);
}

BOOST_AUTO_TEST_CASE(tokenBucket_burstUsedUp_saysWhenTheNextTokenComes)
{
    TokenBuckets buckets({});
    const RateLimit limit{.perSecond = 2, .burst = 3};
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(buckets.take("acme", limit, now_).allowed);
    }
    const RateDecision refused = buckets.take("acme", limit, now_);
    BOOST_TEST(!refused.allowed);
    BOOST_TEST(refused.retryAfter.count() == 500);
    BOOST_TEST(buckets.take("flue", limit, now_).allowed);
    BOOST_TEST(buckets.take("acme", limit, now_ + refused.retryAfter).allowed);
}

BOOST_AUTO_TEST_CASE(tokenBucket_withoutLimit_holdsNoState)
{
    TokenBuckets buckets({});
    BOOST_TEST(buckets.take("acme", {}, now_).allowed);
    BOOST_TEST(buckets.size() == 0U);
}

// Symptom: an entry's memory grows with every organisation that it has ever seen.
// Sequence: organisations come once each and stay away.
// Cause: buckets that are full again are kept although they say no more than none would.
BOOST_AUTO_TEST_CASE(tokenBuckets_idleOrganisations_areForgotten)
{
    TokenBuckets buckets({.capacity = 100});
    const RateLimit limit{.perSecond = 10, .burst = 10};
    for (int i = 0; i < 1000; ++i) {
        now_ += 10ms;
        buckets.take("organisation-" + std::to_string(i), limit, now_);
        BOOST_REQUIRE(buckets.size() <= 12U);
    }
    // Slow to fill, so that only the capacity bounds them.
    for (int i = 0; i < 1000; ++i) {
        buckets.take("slow-" + std::to_string(i), {.perSecond = 0.001, .burst = 10}, now_);
    }
    BOOST_TEST(buckets.size() == 100U);
}

BOOST_AUTO_TEST_CASE(backoff_repeated_staysBelowADoublingBound)
{
    Random random(3);
    Backoff backoff({.base = 100ms, .limit = 1s});
    Duration longest{0};
    for (int round = 0; round < 200; ++round) {
        backoff.reset();
        BOOST_TEST(backoff.next(random) <= 100ms);
        BOOST_TEST(backoff.next(random) <= 200ms);
        for (int i = 0; i < 40; ++i) {
            longest = std::max(longest, backoff.next(random));
        }
    }
    BOOST_TEST(longest <= 1s);
    BOOST_TEST(longest > 900ms);
}

BOOST_AUTO_TEST_SUITE_END()
