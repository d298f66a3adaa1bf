#include "quarantineworld.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;
using Kind = QuarantineWorld::Kind;

// Documented bound on dispatches of what crashes endpoints, once all entries have had three seconds to learn of it.
constexpr int MaxFurtherDispatches = 3;

constexpr std::uint64_t Seeds = 200;

struct PromptPartWorldFixture {
    /** Requests that share the first part of their prompts with those that crash endpoints, and one of some popular ones. */
    static std::vector<Kind> harmlessKinds()
    {
        std::vector<Kind> kinds;
        for (int topic = 0; topic < 8; ++topic) {
            const std::string part = "topic " + std::to_string(topic);
            kinds.push_back({.name = "harmless", .parts = {"first", part}, .isUnique = true, .leastPause = 100, .mostPause = 500});
        }
        return kinds;
    }

    static QuarantineWorld play(std::uint64_t seed, std::vector<Kind> crashingKinds, bool isGroup, int entries = 5)
    {
        QuarantineWorld::Options options{
            .seed = seed, .kinds = harmlessKinds(), .isGroup = isGroup, .learningCrashes = 5, .simulatedTime = 80000ms, .entries = entries};
        options.kinds.insert(options.kinds.end(), crashingKinds.begin(), crashingKinds.end());
        QuarantineWorld world(std::move(options));
        world.run();
        return world;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineWorldTest)

// Guards against a crashing request being dispatched further, and a common one being rejected, for any order of reports, crashes, answers and restarts.
BOOST_AUTO_TEST_CASE(entries_randomOrderOfReportsCrashesAndRestarts_dispatchesAreBoundedAndCommonRequestIsServed)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        QuarantineWorld world({.seed = seed,
                               .kinds = {{.name = "common", .leastPause = 20, .mostPause = 200},
                                         {.name = "other", .isUnique = true, .leastPause = 10, .mostPause = 60},
                                         {.name = "crashing", .isCrashing = true, .maxCopies = 2, .leastPause = 200, .mostPause = 5000, .firstAt = 3000ms}}});
        world.run();
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(world.tally("crashing").crashed >= 2);
            BOOST_TEST(world.furtherDispatches <= MaxFurtherDispatches);
            BOOST_TEST(world.tally("common").rejectedAtAnyAttempt == 0);
            BOOST_TEST(world.tally("common").answered > 100);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(PromptPartWorldTest, PromptPartWorldFixture)

// Guards against a part of prompts crashing endpoint after endpoint in requests that differ in all else, and against rejecting what only shares the rest.
BOOST_AUTO_TEST_CASE(entries_partCrashesEndpoints_dispatchesAreBoundedAndHarmlessRequestsAreServed)
{
    const Kind crashing{.name = "crashing",
                        .parts = {"first", "dead"},
                        .isUnique = true,
                        .isCrashing = true,
                        .maxCopies = 3,
                        .leastPause = 100,
                        .mostPause = 1000,
                        .firstAt = 5000ms};
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        QuarantineWorld world = play(seed, {crashing}, false);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(world.tally("crashing").crashed >= 2);
            BOOST_TEST(world.furtherDispatches <= MaxFurtherDispatches);
            BOOST_TEST(world.tally("harmless").rejected == 0);
            BOOST_TEST(world.tally("harmless").answered > 1000);
        }
    }
}

// Guards against a part that most requests share being quarantined when endpoints of a group, which answers nothing while one is down, crash for other reasons
// as well.
BOOST_AUTO_TEST_CASE(entries_partCrashesEndpointsOfAGroup_dispatchesAreBoundedAndHarmlessRequestsAreServed)
{
    const Kind crashing{.name = "crashing",
                        .parts = {"first", "dead"},
                        .isUnique = true,
                        .isCrashing = true,
                        .maxCopies = 3,
                        .leastPause = 100,
                        .mostPause = 1000,
                        .firstAt = 5000ms};
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        QuarantineWorld world = play(seed, {crashing}, true);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(world.furtherDispatches <= MaxFurtherDispatches);
            BOOST_TEST(world.lateTally("harmless").rejected == 0);
            BOOST_TEST(world.lateTally("harmless").answered > 300);
        }
    }
}

// Guards against a harmless part staying quarantined because at first it came only together with the one that crashes endpoints.
BOOST_AUTO_TEST_CASE(entries_harmlessPartCameOnlyBesideTheCrashingOne_isServedLater)
{
    const Kind crashing{
        .name = "crashing", .parts = {"first", "rare", "dead"}, .isUnique = true, .isCrashing = true, .leastPause = 100, .mostPause = 1000, .firstAt = 5000ms};
    const Kind rare{.name = "rare", .parts = {"first", "rare"}, .isUnique = true, .leastPause = 200, .mostPause = 800, .firstAt = 20000ms};
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        QuarantineWorld world = play(seed, {crashing, rare}, false);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(world.furtherDispatches <= MaxFurtherDispatches);
            BOOST_TEST(world.lateTally("rare").answered * 2 > world.lateTally("rare").sent);
            BOOST_TEST(world.tally("harmless").rejected == 0);
        }
    }
}

// Guards against each of many entries finding out about a part for itself.
BOOST_AUTO_TEST_CASE(manyEntries_partCrashesEndpoints_dispatchesAreBounded)
{
    const Kind crashing{
        .name = "crashing", .parts = {"first", "rare", "dead"}, .isUnique = true, .isCrashing = true, .leastPause = 20, .mostPause = 200, .firstAt = 5000ms};
    const Kind rare{.name = "rare", .parts = {"first", "rare"}, .isUnique = true, .leastPause = 20, .mostPause = 200, .firstAt = 10000ms};
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        QuarantineWorld world = play(seed, {crashing, rare}, false, 100);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(world.furtherDispatches <= MaxFurtherDispatches);
            BOOST_TEST(world.lateTally("rare").answered * 2 > world.lateTally("rare").sent);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
