#include "planobstacle.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

using namespace std::chrono_literals;

constexpr BootTime Start{1000s};

struct PlanMonitorFixture {
    /** @return the number of times that the obstacle is logged, if it is met every 100 ms. */
    int logsOf(PlanObstacle obstacle, BootTime from, BootTime to)
    {
        int logs = 0;
        for (BootTime at = from; at < to; at += 100ms) {
            logs += monitor.onObstacle(obstacle, at) ? 1 : 0;
        }
        return logs;
    }

    PlanMonitor monitor;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlanMonitorTest, PlanMonitorFixture)

// Guards against a group whose map is never changed without a line in the log that says why.
BOOST_AUTO_TEST_CASE(obstacle_lasts_isLoggedOnceInAWhile)
{
    BOOST_TEST(logsOf(PlanObstacle::NoDemand, Start, Start + 2900ms) == 0);
    BOOST_TEST(logsOf(PlanObstacle::NoDemand, Start + 2900ms, Start + 12s) == 1);
    BOOST_TEST(logsOf(PlanObstacle::NoDemand, Start + 12s, Start + 60s) == 5);
}

BOOST_AUTO_TEST_CASE(obstacle_changes_isLoggedAgain)
{
    logsOf(PlanObstacle::MissingRanks, Start, Start + 4s);
    BOOST_TEST(logsOf(PlanObstacle::NoWholeMap, Start + 4s, Start + 8s) == 1);
}

BOOST_AUTO_TEST_CASE(obstacle_withPlansInBetween_isNotLogged)
{
    for (BootTime at = Start; at < Start + 60s; at += 2s) {
        BOOST_TEST(logsOf(PlanObstacle::EvenEnough, at, at + 1900ms) == 0);
        monitor.onProgress();
    }
    BOOST_TEST(!monitor.withoutPlanSince().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
