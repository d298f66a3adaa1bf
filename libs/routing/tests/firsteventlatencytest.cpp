#include "routing/firsteventlatency.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

struct FirstEventLatencyFixture {
    const BootTime now{1h};
    FirstEventLatency latency;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FirstEventLatencyTest, FirstEventLatencyFixture)

BOOST_AUTO_TEST_CASE(noStreamStarted_shortest_isZero)
{
    BOOST_TEST((latency.shortest(now) == 0ms));
}

BOOST_AUTO_TEST_CASE(streams_differentLatencies_minimumIsReturned)
{
    latency.record(700ms, now);
    latency.record(400ms, now + 100ms);
    latency.record(900ms, now + 200ms);
    BOOST_TEST((latency.shortest(now + 300ms) == 400ms));
}

BOOST_AUTO_TEST_CASE(service_becomesSlower_shorterLatenciesExpire)
{
    latency.record(100ms, now);
    for (Duration passed = 100ms; passed <= 1200ms; passed += 100ms) {
        latency.record(800ms, now + passed);
    }
    BOOST_TEST((latency.shortest(now + 1200ms) == 800ms));
}

// Guards against a service that was once too slow never getting a request again.
BOOST_AUTO_TEST_CASE(noStreamStartedForLong_shortest_isZeroAgain)
{
    latency.record(2500ms, now);
    BOOST_TEST((latency.shortest(now + 400ms) == 2500ms));
    BOOST_TEST((latency.shortest(now + 1100ms) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
