#include "switchchecker.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <string_view>

using namespace magnolia;
using namespace magnolia::experts;
using namespace magnolia::experts::testing;

// `experts_switch_test -- --long` searches further; see docs/EXPERT-MAPS.md for what each search came to.

namespace
{

struct WithoutIncarnations : SwitchRules {
    static constexpr bool IncarnationChecked = false;
};
struct WithoutRefusals : SwitchRules {
    static constexpr bool RefusalRemembered = false;
};
struct WithoutOrders : SwitchRules {
    static constexpr bool OrderRemembered = false;
};
struct WithoutReading : SwitchRules {
    static constexpr bool VoteReadFromEngine = false;
};
struct WithoutWaiting : SwitchRules {
    static constexpr bool SuccessorWaits = false;
};
struct WithoutNumbers : SwitchRules {
    static constexpr bool NumberChecked = false;
};
struct WithoutOneMapAhead : SwitchRules {
    static constexpr bool OneMapAhead = false;
};
struct WithoutEpochs : SwitchRules {
    static constexpr bool EpochChecked = false;
};
struct WithoutUnanimity : SwitchRules {
    static constexpr bool UnanimityNeeded = false;
};

constexpr std::string_view TwoMaps = "a step is run on two maps";

struct SwitchFixture {
    static bool isLong()
    {
        const auto &suite = boost::unit_test::framework::master_test_suite();
        for (int index = 1; index < suite.argc; ++index) {
            if (std::string_view(suite.argv[index]) == "--long") {
                return true;
            }
        }
        return false;
    }

    static SearchLimits limits(std::size_t maxStates)
    {
        constexpr std::size_t LongStates = 20'000'000;
        return {.maxStates = isLong() ? LongStates : maxStates, .settleEach = isLong() ? 8U : 32U};
    }

    static Findings check(std::string_view name, const Scenario &scenario, std::size_t maxStates)
    {
        Findings findings = search<SwitchRules>(scenario, limits(maxStates));
        report(name, findings);
        BOOST_TEST(findings.broken == "", findings.broken);
        BOOST_TEST(findings.committed > 0U);
        return findings;
    }

    template<typename Rules>
    static void
    checkMutant(std::string_view name, const Scenario &scenario, std::size_t maxStates, std::size_t settleEach = 1, std::string_view broken = TwoMaps)
    {
        const Findings findings = search<Rules>(scenario, {.maxStates = maxStates, .settleEach = settleEach});
        report(name, findings);
        BOOST_TEST(findings.broken == broken);
    }

