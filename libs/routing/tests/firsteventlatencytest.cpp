#include "routing/firsteventlatency.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

struct FirstEventLatencyFixture {
    const BootTime now{1h};
    FirstEventLatency times;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FirstEventLatencyTest, FirstEventLatencyFixture)

BOOST_AUTO_TEST_CASE(service_hasBegunNothing_isExpectedToBeginAtOnce)
{
    BOOST_TEST((times.shortest(now) == 0ms));
}

BOOST_AUTO_TEST_CASE(streams_beganAfterDifferentTimes_shortestIsTold)
{
    times.began(700ms, now);
    times.began(400ms, now + 100ms);
    times.began(900ms, now + 200ms);
    BOOST_TEST((times.shortest(now + 300ms) == 400ms));
}

BOOST_AUTO_TEST_CASE(service_becomesSlower_shorterTimesAreForgotten)
{
    times.began(100ms, now);
    for (Duration passed = 100ms; passed <= 1200ms; passed += 100ms) {
        times.began(800ms, now + passed);
    }
    BOOST_TEST((times.shortest(now + 1200ms) == 800ms));
}

// Guards against a service being sent nothing for ever since it once was too slow.
BOOST_AUTO_TEST_CASE(service_beginsNothingForLong_isTriedAgain)
{
    times.began(2500ms, now);
    BOOST_TEST((times.shortest(now + 400ms) == 2500ms));
    BOOST_TEST((times.shortest(now + 1100ms) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
