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

BOOST_AUTO_TEST_CASE(agents_allResponsive_noEngineIsContacted)
{
    BOOST_TEST(!policy.mayContactEngines(Start + 100ms));
    BOOST_TEST(policy.mayReleasePass(Start + 100ms));
}

BOOST_AUTO_TEST_CASE(oneAgent_unresponsive_itsEngineMayBeContacted)
{
    // Guards against a group that stays held: an agent's process was frozen just after it had sent the order to hold, and since engines were contacted by their
    // own agents only, the pass could not be released for four seconds.
    reportAllExcept(3, Start + 500ms);
    BOOST_TEST(policy.isUnresponsive(3, Start + 500ms));
    BOOST_TEST(policy.mayContactEngines(Start + 500ms));
}

BOOST_AUTO_TEST_CASE(coordinator_resumedAfterAFreeze_contactsNoEngine)
{
    // By its clock all agents are unresponsive, and it may have been replaced meanwhile.
    BOOST_TEST(!policy.mayContactEngines(Start + 4s));
}

BOOST_AUTO_TEST_CASE(manyAgents_unresponsive_noEngineIsContacted)
{
    for (std::uint32_t rank = 3; rank < 12; ++rank) {
        policy.onAgentReport(rank, Start + 500ms);
    }
    BOOST_TEST(!policy.mayContactEngines(Start + 500ms));
}

// Guards against an exception, which ends the process, for a rank that was known before the group formed again with fewer ranks.
BOOST_AUTO_TEST_CASE(rank_theGroupDoesNotHave_isUnresponsive)
{
    BOOST_TEST(policy.isUnresponsive(12, Start));
    BOOST_TEST(policy.size() == 12U);
}

BOOST_AUTO_TEST_CASE(engine_queriedAfterTheOthersReported_noReleaseUntilTheyReportAgain)
{
    reportAllExcept(3, Start + 500ms);
    policy.onEngineAnswer(3, Start + 510ms);
    BOOST_TEST(!policy.mayReleasePass(Start + 520ms));
    reportAllExcept(3, Start + 530ms);
    BOOST_TEST(policy.mayReleasePass(Start + 535ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
