#include "loadcheck.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace magnolia;
using namespace magnolia::path;

namespace
{

constexpr Duration BackLimit{10000};

struct WholeAnswerFixture {
    WholeAnswerFixture()
    {
        for (Json &endpoint : deployment.manifest["endpoints"]) {
            endpoint["concurrency"] = 128;
        }
        deployment.start();
    }

    /** Waits for so many more whole streams, and says how long that took. */
    void requireServed(MixedLoad &load, const std::string &after)
    {
        const MonoTime from = MonoClock::now();
        const int goal = load.wholeStreams() + 200;
        BOOST_TEST(deployment.loop.runUntil([&] { return load.wholeStreams() >= goal; }, BackLimit));
        const auto took = std::chrono::duration_cast<Duration>(MonoClock::now() - from);
        BOOST_TEST_MESSAGE("RESULT 200-streams-after-" << after << " " << took.count() << " ms");
    }

    /** @return how often callers met an end that begins so. */
    static int timesMet(const MixedLoad &load, const std::string &beginning)
    {
        int times = 0;
        for (const auto &[outcome, count] : load.outcomes()) {
            times += outcome.starts_with(beginning) ? count : 0;
        }
        return times;
    }

    void restart(Member &member, Duration down)
    {
        member.process->kill();
        BOOST_REQUIRE(deployment.waitForEnd(member).has_value());
        deployment.loop.runFor(down);
        deployment.startMember(member);
    }

    // Streams of about 200 ms, so that each failure meets hundreds of them half-way.
    static constexpr int Pieces = 20;
    Deployment deployment{{.entries = 2,
                           .engines = 3,
                           .hasBooking = false,
                           .pieces = Pieces,
                           .pieceInterval = Duration{10},
                           .engineArguments = {"--concurrency", "128"},
                           .hasRelays = true}};
    MixedLoad::Options loadOptions{.payingStreams = 150, .trialStreams = 50, .bookings = 0, .pieces = Pieces};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WholeAnswerPath, WholeAnswerFixture)

// Symptom: a caller's answer has a gap or a repeat, or stands still, after an engine failed.
// Sequence: under 200 streams an engine forgets everything and cuts its streams; another stands still with them open; a
// third is killed and started again.
// Cause: streams resumed elsewhere have to go on after the last piece that the caller has, whichever way the first broke.
BOOST_AUTO_TEST_CASE(engines_failedInMidStream_eachAnswerIsWholeAndOwnOrEndsInATruthfulError)
{
    MixedLoad load(deployment, loadOptions);
    requireServed(load, "start");
    deployment.setFaults(deployment.engine(0), {{"restart", true}});
    requireServed(load, "engine-restart");
    deployment.setFaults(deployment.engine(1), {{"stall_streams", true}});
    deployment.loop.runFor(Duration{3500});
    deployment.setFaults(deployment.engine(1), {{"stall_streams", false}});
    requireServed(load, "engine-stall");
    // What a killed engine has counted is gone with it, so the judge misses its runs from here on.
    restart(deployment.engine(2), Duration{300});
    requireServed(load, "engine-kill");
    requirePromisesKept(load);
    // An engine that has just forgotten its models says so; the other two have them.
    BOOST_TEST(timesMet(load, "404") == 0);
}

// Symptom: an answer is lost, doubled or somebody else's after an agent was replaced.
// Sequence: under 200 streams each agent is killed in turn and started again with an empty memory.
// Cause: the entry cannot know what became of its requests there; a new incarnation must refuse what was sent to the old.
BOOST_AUTO_TEST_CASE(agents_killedAndRestartedInMidStream_eachAnswerIsWholeAndOwnOrEndsInATruthfulError)
{
    MixedLoad load(deployment, loadOptions);
    requireServed(load, "start");
    for (std::size_t i = 0; i < deployment.agentCount(); ++i) {
        restart(deployment.agent(i), Duration{200});
        requireServed(load, "agent-kill");
    }
    requirePromisesKept(load);
}

// Symptom: streams hang for good although engine, agent and entry are all well.
// Sequence: under 200 streams all connections to an agent, then all to an engine, go silent for good while new ones work.
// Cause: nothing closes such a connection; only missing heartbeats and missing pieces show it.
BOOST_AUTO_TEST_CASE(connections_goneSilentInMidStream_eachAnswerIsWholeAndOwnOrEndsInATruthfulError)
{
    MixedLoad load(deployment, loadOptions);
    requireServed(load, "start");
    deployment.agent(0).relay->silence();
    deployment.loop.runFor(Duration{3000});
    requireServed(load, "silent-links");
    deployment.engine(1).relay->silence();
    deployment.loop.runFor(Duration{3000});
    requireServed(load, "silent-engine-connections");
    requirePromisesKept(load);
    // What a silent link has swallowed is tried again: it met no overload, and two other engines are well.
    BOOST_TEST(timesMet(load, "502 connection_lost not-run") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
