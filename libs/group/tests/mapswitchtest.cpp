#include "group/mapswitch.h"
#include "groupsimulation.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

using namespace std::chrono_literals;

struct MapSwitchFixture {
    static RankState idle(std::uint32_t rank)
    {
        return {.group = "g", .epoch = 1, .rank = rank, .size = 2, .isOpen = true, .step = 10, .mapVersion = 0};
    }

    void reportAll(const std::function<void(RankState &)> &change)
    {
        for (RankState &state : states) {
            change(state);
            mapSwitch.onRankReport(state, now);
        }
    }

    std::vector<AddressedOrder> takeDueOrders()
    {
        now += 1s;
        return mapSwitch.takeDueOrders(now);
    }

    BootTime now = BootTime(1h);
    MapSwitch mapSwitch{{.term = 5}};
    std::vector<RankState> states{idle(0), idle(1)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MapSwitchTest, MapSwitchFixture)

BOOST_AUTO_TEST_CASE(oneRank_hasNotReported_switchIsNotIdle)
{
    mapSwitch.onRankReport(states[0], now);
    BOOST_TEST(!mapSwitch.isIdle());
    mapSwitch.onRankReport(states[1], now);
    BOOST_TEST(mapSwitch.isIdle());
}

// Guards against unbounded retries of a map: an order whose effect was not reported counted as lost. The map was sent to every rank again every 400 ms while
// the first copies were still queued on the coordinator's network interface.
BOOST_AUTO_TEST_CASE(map_sentButNotYetPrepared_isNotSentAgainSoon)
{
    reportAll([](RankState &) {});
    mapSwitch.begin({{{1}, {2}}}, {{{1}, {2}}}, now);
    BOOST_TEST(mapSwitch.takeDueOrders(now).size() == 2U);
    mapSwitch.onPrepareAcknowledged(0, mapSwitch.version());
    const auto again = mapSwitch.takeDueOrders(now + 500ms);
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].rank == 1U);
    BOOST_TEST(mapSwitch.takeDueOrders(now + 1000ms).empty()); // The delay has doubled, since the interface may be busy with the first ones.
    BOOST_TEST(mapSwitch.takeDueOrders(now + 1400ms).size() == 2U); // The engine may have lost it.
}

BOOST_AUTO_TEST_CASE(switch_noFaults_holdsArmsAndReleasesInThatOrder)
{
    reportAll([](RankState &) {});
    mapSwitch.begin({{{1}, {2}}}, {{{1}, {2}}}, now);
    BOOST_TEST(takeDueOrders().size() == 2U);
    reportAll([&](RankState &state) { state.preparedVersion = mapSwitch.version(); });
    const auto hold = takeDueOrders();
    BOOST_REQUIRE(hold.size() == 1U);
    BOOST_TEST((hold[0].order.kind == RankOrderKind::Hold));
    const std::uint64_t step = hold[0].order.step;
    BOOST_TEST(step > 10U);
    reportAll([&](RankState &state) {
        if (state.rank == hold[0].rank) {
            state.heldStep = step;
        }
    });
    const auto arm = takeDueOrders();
    BOOST_REQUIRE(arm.size() == 2U);
    BOOST_TEST((arm[0].order.kind == RankOrderKind::Arm));
    BOOST_TEST(arm[1].order.step == step);
    states[0].armed = ArmedMap{.version = mapSwitch.version(), .step = step};
    mapSwitch.onRankReport(states[0], now);
    for (const AddressedOrder &order : mapSwitch.takeDueOrders(now)) {
        BOOST_TEST((order.order.kind != RankOrderKind::Release)); // One rank is not armed yet.
    }
    reportAll([&](RankState &state) { state.armed = ArmedMap{.version = mapSwitch.version(), .step = step}; });
    const auto release = takeDueOrders();
    BOOST_REQUIRE(release.size() == 1U);
    BOOST_TEST((release[0].order.kind == RankOrderKind::Release));
    reportAll([&](RankState &state) {
        state.heldStep.reset();
        state.armed.reset();
        state.mapVersion = mapSwitch.version();
        state.step = step;
    });
    BOOST_TEST(mapSwitch.isIdle());
}