    static void report(std::string_view name, const Findings &findings)
    {
        BOOST_TEST_MESSAGE("SWITCH " << name << " states " << findings.states << " complete " << findings.isComplete << " ended " << findings.settled
                                     << " committed " << findings.committed << " broken '" << findings.broken << "'");
        for (const std::string &event : findings.trace) {
            BOOST_TEST_MESSAGE("    " << event);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SwitchTest, SwitchFixture)

BOOST_AUTO_TEST_CASE(twoRanks_wholeSwitch_neverSplitsAndEnds)
{
    BOOST_TEST(check("two-whole", {.ranks = 2, .startsLoaded = false}, 400'000).isComplete);
}

BOOST_AUTO_TEST_CASE(twoRanks_agentRestartsAndRefuses_neverSplitAndEnd)
{
    const Scenario scenario{.ranks = 2, .startsVoting = true, .agentRestarts = 1, .refusals = 1};
    BOOST_TEST(check("two-restart-fencing", scenario, 1'000'000).isComplete);
}

BOOST_AUTO_TEST_CASE(twoRanks_agentRestartsBesideEngineThatIgnoresFencing_neverSplitAndEnd)
{
    const Scenario scenario{.ranks = 2, .engineChecksFence = false, .startsVoting = true, .agentRestarts = 1, .refusals = 1};
    BOOST_TEST(check("two-restart-ignoring", scenario, 1'300'000).isComplete);
}

BOOST_AUTO_TEST_CASE(twoRanks_twoAgentRestarts_neverSplitWithinTheBound)
{
    check("two-restarts-fencing", {.ranks = 2, .startsVoting = true, .agentRestarts = 2, .refusals = 1}, 300'000);
    check("two-restarts-ignoring", {.ranks = 2, .engineChecksFence = false, .startsVoting = true, .agentRestarts = 2, .refusals = 1}, 300'000);
}

BOOST_AUTO_TEST_CASE(twoRanks_agentsActOnOldReads_neverSplitWithinTheBound)
{
    check("two-old-reads", {.ranks = 2, .startsVoting = true, .delayedReads = true, .agentRestarts = 1}, 300'000);
}

BOOST_AUTO_TEST_CASE(twoRanks_rivalWithOldLease_changesNothingWithinTheBound)
{
    check("two-rivals", {.ranks = 2, .startsVoting = true, .lastStep = 1, .coordinators = 1}, 400'000);
}

BOOST_AUTO_TEST_CASE(twoRanks_engineReplaced_joinsNewEpochWithoutSplitWithinTheBound)
{
    check("two-epoch", {.ranks = 2, .startsVoting = true, .engineRestarts = 1, .epochs = 1}, 500'000);
}

BOOST_AUTO_TEST_CASE(threeRanks_withoutDoubt_neverSplitAndEnd)
{
    BOOST_TEST(check("three-voting", {.ranks = 3, .startsVoting = true, .tickers = 0}, 400'000).isComplete);
}

BOOST_AUTO_TEST_CASE(threeRanks_oneInDoubtAndOneRestarting_neverSplitWithinTheBound)
{
    check("three-doubt", {.ranks = 3, .startsVoting = true, .tickers = 2}, 400'000);
    check("three-restart-fencing", {.ranks = 3, .startsVoting = true, .tickers = 2, .restarters = 4, .agentRestarts = 1}, 300'000);
    check("three-restart-ignoring", {.ranks = 3, .engineChecksFence = false, .startsVoting = true, .tickers = 2, .restarters = 4, .agentRestarts = 1}, 300'000);
}

// Symptom: two ranks run one step on two maps. Sequence: an agent refuses, restarts and forgets; a late copy of the same
// Prepare arrives, its engine holds, it votes yes; one rank has the no and aborts, another has all yes and commits.
// Cause: without the incarnation that Prepare is addressed to, a refusal does not outlast a restart.
BOOST_AUTO_TEST_CASE(prepare_notBoundToAnIncarnation_splitsTheGroup)
{
    checkMutant<WithoutIncarnations>("mutant-incarnation", {.ranks = 2, .startsVoting = true, .agentRestarts = 1, .refusals = 1}, 400'000);
    checkMutant<WithoutIncarnations>(
        "mutant-incarnation-ignoring", {.ranks = 2, .engineChecksFence = false, .startsVoting = true, .agentRestarts = 1, .refusals = 1}, 400'000);
}

// Symptom: as above, without a restart. Sequence: a rank says no to a Query, then takes the Prepare that comes after it.
// Cause: the refusal was not kept.
BOOST_AUTO_TEST_CASE(refusal_notRemembered_splitsTheGroup)
{
    checkMutant<WithoutRefusals>("mutant-refusal", {.ranks = 2, .startsVoting = true, .refusals = 1}, 400'000);
}

// Symptom: as above, with two switches in a row. Sequence: a rank orders its engine to hold for the second map; a late copy
// of the order for the first one comes true, is undone, and takes the second ballot's place meanwhile; asked about the
// second map the rank says no, then its order for it arrives. Cause: it had forgotten that this order was on its way. The
// checker found this one in our own code.
BOOST_AUTO_TEST_CASE(ownOrder_forgottenForAnotherBallot_splitsTheGroup)
{
    checkMutant<WithoutOrders>("mutant-order", {.ranks = 2, .startsVoting = true, .lastStep = 1, .coordinators = 1}, 2'000'000, 8);
}

// Symptom: a rank runs the hold step on the old map, the others on the new one. Sequence: the agent votes yes once it has
// sent the order; the order comes too late. Cause: the yes was not read back from the engine.
BOOST_AUTO_TEST_CASE(yes_saidBeforeTheEngineHolds_splitsTheGroup)
{
    checkMutant<WithoutReading>("mutant-reading", {.ranks = 2, .startsVoting = true}, 400'000);
}

// Symptom: as above, beside engines that ignore fencing numbers. Sequence: an agent gives the order to hold and restarts;
// its successor sees an engine that does not hold and says no; the order arrives; the next successor says yes.
// Cause: the successor spoke before the engine was past the hold step.
BOOST_AUTO_TEST_CASE(successor_refusingBeforeTheHoldStep_splitsTheGroup)
{
    checkMutant<WithoutWaiting>("mutant-waiting", {.ranks = 2, .engineChecksFence = false, .startsVoting = true, .agentRestarts = 2}, 400'000);
}

// Symptom: a slow rank runs a step on the map before last. Sequence: a map is committed; before the slow rank has begun its
// hold step, the next one is committed and takes its place. Cause: an engine keeps one committed map beside the one in
// use. The checker found this one in our own code.
BOOST_AUTO_TEST_CASE(nextMap_committedBeforeTheLastIsInUse_splitsTheGroup)
{
    checkMutant<WithoutOneMapAhead>("mutant-ahead", {.ranks = 2, .startsVoting = true, .lastStep = 1, .tickers = 0, .coordinators = 1}, 4'000'000, 8);
}

// Symptom: a paused holder of the lease wakes, and its map comes into use. Sequence: the new holder has minted the next
// number; its rank takes a late Prepare of the old one. Cause: the lower number was not refused.
BOOST_AUTO_TEST_CASE(oldLeasesMap_notRefusedByNumber_comesIntoUse)
{
    checkMutant<WithoutNumbers>(
        "mutant-number", {.ranks = 2, .startsVoting = true, .lastStep = 1, .coordinators = 1}, 2'000'000, 8, "a rival with an old lease changed the map");
}

// Symptom: as above, after a rank was replaced. Sequence: one rank votes yes in the old epoch, both join the new one, the
// other takes the late Prepare there; the old coordinator counts both. Cause: a yes binds in its own epoch only.
BOOST_AUTO_TEST_CASE(messages_ofOldEpochTaken_splitTheGroup)
{
    checkMutant<WithoutEpochs>("mutant-epoch", {.ranks = 2, .startsVoting = true, .engineRestarts = 1, .epochs = 1}, 1'000'000);
}

// Symptom: as above. Sequence: one rank does not hold, all others do and commit. Cause: a majority decided.
BOOST_AUTO_TEST_CASE(commit_withoutEachRanksYes_splitsTheGroup)
{
    checkMutant<WithoutUnanimity>("mutant-unanimity", {.ranks = 3, .startsVoting = true}, 400'000);
}

BOOST_AUTO_TEST_CASE(fourToEightRanks_randomEvents_neverSplitAndEnd)
{
    const std::uint64_t seeds = isLong() ? 50'000 : 2'000;
    constexpr int Events = 1500;
    std::size_t commits = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const Scenario scenario{.ranks = static_cast<Rank>(4 + seed % 5),
                                .engineChecksFence = seed % 2 == 0,
                                .startsLoaded = false,
                                .delayedReads = seed % 3 == 0,
                                .lastStep = 40,
                                .margin = 4,
                                .agentRestarts = 6,
                                .refusals = seed % 7 == 0 ? 1 : 0,
                                .coordinators = 4,
                                .engineRestarts = seed % 4 == 0 ? 1 : 0,
                                .epochs = 1};
        const RandomRun run = runRandomly<SwitchRules>(scenario, seed, Events);
        commits += run.commits;
        BOOST_TEST(run.broken == "", "seed " << seed << ": " << run.broken);
    }
    BOOST_TEST_MESSAGE("SWITCH random runs " << seeds << " commits " << commits);
    BOOST_TEST(commits > seeds / 10);
}

BOOST_AUTO_TEST_SUITE_END()
