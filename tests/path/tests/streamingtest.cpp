#include "deployment.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::path;

namespace
{

struct StreamingFixture {
    StreamingFixture()
    {
        deployment.start();
    }

    std::string entryAddress(std::size_t index)
    {
        return deployment.entry(index).work.address();
    }

    Deployment deployment{{.entries = 2, .engines = 2, .hasBooking = false, .pieces = 8}};
    Caller &caller = deployment.caller;
};

/** Streams of ten seconds, that nobody reads to their end. */
struct LongStreamFixture {
    LongStreamFixture()
    {
        deployment.start();
    }

    Deployment deployment{{.entries = 1, .engines = 1, .hasBooking = false, .pieces = 2000, .pieceInterval = Duration{5}}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamingPath, StreamingFixture)

BOOST_AUTO_TEST_CASE(streamedRequest_throughTheWholePath_arrivesWhole)
{
    const Call call = caller.call(entryAddress(0), chatRequest(PayingKey, "guide", "hello", true));
    BOOST_TEST(call.status == 200);
    BOOST_TEST(call.isWhole);
    BOOST_TEST(call.isDone());
    BOOST_TEST(call.content() == expectedContent("hello", 8));
    BOOST_TEST(call.header("x-request-id").size() == 32U);
    BOOST_TEST(deployment.runs("hello", "ended") == 1);
}

BOOST_AUTO_TEST_CASE(wholeRequest_throughTheWholePath_arrivesAsOneObject)
{
    const Call call = caller.call(entryAddress(1), chatRequest(TrialKey, "guide", "hello", false));
    BOOST_TEST(call.status == 200);
    BOOST_TEST(call.content() == expectedContent("hello", 8));
    BOOST_TEST(call.header("x-verdict") == "ran");
    BOOST_TEST(Json::parse(call.body)["object"] == "chat.completion");
}

BOOST_AUTO_TEST_CASE(listOfModels_asked_namesWhatTheOrganisationMayReach)
{
    CallerRequest request;
    request.method = "GET";
    request.path = "/v1/models";
    request.key = PayingKey;
    const Call call = caller.call(entryAddress(0), request);
    BOOST_TEST(call.status == 200);
    BOOST_TEST(call.body.find("\"guide\"") != std::string::npos);
    BOOST_TEST(call.body.find("ledger") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(manyCallers_atOnceAtBothEntries_eachGetTheirOwnAnswer)
{
    constexpr int Callers = 200;
    std::vector<CallPtr> calls;
    for (int i = 0; i < Callers; ++i) {
        CallerRequest request = chatRequest(PayingKey, "guide", "caller-" + std::to_string(i), i % 3 != 0);
        calls.push_back(caller.start(entryAddress(static_cast<std::size_t>(i % 2)), request));
    }
    for (int i = 0; i < Callers; ++i) {
        const Call &call = *calls[static_cast<std::size_t>(i)];
        BOOST_REQUIRE(deployment.loop.runUntil([&call] { return call.isEnded; }));
        BOOST_TEST(call.status == 200);
        BOOST_TEST(call.content() == expectedContent("caller-" + std::to_string(i), 8));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(LongStreamPath, LongStreamFixture)

// Symptom: an engine goes on generating for a caller who has hung up, and its slot is lost to others.
// Sequence: a caller reads the first pieces of a long stream and closes the connection.
// Cause: the hang-up has to travel from the entry over the link to the agent, which closes its connection to the engine.
BOOST_AUTO_TEST_CASE(caller_hangsUpInMidStream_cancelsAtTheEngine)
{
    const std::string entry = deployment.entry(0).work.address();
    const CallPtr call = deployment.caller.start(entry, chatRequest(PayingKey, "guide", "gone", true));
    BOOST_REQUIRE(deployment.loop.runUntil([&call] { return call->content().size() > 20; }));
    deployment.caller.hangUp(entry, call);
    BOOST_TEST(deployment.loop.runUntil([this] { return deployment.runs("gone", "cancelled") == 1; }, Duration{3000}));
    BOOST_TEST(deployment.runs("gone", "ended") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
