#include "group/rankreach.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

using namespace std::chrono_literals;

struct RankReachFixture {
    RankReachFixture()
    {
        reach.reset(12);
        hearAllBut(12, Start);
    }

    void hearAllBut(std::uint32_t silent, BootTime now)
    {
        for (std::uint32_t rank = 0; rank < 12; ++rank) {
            if (rank != silent) {
                reach.heard(rank, now);
            }
        }
    }

    static inline const BootTime Start = BootTime(1h);
    RankReach reach{{.silence = 400ms, .ranksForEachSilent = 6}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RankReachTest, RankReachFixture)

BOOST_AUTO_TEST_CASE(agents_allHeard_enginesAreLeftToThem)
{
    BOOST_TEST(!reach.mayAddress(Start + 100ms));
    BOOST_TEST(reach.mayRelease(Start + 100ms));
}

BOOST_AUTO_TEST_CASE(oneAgent_silent_itsEngineMayBeAddressed)
{
    // Symptom: a group stood still for four seconds. Sequence: the instance of the agent that had just given the order to
    // hold was frozen, and its engine could not be told to go on. Cause: engines were spoken to by their own agents only.
    hearAllBut(3, Start + 500ms);
    BOOST_TEST(reach.isSilent(3, Start + 500ms));
    BOOST_TEST(reach.mayAddress(Start + 500ms));
}

BOOST_AUTO_TEST_CASE(coordinator_wokeFromAFreeze_addressesNoEngine)
{
    // All are silent by its clock; another may have taken its place meanwhile.
    BOOST_TEST(!reach.mayAddress(Start + 4s));
}

BOOST_AUTO_TEST_CASE(manyAgents_silent_noEngineIsAddressed)
{
    for (std::uint32_t rank = 3; rank < 12; ++rank) {
        reach.heard(rank, Start + 500ms);
    }
    BOOST_TEST(!reach.mayAddress(Start + 500ms));
}

BOOST_AUTO_TEST_CASE(silentEngine_askedAfterTheOthersReported_noReleaseUntilTheyDoAgain)
{
    hearAllBut(3, Start + 500ms);
    reach.engineAsked(3, Start + 510ms);
    BOOST_TEST(!reach.mayRelease(Start + 520ms));
    hearAllBut(3, Start + 530ms);
    BOOST_TEST(reach.mayRelease(Start + 535ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