BOOST_AUTO_TEST_CASE(oneRank_cannotBeArmed_switchIsUndoneBeforeTheRelease)
{
    reportAll([](RankState &) {});
    mapSwitch.begin({{{1}, {2}}}, {{{1}, {2}}}, now);
    const std::uint64_t version = mapSwitch.version();
    reportAll([&](RankState &state) { state.preparedVersion = version; });
    states[0].heldStep = takeDueOrders().front().order.step;
    reportAll([](RankState &) {});
    states[0].armed = ArmedMap{.version = version, .step = *states[0].heldStep};
    reportAll([](RankState &) {});
    now += 10s;
    const auto undo = takeDueOrders();
    BOOST_REQUIRE(undo.size() == 2U);
    BOOST_TEST((undo[0].order.kind == RankOrderKind::Disarm));
    BOOST_TEST((undo[1].order.kind == RankOrderKind::Prepare));
    BOOST_TEST(undo[1].order.version > version);
    states[1].preparedVersion = undo[1].order.version;
    states[0].armed.reset();
    reportAll([](RankState &) {});
    // Disarming is not enough: a pending order to arm would still find the map prepared.
    const auto replace = takeDueOrders();
    BOOST_REQUIRE(replace.size() == 1U);
    BOOST_TEST((replace[0].order.kind == RankOrderKind::Prepare));
    states[0].preparedVersion = replace[0].order.version;
    reportAll([](RankState &) {});
    const auto release = takeDueOrders();
    BOOST_REQUIRE(release.size() == 1U);
    BOOST_TEST((release[0].order.kind == RankOrderKind::Release));
}

BOOST_AUTO_TEST_CASE(successor_findsAHoldAndAllArmed_releases)
{
    states[0].heldStep = 14;
    reportAll([](RankState &state) { state.armed = ArmedMap{.version = 77, .step = 14}; });
    const auto release = takeDueOrders();
    BOOST_REQUIRE(release.size() == 1U);
    BOOST_TEST((release[0].order.kind == RankOrderKind::Release));
    BOOST_TEST(release[0].order.step == 14U);
}

BOOST_AUTO_TEST_CASE(successor_findsAHoldAndSomeArmed_undoes)
{
    states[0].heldStep = 14;
    states[1].armed = ArmedMap{.version = 77, .step = 14};
    reportAll([](RankState &) {});
    for (const AddressedOrder &order : takeDueOrders()) {
        BOOST_TEST((order.order.kind != RankOrderKind::Release));
    }
    BOOST_TEST((mapSwitch.phase() == MapSwitch::Phase::Undoing));
}

BOOST_AUTO_TEST_CASE(idleGroup_lateHoldIsExecuted_isReleased)
{
    // Guards against a group that stays held for ever: an unanswered order to hold was repeated for a later pass, and the first one was executed seconds later.
    // A hold never expires, and no switch was waiting for this one.
    mapSwitch.setFallbackMap({{{1}, {2}}});
    reportAll([](RankState &) {});
    states[1].heldStep = 30;
    reportAll([](RankState &) {});
    bool isReleased = false;
    for (int round = 0; round < 10 && !isReleased; ++round) {
        for (const AddressedOrder &order : takeDueOrders()) {
            isReleased = isReleased || (order.order.kind == RankOrderKind::Release && order.order.step == 30U);
            if (order.order.kind == RankOrderKind::Prepare) {
                states[order.rank].preparedVersion = order.order.version;
            }
        }
        reportAll([](RankState &) {});
    }
    BOOST_TEST(isReleased);
}

BOOST_AUTO_TEST_CASE(undo_mapInUseUnknown_noEmptyMapIsPrepared)
{
    states[1].heldStep = 30;
    reportAll([](RankState &) {});
    BOOST_TEST((mapSwitch.phase() == MapSwitch::Phase::Undoing));
    BOOST_TEST(takeDueOrders().empty());
    mapSwitch.setFallbackMap({{{1}, {2}}});
    const auto orders = takeDueOrders();
    BOOST_REQUIRE(orders.size() == 2U);
    BOOST_TEST(!orders[0].order.map.empty());
}

BOOST_AUTO_TEST_CASE(pass_beganBeforeItsHold_laterPassIsHeld)
{
    reportAll([](RankState &) {});
    mapSwitch.begin({{{1}, {2}}}, {{{1}, {2}}}, now);
    reportAll([&](RankState &state) { state.preparedVersion = mapSwitch.version(); });
    const std::uint64_t first = takeDueOrders().front().order.step;
    reportAll([&](RankState &state) { state.step = first; });
    const auto again = takeDueOrders();
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].order.step > first);
}

BOOST_AUTO_TEST_CASE(newEpoch_duringASwitch_endsTheSwitch)
{
    reportAll([](RankState &) {});
    mapSwitch.begin({{{1}, {2}}}, {{{1}, {2}}}, now);
    reportAll([](RankState &state) { state.epoch = 2; });
    BOOST_TEST(mapSwitch.isIdle());
    BOOST_TEST(takeDueOrders().empty());
    states[0].epoch = 1;
    mapSwitch.onRankReport(states[0], now); // A late report of the previous epoch.
    BOOST_TEST(mapSwitch.epoch() == 2U);
}

