#include "group/armedstateprover.h"
#include "group/mapswitch.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

constexpr std::uint32_t Ranks = 4;
constexpr std::uint32_t Unreachable = 1; ///< The rank of the unreachable coordinator.
constexpr std::uint64_t Term = 7;
constexpr std::uint64_t Epoch = 2;

std::uint64_t versionOf(std::uint64_t term, std::uint64_t count)
{
    std::uint64_t first = 1;
    while (MapSwitch::termOf(first) < term) {
        first *= 2;
    }
    while (MapSwitch::termOf(first) > term) {
        first -= first / 64 + 1;
    }
    return first + count;
}

/** All agents except the lost rank's were ordered to prepare the same fresh version. */
struct ArmedStateProverFixture {
    ArmedStateProverFixture()
    {
        for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
            records.push_back({.orderedVersion = version, .isFresh = true, .peerArm = {}, .mapVersion = version - 1});
        }
    }

    std::optional<ArmedStateProver::Proof> prove()
    {
        for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
            if (rank != Unreachable && rank != unreported) {
                prover.recordSwitch(rank, records[rank]);
            }
        }
        return prover.prove({.rank = Unreachable, .size = Ranks, .epoch = Epoch, .term = Term});
    }

    PeerArm arm(bool isAccepted) const
    {
        return {.rank = Unreachable, .epoch = Epoch, .version = version, .step = 90, .isAccepted = isAccepted};
    }

    const std::uint64_t version = versionOf(Term, 3);
    std::vector<SwitchRecord> records;
    std::optional<std::uint32_t> unreported;
    ArmedStateProver prover;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ArmedStateProverTest, ArmedStateProverFixture)

BOOST_AUTO_TEST_CASE(orderToArm_sentByNoAgent_rankIsNotArmed)
{
    const auto proof = prove();
    BOOST_REQUIRE(proof.has_value());
    BOOST_TEST(!proof->armed.has_value());
}

BOOST_AUTO_TEST_CASE(orderToArm_acceptedByTheEngine_rankIsArmed)
{
    records[3].peerArm = arm(true);
    const auto proof = prove();
    BOOST_REQUIRE(proof.has_value());
    BOOST_TEST((proof->armed == ArmedMap{.version = version, .step = 90}));
}

BOOST_AUTO_TEST_CASE(orderToArm_unanswered_nothingIsProven)
{
    records[3].peerArm = arm(false);
    BOOST_TEST(!prove().has_value());
    records[2].peerArm = arm(true); // Repeated by another agent.
    BOOST_TEST(prove()->armed.has_value());
}

BOOST_AUTO_TEST_CASE(orderToArm_ofAnEarlierSwitch_mattersOnlyUntilItsVersionIsInUse)
{
    records[3].peerArm = arm(false);
    records[3].peerArm->version = version - 1;
    BOOST_TEST(prove().has_value());
    for (SwitchRecord &record : records) {
        record.mapVersion = version - 2; // That switch never completed.
    }
    BOOST_TEST(!prove().has_value());
}

BOOST_AUTO_TEST_CASE(agent_restartedOrNotReported_nothingIsProven)
{
    records[2] = {.orderedVersion = 0, .isFresh = false, .peerArm = {}, .mapVersion = version - 1};
    BOOST_TEST(!prove().has_value());
    records[2] = records[0];
    unreported = 0;
    prover.reset();
    BOOST_TEST(!prove().has_value());
}

BOOST_AUTO_TEST_CASE(switch_undoesAnotherOrIsOfAnEarlierTerm_nothingIsProven)
{
    records[2].isFresh = false;
    BOOST_TEST(!prove().has_value());
    for (SwitchRecord &record : records) {
        record = {.orderedVersion = versionOf(Term - 1, 3), .isFresh = true, .peerArm = {}, .mapVersion = 0};
    }
    BOOST_TEST(!prove().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
