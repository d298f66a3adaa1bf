#include "group/changepolicy.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

using namespace std::chrono_literals;

struct ChangePolicyFixture {
    /** Passes of so long, reported every second one. */
    void passes(int count, Duration each, bool isBusy = true)
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

// Symptom: streams were late after a shift of demand for half a second longer than a change takes. Sequence: a change that
// made the map a tenth more even had just begun when demand shifted. Cause: maps were polished while no stream was late.
BOOST_AUTO_TEST_CASE(passes_short_onlyAnUnevenMapIsChanged)
{
    passes(10, 50ms);
    BOOST_TEST(!policy.needsChange(1.2));
    BOOST_TEST(policy.needsChange(1.6));
}

BOOST_AUTO_TEST_CASE(passes_nearTheObjective_eachHundredthCounts)
{
    passes(10, 90ms);
    BOOST_TEST(policy.needsChange(1.2));
    BOOST_TEST(!policy.needsChange(1.05));
    passes(10, 50ms);
    BOOST_TEST(!policy.needsChange(1.2));
}

BOOST_AUTO_TEST_CASE(group_wasIdle_theTimeWithoutPassesIsNoPass)
{
    passes(10, 50ms);
    policy.recordStep(step, false, now);
    now += 10s;
    policy.recordStep(step, false, now);
    passes(1, 50ms);
    BOOST_TEST(policy.passTime().count() < 60.0);
}

BOOST_AUTO_TEST_CASE(report_ofTheSamePass_saysNothing)
{
    passes(10, 50ms);
    for (int report = 0; report < 3; ++report) {
        now += 10ms;
        policy.recordStep(step, true, now);
    }
    now += 70ms;
    policy.recordStep(step + 2, true, now);
    BOOST_TEST(policy.passTime().count() < 55.0);
}

BOOST_AUTO_TEST_CASE(copies_quick_mapIsPolishedAtEaseToo)
{
    policy = ChangePolicy({.pauseObjective = 120ms, .copyTime = 80ms});
    passes(10, 50ms);
    BOOST_TEST(policy.needsChange(1.2));
}

BOOST_AUTO_TEST_CASE(routes_withoutAnObjective_eachHundredthCounts)
{
    policy = ChangePolicy({});
    passes(10, 10ms);
    BOOST_TEST(policy.needsChange(1.2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
