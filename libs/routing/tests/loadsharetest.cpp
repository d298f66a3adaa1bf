#include "routing/loadshare.h"
#include "base/random.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

struct LoadShareFixture {
    /** Reports come each 20 ms from endpoints that run 8 requests, of which this instance has one and as many others as chance gives for its share. */
    std::size_t minEffectiveInstances(double ownShare, std::size_t instances, Duration time)
    {
        std::size_t fewest = instances;
        for (const BootTime end = now + time; now < end; now += 20ms) {
            const auto others = std::binomial_distribution<std::uint32_t>(7, ownShare)(random);
            share.onLoadReport({.own = 1 + others, .total = 8}, now);
            fewest = std::min(fewest, share.effectiveInstances(instances, now));
        }
        return fewest;
    }

    BootTime now{1h};
    Random random{7};
    LoadShare share;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LoadShareTest, LoadShareFixture)

BOOST_AUTO_TEST_CASE(callers_spreadEvenly_loadIsDividedByTheNumberOfInstances)
{
    BOOST_TEST(share.effectiveInstances(5, now) == 5U);
    BOOST_TEST(share.effectiveInstances(0, now) == 1U);
    BOOST_TEST(minEffectiveInstances(0.2, 5, 60s) >= 4U);
    BOOST_TEST(share.effectiveInstances(1, now) == 1U);
}

// Guards against an instance to which most callers were handed using only the part of the service that an equal share gives it.
BOOST_AUTO_TEST_CASE(callers_moveToThisInstance_loadIsDividedByFewerWithinASecond)
{
    (void)minEffectiveInstances(0.2, 5, 10s);
    (void)minEffectiveInstances(0.95, 5, 1s);
    BOOST_TEST(share.effectiveInstances(5, now) <= 2U);
    (void)minEffectiveInstances(0.95, 5, 2s);
    BOOST_TEST(share.effectiveInstances(5, now) == 1U);
}

BOOST_AUTO_TEST_CASE(callers_leaveThisInstanceAgain_loadIsDividedByAllWithinSeconds)
{
    (void)minEffectiveInstances(0.95, 5, 3s);
    (void)minEffectiveInstances(0.05, 5, 4s);
    BOOST_TEST(share.effectiveInstances(5, now) == 5U);
}

// Guards against an idle instance taking the one request that it has at an endpoint for the whole load.
BOOST_AUTO_TEST_CASE(instance_onlyItsOwnRequestsReported_sharesEqually)
{
    share.onLoadReport({.own = 1, .total = 1}, now);
    BOOST_TEST(share.effectiveInstances(5, now) == 5U);
    share.onLoadReport({.own = 2, .total = 2}, now);
    BOOST_TEST(share.effectiveInstances(5, now) == 5U);
    BOOST_TEST(share.effectiveInstances(5, now + 60s) == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
