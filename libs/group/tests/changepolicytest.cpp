#include "group/changepolicy.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

using namespace std::chrono_literals;

struct ChangePolicyFixture {
    /** Simulates passes of equal duration; every second one is reported. */
    void simulatePasses(int count, Duration each, bool isBusy = true)
    {
        for (int pass = 0; pass < count; ++pass) {
            now += 2 * each;
            step += 2;
            policy.recordStep(step, isBusy, now);
        }
    }

    BootTime now = BootTime(1h);
    std::uint64_t step = 10;
    ChangePolicy policy{{.pauseObjective = 120ms, .copyTime = 400ms}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ChangePolicyTest, ChangePolicyFixture)

// Guards against needless switches: a switch that made the map a tenth more even, while no stream was late, had just begun when demand shifted. Streams were
// late for half a second longer than a switch takes.
BOOST_AUTO_TEST_CASE(passes_short_onlyAnUnevenMapIsChanged)
{
    simulatePasses(10, 50ms);
    BOOST_TEST(!policy.needsChange(1.2));
    BOOST_TEST(policy.needsChange(1.6));
}

BOOST_AUTO_TEST_CASE(passes_nearTheObjective_slightlyUnevenMapIsChanged)
{
    simulatePasses(10, 90ms);
    BOOST_TEST(policy.needsChange(1.2));
    BOOST_TEST(!policy.needsChange(1.05));
    simulatePasses(10, 50ms);
    BOOST_TEST(!policy.needsChange(1.2));
}

BOOST_AUTO_TEST_CASE(group_wasIdle_idleTimeIsNotCountedAsAPass)
{
    simulatePasses(10, 50ms);
    policy.recordStep(step, false, now);
    now += 10s;
    policy.recordStep(step, false, now);
    simulatePasses(1, 50ms);
    BOOST_TEST(policy.passTime().count() < 60.0);
}

BOOST_AUTO_TEST_CASE(report_ofTheSamePass_isIgnored)
{
    simulatePasses(10, 50ms);
    for (int report = 0; report < 3; ++report) {
        now += 10ms;
        policy.recordStep(step, true, now);
    }
    now += 70ms;
    policy.recordStep(step + 2, true, now);
    BOOST_TEST(policy.passTime().count() < 55.0);
}

BOOST_AUTO_TEST_CASE(copies_quick_slightlyUnevenMapIsChangedDespiteShortPasses)
{
    policy = ChangePolicy({.pauseObjective = 120ms, .copyTime = 80ms});
    simulatePasses(10, 50ms);
    BOOST_TEST(policy.needsChange(1.2));
}

// Guards against changes of map that serve nobody better while passes are far below the objective.
BOOST_AUTO_TEST_CASE(passes_farBelowTheObjective_smallGainIsNotWorthwhile)
{
    BOOST_TEST(!policy.isWorthwhile(66ms, 63ms));
    BOOST_TEST(policy.isWorthwhile(92ms, 66ms));
}

// Guards against a coordinator that spends its time on maps which it then rejects.
BOOST_AUTO_TEST_CASE(load_nearTheMostEven_noMapIsLookedFor)
{
    PassModel passes({.baseTime = 30ms, .expertShare = 0.85});
    passes.learn(60ms, 1.12);
    BOOST_TEST(!policy.mayBeWorthwhile(passes, 1.12));
    BOOST_TEST(policy.mayBeWorthwhile(passes, 2.0));
}

BOOST_AUTO_TEST_CASE(passes_aboutToReachTheObjective_smallGainIsWorthwhile)
{
    BOOST_TEST(policy.isWorthwhile(100ms, 97ms));
    BOOST_TEST(policy.isWorthwhile(130ms, 129ms));
}

BOOST_AUTO_TEST_CASE(routes_withoutAnObjective_anyGainIsWorthwhile)
{
    BOOST_TEST(ChangePolicy({}).isWorthwhile(66ms, 65ms));
}

BOOST_AUTO_TEST_CASE(routes_withoutAnObjective_slightlyUnevenMapIsChanged)
{
    policy = ChangePolicy({});
    simulatePasses(10, 10ms);
    BOOST_TEST(policy.needsChange(1.2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
