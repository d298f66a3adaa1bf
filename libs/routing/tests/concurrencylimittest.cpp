#include "routing/concurrencylimit.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

constexpr BootTime Start{1000s};
constexpr Duration Objective{120};

struct LimitFixture {
    /** Adds a load report with the given number of ten slots in use. */
    void reportRunning(std::uint32_t running)
    {
        limit.onLoadReport({.running = running, .waiting = 0, .slots = 10}, Start);
    }

    static ConcurrencyLimit::Pause pauseOf(Duration pause, std::size_t inProgress)
    {
        return {.pause = pause, .objective = Objective, .inProgress = inProgress};
    }

    const StepModel steps{.slots = 10, .stepMs = 4.84, .perRequestMs = 0.435};

    ConcurrencyLimit limit{{}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConcurrencyLimitTest, LimitFixture)

BOOST_AUTO_TEST_CASE(pauses_withinTheObjective_setNoLimit)
{
    reportRunning(9);
    limit.onPause(pauseOf(119ms, 40), steps, Start);
    BOOST_TEST(!limit.limit(1, Start).has_value());
    BOOST_TEST(limit.canAdmit(100'000, 1, Start));
}

BOOST_AUTO_TEST_CASE(pause_tooLongUnderLoad_setsTheLimitBelowTheStreamsInProgress)
{
    reportRunning(9);
    limit.onPause(pauseOf(140ms, 40), steps, Start);
    BOOST_TEST(limit.canAdmit(33, 1, Start));
    BOOST_TEST(!limit.canAdmit(40, 1, Start));
}

BOOST_AUTO_TEST_CASE(pass_observedByManyStreams_lowersTheLimitOnce)
{
    reportRunning(9);
    for (std::size_t stream = 40; stream > 0; --stream) {
        limit.onPause(pauseOf(140ms, stream), steps, Start + 1ms);
    }
    BOOST_TEST(limit.canAdmit(33, 1, Start + 1ms));
}

BOOST_AUTO_TEST_CASE(pauses_withinTheObjectiveAgain_limitGrows)
{
    reportRunning(9);
    limit.onPause(pauseOf(140ms, 40), steps, Start);
    BOOST_TEST(!limit.canAdmit(40, 1, Start + 1s));
    BOOST_TEST(limit.canAdmit(40, 1, Start + 20s));
}

// Guards against callers being rejected although the engines have free slots: when demand shifts while few streams are in progress, passes are briefly
// long, and such a pause must not be attributed to load.
BOOST_AUTO_TEST_CASE(pause_tooLongWithoutLoad_setsNoLimit)
{
    reportRunning(3);
    limit.onPause(pauseOf(140ms, 40), steps, Start);
    BOOST_TEST(!limit.limit(1, Start).has_value());
}

BOOST_AUTO_TEST_CASE(pause_farTooLong_setsNoLimit)
{
    reportRunning(9);
    limit.onPause(pauseOf(2s, 40), steps, Start); // A rank is down, or its group is held.
    BOOST_TEST(!limit.limit(1, Start).has_value());
    limit.onPause(pauseOf(200ms, 40), steps, Start); // Demand has just shifted: half as many streams would have missed the objective too.
    BOOST_TEST(!limit.limit(1, Start).has_value());
}

BOOST_AUTO_TEST_CASE(engines_withoutAStepModel_setNoLimit)
{
    reportRunning(9);
    limit.onPause(pauseOf(140ms, 40), {}, Start);
    BOOST_TEST(!limit.limit(1, Start).has_value());
}

BOOST_AUTO_TEST_CASE(pause_fewInProgress_keepsTheMinimumLimit)
{
    reportRunning(9);
    limit.onPause(pauseOf(140ms, 1), steps, Start);
    BOOST_TEST(limit.canAdmit(3, 1, Start));
}

BOOST_AUTO_TEST_CASE(route_withoutObjective_setsNoLimit)
{
    reportRunning(9);
    ConcurrencyLimit::Pause pause = pauseOf(140ms, 40);
    pause.objective = Duration(0);
    limit.onPause(pause, steps, Start);
    BOOST_TEST(!limit.limit(1, Start).has_value());
}

// Guards against rejecting streams of callers that moved here from other instances by a limit from before.
BOOST_AUTO_TEST_CASE(callers_moveToThisInstance_limitRisesWithItsShareOfTheLoad)
{
    reportRunning(9);
    ConcurrencyLimit::Pause pause = pauseOf(140ms, 40);
    pause.instances = 5;
    limit.onPause(pause, steps, Start);
    const double divided = limit.limit(5, Start).value();
    BOOST_TEST(limit.limit(1, Start).value() == 5 * divided);
    BOOST_TEST(limit.limit(8, Start).value() == divided);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
