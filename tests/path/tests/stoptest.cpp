#include "streamingload.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::path;

namespace
{

struct StopFixture {
    StopFixture()
    {
        deployment.start();
    }

    /** Stops a member as planned, expects exit code 0, and starts it again. */
    void restart(Member &member)
    {
        BOOST_TEST_CONTEXT(member.name)
        {
            member.process->terminate();
            const auto exitCode = deployment.waitForEnd(member);
            BOOST_REQUIRE(exitCode.has_value());
            BOOST_TEST(*exitCode == 0);
            deployment.startMember(member);
            BOOST_REQUIRE(deployment.waitForReady(member));
        }
    }

    // Streams of about 200 ms, so that each stop meets many of them half-way.
    Deployment deployment{{.entries = 2, .engines = 2, .hasBooking = false, .pieces = 20, .pieceInterval = Duration{10}, .stopLag = Duration{1500}}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StopPath, StopFixture)

// Symptom: a caller's stream breaks off, or a request is lost, because an instance was replaced as planned.
// Sequence: under steady streaming load each entry and each agent gets SIGTERM in turn and is started again.
// Cause: a stop that closes listeners before the balancer has noticed, or ends with work in progress.
BOOST_AUTO_TEST_CASE(everyEntryAndAgent_stoppedInTurnUnderStreamingLoad_cutsOffAndLosesNothing)
{
    StreamingLoad load(deployment, {.concurrency = 12, .pieces = 20});
    BOOST_REQUIRE(load.waitForAnswers(30));
    for (std::size_t i = 0; i < deployment.entryCount(); ++i) {
        restart(deployment.entry(i));
        BOOST_REQUIRE(load.waitForAnswers(30));
    }
    for (std::size_t i = 0; i < deployment.agentCount(); ++i) {
        restart(deployment.agent(i));
        BOOST_REQUIRE(load.waitForAnswers(30));
    }
    load.finish();
    BOOST_TEST_MESSAGE("whole answers: " << load.wholeAnswers());
    for (const std::string &fault : load.faults()) {
        BOOST_ERROR(fault);
    }
}

BOOST_AUTO_TEST_CASE(entry_toldToStop_isNotReadyAtOnceAndStillAnswers)
{
    Member &entry = deployment.entry(0);
    entry.process->terminate();
    const auto isNotReady = [this, &entry] { return deployment.caller.get(entry.operators.address(), "/readyz").status == 503; };
    BOOST_TEST(deployment.loop.runUntil(isNotReady, Duration{1000}));
    BOOST_TEST(deployment.caller.call(entry.work.address(), chatRequest(PayingKey, "guide", "late", true)).status == 200);
    BOOST_TEST(deployment.waitForEnd(entry).value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

/** Streams of six seconds, so that an agent which leaves stays for a while. */
struct LeavingFixture {
    LeavingFixture()
    {
        deployment.start();
    }

    std::string entryAddress(std::size_t index)
    {
        return deployment.entry(index % deployment.entryCount()).work.address();
    }

    bool hasRun(std::size_t engine, const std::string &marker)
    {
        return deployment.caller.get(deployment.engine(engine).work.address(), "/test/counts").body.find(marker) != std::string::npos;
    }

    CallerRequest shortRequest(const std::string &marker)
    {
        CallerRequest request = chatRequest(PayingKey, "guide", marker, true);
        Json body = Json::parse(request.body);
        body["max_tokens"] = 1;
        request.body = body.dump();
        return request;
    }

    Deployment deployment{{.entries = 2, .engines = 2, .hasBooking = false, .pieces = 600, .pieceInterval = Duration{10}}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeavingPath, LeavingFixture)

// Symptom: a request reaches an endpoint that is leaving.
// Sequence: an agent with streams in progress gets SIGTERM, while the platform's list, which lags, still shows it live.
// Cause: the list is no proof of liveness; the agent itself has to say "leaving" on its links and refuse new work.
BOOST_AUTO_TEST_CASE(agent_toldToStopWithStreamsInProgress_getsNoNewWorkAndCutsNothingOff)
{
    std::vector<CallPtr> streams;
    streams.reserve(8);
    for (int i = 0; i < 8; ++i) {
        streams.push_back(
            deployment.caller.start(entryAddress(static_cast<std::size_t>(i)), chatRequest(PayingKey, "guide", "long-" + std::to_string(i), true)));
    }
    BOOST_REQUIRE(deployment.loop.runUntil([this] { return hasRun(0, "long-") && hasRun(1, "long-"); }, Duration{3000}));

    Member &leaving = deployment.agent(0);
    leaving.process->terminate();
    deployment.loop.runFor(Duration{300});
    for (int i = 0; i < 20; ++i) {
        const Call call = deployment.caller.call(entryAddress(static_cast<std::size_t>(i)), shortRequest("after-" + std::to_string(i)));
        BOOST_TEST(call.status == 200);
    }
    BOOST_TEST(leaving.process->isRunning());
    BOOST_TEST(!hasRun(0, "after-"));

    for (int i = 0; i < 8; ++i) {
        const Call &stream = *streams[static_cast<std::size_t>(i)];
        BOOST_REQUIRE(deployment.loop.runUntil([&stream] { return stream.isEnded; }));
        BOOST_TEST(stream.isDone());
        BOOST_TEST(stream.content() == expectedContent("long-" + std::to_string(i), 600));
    }
    BOOST_TEST(deployment.waitForEnd(leaving).value_or(-1) == 0);
    BOOST_TEST(deployment.runs("long-0", "cancelled") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
