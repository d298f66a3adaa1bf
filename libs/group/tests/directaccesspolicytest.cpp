#include "group/directaccesspolicy.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

using namespace std::chrono_literals;

struct DirectAccessPolicyFixture {
    DirectAccessPolicyFixture()
    {
        policy.reset(12);
        reportAllExcept(12, Start);
    }

    void reportAllExcept(std::uint32_t unresponsive, BootTime now)
    {
        for (std::uint32_t rank = 0; rank < 12; ++rank) {
            if (rank != unresponsive) {
                policy.onAgentReport(rank, now);
            }
        }
    }

    static inline const BootTime Start = BootTime(1h);
    DirectAccessPolicy policy{{.reportTimeout = 400ms, .ranksPerUnresponsive = 6}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DirectAccessPolicyTest, DirectAccessPolicyFixture)

BOOST_AUTO_TEST_CASE(agents_allHeard_enginesAreLeftToThem)
{
    BOOST_TEST(!policy.mayContactEngines(Start + 100ms));
    BOOST_TEST(policy.mayReleasePass(Start + 100ms));
}

BOOST_AUTO_TEST_CASE(oneAgent_silent_itsEngineMayBeAddressed)
{
    // Symptom: a group stood still for four seconds. Sequence: the instance of the agent that had just given the order to
    // hold was frozen, and its engine could not be told to go on. Cause: engines were spoken to by their own agents only.
    reportAllExcept(3, Start + 500ms);
    BOOST_TEST(policy.isUnresponsive(3, Start + 500ms));
    BOOST_TEST(policy.mayContactEngines(Start + 500ms));
}

BOOST_AUTO_TEST_CASE(coordinator_wokeFromAFreeze_addressesNoEngine)
{
    // All are silent by its clock; another may have taken its place meanwhile.
    BOOST_TEST(!policy.mayContactEngines(Start + 4s));
}

BOOST_AUTO_TEST_CASE(manyAgents_silent_noEngineIsAddressed)
{
    for (std::uint32_t rank = 3; rank < 12; ++rank) {
        policy.onAgentReport(rank, Start + 500ms);
    }
    BOOST_TEST(!policy.mayContactEngines(Start + 500ms));
}

BOOST_AUTO_TEST_CASE(silentEngine_askedAfterTheOthersReported_noReleaseUntilTheyDoAgain)
{
    reportAllExcept(3, Start + 500ms);
    policy.onEngineAnswer(3, Start + 510ms);
    BOOST_TEST(!policy.mayReleasePass(Start + 520ms));
    reportAllExcept(3, Start + 530ms);
    BOOST_TEST(policy.mayReleasePass(Start + 535ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
