#include "retrybudgetworld.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t Seeds = 40;

/** @return the worst excess over the budget of all seeds. */
double worstExcess(RetryBudgetWorld::Options options)
{
    double worst = -RetryBudgetWorld::Constant;
    for (options.seed = 1; options.seed <= Seeds; ++options.seed) {
        RetryBudgetWorld world(options);
        world.run();
        worst = std::max(worst, world.worstExcess());
    }
    return worst;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgetTest)

// Guards against restarted entries using the retry budget anew, while the window still holds the retries of the processes before them.
BOOST_AUTO_TEST_CASE(entries_killedInSeries_keepTheBudgetTogether)
{
    BOOST_TEST(worstExcess({.killInterval = 4000ms}) <= 0);
    BOOST_TEST(worstExcess({.killInterval = 2000ms, .killShare = 0.5}) <= 0);
    BOOST_TEST(worstExcess({.entries = 40, .requestsPerSecond = 570, .killInterval = 4000ms}) <= 0);
    BOOST_TEST(worstExcess({.requestsPerSecond = 8, .killInterval = 3000ms}) <= 0);
}

// Guards against a process that was killed after it had used its whole part, and one that replaces it, together exceeding the budget.
BOOST_AUTO_TEST_CASE(entries_killedOnceInAWindow_keepTheBudgetTogether)
{
    BOOST_TEST(worstExcess({.killInterval = 30000ms}) <= 0);
    BOOST_TEST(worstExcess({.killInterval = 13000ms, .burstInterval = 5000ms}) <= 0);
}

// Guards against two bursts of retries that are nearly a window apart being allowed whole.
BOOST_AUTO_TEST_CASE(bursts_aWindowApart_keepTheBudgetTogether)
{
    BOOST_TEST(worstExcess({.burstInterval = 9900ms, .burstJitter = 80ms}) <= 0);
    BOOST_TEST(worstExcess({.burstInterval = 9900ms, .burstJitter = 80ms, .heldTime = 400ms}) <= 0);
}

// Guards against retries that the network holds back arriving together with those sent a window later.
BOOST_AUTO_TEST_CASE(retries_heldByTheNetwork_keepTheBudgetTogether)
{
    BOOST_TEST(worstExcess({.heldTime = 2000ms}) <= 0);
    BOOST_TEST(worstExcess({.burstInterval = 10500ms, .burstJitter = 1000ms, .heldTime = 2000ms}) <= 0);
}

// Guards against entries that join using a part of the budget that the others have not yet given up.
BOOST_AUTO_TEST_CASE(entries_joining_keepTheBudgetTogether)
{
    BOOST_TEST(worstExcess({.entries = 2, .joinInterval = 4000ms}) <= 0);
    BOOST_TEST(worstExcess({.entries = 1, .killInterval = 8000ms, .joinInterval = 9000ms}) <= 0);
}

// Guards against entries that don't know how many they are taking each a fixed part of the budget.
BOOST_AUTO_TEST_CASE(entries_withoutTheirNumber_keepTheBudgetTogether)
{
    BOOST_TEST(worstExcess({.entries = 40, .isCountKnown = false}) <= 0);
    BOOST_TEST(worstExcess({.entries = 40, .killInterval = 6000ms, .isCountKnown = false}) <= 0);
}

BOOST_AUTO_TEST_CASE(entries_undisturbed_useMostOfTheBudget)
{
    for (const std::size_t entries : {1U, 4U, 40U}) {
        RetryBudgetWorld world({.seed = 1, .entries = entries, .requestsPerSecond = 57.0});
        world.run();
        BOOST_TEST(world.use() >= 0.5);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
