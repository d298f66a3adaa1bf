#include "agentfixture.h"
#include "http/httpclient.h"

#include <algorithm>

namespace magnolia::agent
{

BOOST_FIXTURE_TEST_SUITE(AgentTaskTest, AgentFixture)

BOOST_AUTO_TEST_CASE(emptyEngine_underAManifest_isLoadedByFencedOrdersAndReportedAsServing)
{
    BOOST_REQUIRE(!endpoint.orders.empty());
    BOOST_TEST(endpoint.orders.front().at("order") == "load_model");
    BOOST_TEST(endpoint.orders.front().at("fence") == 1);
    BOOST_TEST(reports().back().loaded.front() == "chat@7");
    BOOST_TEST(reports().back().manifestVersion == 1U);
    endpoint.models.clear(); // Restarted empty.
    BOOST_TEST(runUntil([this] { return !endpoint.models.empty(); }));
}

// Symptom: after a link broke, an entry sends an endpoint nothing more, since it knows of nothing that is loaded there.
// Sequence: the list of what is loaded is left out while it does not change; the link breaks; the entry forgets the list.
// Cause: what was told is remembered for the peer, not for the link.
BOOST_AUTO_TEST_CASE(loadedList_unchanged_isSentOncePerLink)
{
    const auto sameLists = [](const EntryLink &link) {
        const auto sent = link.all<wire::LoadReport>();
        return std::count_if(sent.begin(), sent.end(), [](const wire::LoadReport &report) { return report.sameLoaded; });
    };
    BOOST_REQUIRE(runUntil([&] { return sameLists(*entry) > 0; }));
    const auto fresh = connect();
    BOOST_REQUIRE(runUntil([&] { return sameLists(*fresh) > 0; }));
    BOOST_TEST(!fresh->all<wire::LoadReport>().front().sameLoaded);
    for (const wire::LoadReport &report : reportsOver(*fresh)) {
        BOOST_TEST(report.loaded == std::vector<std::string>{"chat@7"}, boost::test_tools::per_element());
    }
    endpoint.models.clear(); // Restarted empty.
    BOOST_TEST(runUntil([&] { return reportsOver(*fresh).back().loaded.empty(); }));
    BOOST_TEST(runUntil([&] { return !reportsOver(*fresh).back().loaded.empty(); }));
}

BOOST_AUTO_TEST_CASE(modelRequest_streamed_comesInOrderAndEndsWhole)
{
    const wire::Dispatch message = dispatch(1);
    entry->link->send(message);
    BOOST_REQUIRE(runUntil([this] { return endpoint.openStreams() == 1; }));
    endpoint.give(3);
    endpoint.endStream();
    BOOST_REQUIRE(runUntil([&] { return finishIn(*entry, message.id).has_value(); }));
    const auto chunks = entry->all<wire::Chunk>();
    BOOST_REQUIRE(chunks.size() == 3U);
    for (std::uint32_t i = 0; i < 3; ++i) {
        BOOST_TEST(chunks[i].index == i);
        BOOST_TEST(chunks[i].data == "piece " + std::to_string(i));
    }
    const wire::Finish finish = *finishIn(*entry, message.id);
    BOOST_TEST((finish.verdict == Verdict::Ran));
    BOOST_TEST(finish.chunks == 3U);
    BOOST_TEST(finish.errorCode.empty());
}

// Symptom: a caller's stream has a gap or starts again after the link between entry and agent broke.
// Sequence: the link closes in mid-stream; pieces come while there is none; the entry asks over a fresh link.
// Cause: an answer that is bound to the link that its request came by.
BOOST_AUTO_TEST_CASE(linkBrokenInMidStream_attachedOverAFreshOne_losesNothing)
{
    const wire::Dispatch message = dispatch(1);
    entry->link->send(message);
    BOOST_REQUIRE(runUntil([this] { return endpoint.openStreams() == 1; }));
    endpoint.give(2);
    BOOST_REQUIRE(runUntil([this] { return entry->all<wire::Chunk>().size() == 2; }));
    entry->link->close();
    endpoint.give(2);
    entry = connect();
    entry->link->send(wire::Query{.id = message.id, .incarnation = task->incarnation()});
    BOOST_REQUIRE(runUntil([this] { return entry->all<wire::QueryAnswer>().size() == 1; }));
    BOOST_TEST(entry->all<wire::QueryAnswer>().front().running);
    entry->link->send(wire::Attach{.id = message.id, .fromChunk = 1});
    BOOST_REQUIRE(runUntil([this] { return entry->all<wire::Chunk>().size() == 3; }));
    endpoint.give(1);
    endpoint.endStream();
    BOOST_REQUIRE(runUntil([&] { return finishIn(*entry, message.id).has_value(); }));
    const auto chunks = entry->all<wire::Chunk>();
    BOOST_REQUIRE(chunks.size() == 4U);
    BOOST_TEST(chunks.front().index == 1U);
    BOOST_TEST(chunks.back().index == 4U);
    BOOST_TEST(endpoint.hangups == 0);
}

BOOST_AUTO_TEST_CASE(dispatch_toAnotherIncarnation_isNotRun)
{
    wire::Dispatch message = dispatch(1);
    message.incarnation -= 1;
    const wire::Finish finish = finishOf(message);
    BOOST_TEST(finish.errorCode == "stale_incarnation");
    BOOST_TEST((finish.verdict == Verdict::NotRun));
    BOOST_TEST(endpoint.openStreams() == 0U);
}

BOOST_AUTO_TEST_CASE(lateCopy_afterItsQuery_isRefused)
{
    const wire::Dispatch message = dispatch(1);
    entry->link->send(wire::Query{.id = message.id, .incarnation = message.incarnation});
    const wire::Finish finish = finishOf(message);
    BOOST_REQUIRE(!entry->all<wire::QueryAnswer>().empty());
    BOOST_TEST((entry->all<wire::QueryAnswer>().front().verdict == Verdict::NotRun));
    BOOST_TEST((finish.verdict == Verdict::NotRun));
    BOOST_TEST(endpoint.openStreams() == 0U);
}

BOOST_AUTO_TEST_CASE(cancelledRequest_atTheEngine_isHungUp)
{
    const wire::Dispatch message = dispatch(1);
    entry->link->send(message);
    BOOST_REQUIRE(runUntil([this] { return endpoint.openStreams() == 1; }));
    entry->link->send(wire::Cancel{.id = message.id});
    BOOST_REQUIRE(runUntil([&] { return endpoint.hangups == 1 && finishIn(*entry, message.id).has_value(); }));
    BOOST_TEST(finishIn(*entry, message.id)->errorCode == "cancelled");
}

BOOST_AUTO_TEST_CASE(requestsForWhatTheEndpointLacks_areNotRun)
{
    wire::Dispatch model = dispatch(1);
    model.model = "other";
    wire::Dispatch version = dispatch(2);
    version.version = "8";
    wire::Dispatch adapter = dispatch(3);
    adapter.adapter = "karoo";
    wire::Dispatch path = dispatch(4);
    path.path = "/control/orders";
    for (const wire::Dispatch &message : {model, version, adapter, path, booking(5, "k")}) {
        BOOST_TEST((finishOf(message).verdict == Verdict::NotRun));
    }
    BOOST_TEST(endpoint.openStreams() == 0U);
}

// Symptom: a planned stop cuts a caller's answer, or callers are sent to an endpoint that is going.
// Sequence: an answer is half given and one waits in the queue when the stop comes.
// Cause: ending at the signal, or saying nothing on the links before the end.
BOOST_AUTO_TEST_CASE(drain_withWorkInProgress_saysSoAtOnceAndEndsItWhole)
{
    for (std::uint64_t number = 1; number <= 3; ++number) {
        entry->link->send(dispatch(number));
    }
    BOOST_REQUIRE(runUntil([this] { return endpoint.openStreams() == 2; }));
    task->drain();
    BOOST_REQUIRE(runUntil([this] { return finishIn(*entry, dispatch(3).id).has_value(); }));
    BOOST_TEST(reports().back().leaving);
    BOOST_TEST(finishIn(*entry, dispatch(3).id)->errorCode == "leaving");
    BOOST_TEST((finishIn(*entry, dispatch(3).id)->verdict == Verdict::NotRun));
    BOOST_TEST(finishOf(dispatch(4)).errorCode == "leaving");
    BOOST_TEST(!stopped);
    for (int stream = 0; stream < 2; ++stream) {
        endpoint.give(1);
        endpoint.endStream();
    }
    BOOST_REQUIRE(runUntil([this] { return stopped && finishIn(*entry, dispatch(1).id) && finishIn(*entry, dispatch(2).id); }));
    BOOST_TEST(finishIn(*entry, dispatch(1).id)->errorCode.empty());
    BOOST_TEST(finishIn(*entry, dispatch(2).id)->errorCode.empty());
}

// Symptom: two agents give orders to one engine.
// Sequence: the first one is frozen; the instance's keeper starts a second one beside it.
// Cause: looking for a live predecessor in place of holding something that only one process can hold.
BOOST_AUTO_TEST_CASE(secondAgent_onTheSameAddress_endsBeforeItDoesAnything)
{
    const std::uint64_t writes = table.writesApplied();
    BOOST_TEST(!start(task->linkAddress()).has_value());
    table.deliver();
    BOOST_TEST(table.writesApplied() == writes);
}

BOOST_AUTO_TEST_CASE(operators_ask_areAnswered)
{
    http::HttpClient client(loop.get(), {.address = task->operatorsAddress()});
    const auto ask = [&](const std::string &method, const std::string &path, const std::string &key) {
        std::optional<Result<http::Response>> response;
        client.send({.method = method, .path = path, .headers = {{"authorization", "Bearer " + key}}},
                    [&](Result<http::Response> answer) { response = std::move(answer); });
        BOOST_REQUIRE(runUntil([&] { return response.has_value(); }));
        return response->value();
    };
    BOOST_TEST(ask("GET", "/healthz", "").status == 200);
    BOOST_TEST(ask("GET", "/readyz", "").status == 200);
    BOOST_TEST(ask("GET", "/metrics", "").body.find("magnolia_agent_serving 1") != std::string::npos);
    BOOST_TEST(nlohmann::json::parse(ask("GET", "/status", "").body).at("manifest").at("version") == 1);
    BOOST_TEST(ask("POST", "/drain", "wrong").status == 401);
    BOOST_TEST(ask("POST", "/drain", "operator").status == 202);
    BOOST_TEST(ask("GET", "/readyz", "").status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AgentTaskServiceTest, ServiceAgentFixture)

BOOST_AUTO_TEST_CASE(booking_triedTwiceUnderOneKey_runsOnceAndIsAnsweredTwice)
{
    const wire::Finish first = finishOf(booking(1, "k1"));
    BOOST_TEST((first.verdict == Verdict::Ran));
    BOOST_TEST(!first.replayed);
    const wire::Finish second = finishOf(booking(2, "k1"));
    BOOST_TEST(second.replayed);
    BOOST_TEST(second.status == 200U);
    BOOST_TEST(entry->all<wire::Chunk>().back().data == "booking 1 of k1");
    BOOST_TEST(endpoint.bookings["k1"] == 1);
    const wire::Finish other = finishOf(booking(3, "k1", "another"));
    BOOST_TEST(other.errorCode == "conflict");
    BOOST_TEST((other.verdict == Verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(booking_whileTheTableIsDown_isNotRunAtOnceAndWorksAfterwards)
{
    table.setDown(true);
    const wire::Finish refused = finishOf(booking(1, "k1"));
    BOOST_TEST(refused.errorCode == "unavailable");
    BOOST_TEST((refused.verdict == Verdict::NotRun));
    BOOST_TEST(refused.retryAfter.count() > 0);
    BOOST_TEST(endpoint.bookings.empty());
    table.setDown(false);
    BOOST_TEST((finishOf(booking(2, "k1")).verdict == Verdict::Ran));
    BOOST_TEST(endpoint.bookings["k1"] == 1);
}

BOOST_AUTO_TEST_CASE(booking_whoseClaimLostItsReply_runsOnce)
{
    table.failNextWrite(store::testing::MemoryTable::Fault::LoseReply);
    BOOST_TEST((finishOf(booking(1, "k1")).verdict == Verdict::Ran));
    BOOST_TEST(endpoint.bookings["k1"] == 1);
}

BOOST_AUTO_TEST_CASE(booking_withoutAKeyOrMarkedIdempotentByAnOlderEntry_isGuardedAllTheSame)
{
    BOOST_TEST(finishOf(booking(1, "")).errorCode == "bad_input");
    wire::Dispatch marked = booking(2, "k1");
    marked.idempotent = true;
    BOOST_TEST((finishOf(marked).verdict == Verdict::Ran));
    wire::Dispatch again = booking(3, "k1");
    again.idempotent = true;
    BOOST_TEST(finishOf(again).replayed);
    BOOST_TEST(endpoint.bookings["k1"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::agent