BOOST_AUTO_TEST_CASE(terms_differ_versionsDiffer)
{
    MapSwitch successor({.term = 6});
    for (const RankState &state : states) {
        mapSwitch.onRankReport(state, now);
        successor.onRankReport(state, now);
    }
    mapSwitch.begin({}, {}, now);
    successor.begin({}, {}, now);
    BOOST_TEST(successor.version() > mapSwitch.version());
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

struct SimulationSize {
    std::uint32_t ranks;
    int runs;
    int events;
};

std::ostream &operator<<(std::ostream &out, const SimulationSize &size)
{
    return out << size.ranks << " ranks";
}

const std::vector<SimulationSize> SimulationSizes{{2, 3000, 600}, {3, 2000, 800}, {12, 300, 2000}, {24, 80, 3000}, {64, 400, 12000}};

/** @return 1 if a run ended in a pass on two maps, which ends the search; otherwise 0. */
int faultyRuns(Mutant mutant, SimulationSize size)
{
    int faulty = 0;
    for (int run = 0; run < size.runs && faulty == 0; ++run) {
        GroupSimulation simulation({.ranks = size.ranks, .mutant = mutant}, static_cast<std::uint64_t>(run) + 1);
        for (int event = 0; event < size.events && !simulation.fault(); ++event) {
            simulation.step();
        }
        faulty += simulation.fault() ? 1 : 0;
    }
    return faulty;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GroupSimulationTest)

// Delays, loses and duplicates orders, replaces coordinators that stay active, and starts new epochs, at random points.
BOOST_DATA_TEST_CASE(group_randomFaults_noPassOnTwoMapsAndItRecovers, boost::unit_test::data::make(SimulationSizes), size)
{
    std::uint64_t switches = 0;
    std::uint64_t proofs = 0;
    for (int run = 0; run < size.runs; ++run) {
        GroupSimulation simulation({.ranks = size.ranks}, static_cast<std::uint64_t>(run) + 1);
        for (int event = 0; event < size.events && !simulation.fault(); ++event) {
            simulation.step();
        }
        BOOST_REQUIRE_MESSAGE(!simulation.fault(), "seed " << run + 1 << ": " << *simulation.fault());
        BOOST_REQUIRE_MESSAGE(simulation.recovers(), "seed " << run + 1 << ": the group does not recover");
        switches += simulation.switches();
        proofs += simulation.proofs();
    }
    BOOST_TEST(switches > static_cast<std::uint64_t>(size.runs));
    BOOST_TEST(proofs > 0U);
    BOOST_TEST_MESSAGE(size << ": " << switches << " switches, " << proofs << " proven states");
}

BOOST_AUTO_TEST_CASE(mutant_assumesOrdersExecuted_runsAPassOnTwoMaps)
{
    BOOST_TEST(faultyRuns(Mutant::AssumesOrdersExecuted, {2, 300, 600}) > 0);
}

BOOST_AUTO_TEST_CASE(mutant_reusesVersions_runsAPassOnTwoMaps)
{
    BOOST_TEST(faultyRuns(Mutant::ReusedVersions, {3, 2000, 2000}) > 0);
}

BOOST_AUTO_TEST_CASE(mutant_coordinatorArmsItsOwnRank_runsAPassOnTwoMaps)
{
    BOOST_TEST(faultyRuns(Mutant::CoordinatorArmsOwnRank, {3, 4000, 2000}) > 0);
}

BOOST_AUTO_TEST_CASE(mutant_peerForgetsItsArmOrder_runsAPassOnTwoMaps)
{
    BOOST_TEST(faultyRuns(Mutant::PeerForgetsArm, {3, 20000, 3000}) > 0);
}

BOOST_AUTO_TEST_CASE(mutant_undoIsMarkedFresh_runsAPassOnTwoMaps)
{
    BOOST_TEST(faultyRuns(Mutant::UndoMarkedFresh, {3, 40000, 3000}) > 0);
}

BOOST_AUTO_TEST_CASE(mutant_unreachableRankIsAssumedUnarmed_runsAPassOnTwoMaps)
{
    BOOST_TEST(faultyRuns(Mutant::AssumesUnarmed, {3, 4000, 2000}) > 0);
}

BOOST_AUTO_TEST_CASE(mutant_agentsIgnoreTerms_runsAPassOnTwoMaps)
{
    BOOST_TEST(faultyRuns(Mutant::IgnoresTerms, {3, 2000, 2000}) > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
