#include "routing/backloggate.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

const BootTime Start = BootTime(1h);
constexpr Duration Objective{120};
constexpr std::size_t Slots = 1000;
constexpr std::size_t Instances = 5;

struct BacklogGateFixture {
    /** Polls the gate each 5 ms. @return the streams admitted meanwhile. */
    int admittedWithin(Duration time)
    {
        int admitted = 0;
        for (const BootTime end = now + time; now < end; now += 5ms) {
            if (gate.canAdmit(gate.interval(Slots, Instances), now)) {
                gate.onAdmitted(now);
                ++admitted;
            }
        }
        return admitted;
    }

    BacklogGate gate{{.maxPauseFraction = 0.9, .closedTime = Duration(250), .streamsPerSlot = 0.2}};
    BootTime now = Start;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BacklogGateTest, BacklogGateFixture)

// Guards against hundreds of streams that waited for a group starting in its first pass, which makes every stream late for seconds.
BOOST_AUTO_TEST_CASE(backlog_groupReturns_isAdmittedOneByOne)
{
    BOOST_TEST(admittedWithin(Duration(500)) == 20);
}

// Guards against streams that are late anyway making those late that are still in time.
BOOST_AUTO_TEST_CASE(backlog_pausesNearTheObjective_isHeldBackUntilTheyAreShorter)
{
    gate.onPause(110ms, Objective, now);
    BOOST_TEST(admittedWithin(Duration(250)) == 0);
    gate.onPause(100ms, Objective, now);
    BOOST_TEST(admittedWithin(Duration(250)) == 10);
}

BOOST_AUTO_TEST_CASE(backlog_noSlotsKnown_isStillAdmittedSlowly)
{
    gate.onAdmitted(now);
    BOOST_TEST(!gate.canAdmit(gate.interval(0, Instances), now + 900ms));
    BOOST_TEST(gate.canAdmit(gate.interval(0, Instances), now + 1100ms));
}

BOOST_AUTO_TEST_CASE(backlog_routeWithoutPauseObjective_isOnlyPaced)
{
    gate.onPause(5s, Duration(0), now);
    BOOST_TEST(admittedWithin(Duration(250)) == 10);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
