#include "entryfixture.h"

#include <nlohmann/json.hpp>

#include <set>

using namespace magnolia;
using namespace magnolia::entry;
using namespace magnolia::entry::tests;

namespace
{

std::string piece(const std::string &text)
{
    return nlohmann::json{{"choices", {{{"index", 0}, {"delta", {{"content", text}}}}}}}.dump();
}

std::string eventOf(const std::string &text)
{
    return "data: " + piece(text) + "\n\n";
}

const std::string Done = "data: [DONE]\n\n";

/** Answers each dispatch whole with two pieces: the prompt, as the request has it, and the agent's endpoint. */
void answerWhole(FakeAgent &agent, wire::Link &link, const wire::Message &message)
{
    const auto *dispatch = std::get_if<wire::Dispatch>(&message);
    if (dispatch == nullptr) {
        return;
    }
    const auto prompt = nlohmann::json::parse(dispatch->body).at("messages").at(0).at("content").get<std::string>();
    const std::vector<std::string> pieces{piece(prompt), piece(" by " + agent.endpoint())};
    for (std::uint32_t index = dispatch->resumeAfter; index < pieces.size(); ++index) {
        link.send(FakeAgent::chunk(dispatch->id, index, pieces[index]));
    }
    link.send(FakeAgent::whole(dispatch->id, 2));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryTaskTest, EntryFixture)

BOOST_AUTO_TEST_CASE(chat_streamed_comesAsServerSentEvents)
{
    const auto answer = chat("torque", true, {{"traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}});
    const auto [agent, other] = whereDispatched();
    const wire::Dispatch dispatch = dispatchAt(*agent);
    BOOST_TEST((dispatch.priorityClass == wire::PriorityClass::Paying));
    BOOST_TEST(dispatch.traceparent.substr(0, 36) == "00-0af7651916cd43dd8448eb211c80319c-");
    BOOST_TEST(dispatch.traceparent.substr(36, 16) != "b7ad6b7169203331");
    agent->send(FakeAgent::chunk(dispatch.id, 0, piece("a")));
    runUntil([&] { return answer->body == eventOf("a"); });
    BOOST_TEST(answer->header("x-request-id") == dispatch.id.request.toString());
    BOOST_TEST(answer->header("x-verdict") == "ran");
    agent->send(FakeAgent::chunk(dispatch.id, 1, piece("b")));
    agent->send(FakeAgent::whole(dispatch.id, 2));
    waitFor(answer);
    BOOST_TEST(answer->body == eventOf("a") + eventOf("b") + Done);
    BOOST_TEST(answer->isWhole);
}

// Symptom: an entry finds no endpoint for a model that all of them serve, a second after they said so.
// Sequence: each agent's second report leaves out the list of what is loaded, which has not changed.
// Cause: an absent list read as an empty one.
BOOST_AUTO_TEST_CASE(reportsWithoutTheList_afterOnesWithIt_keepTheEndpointsAsCandidates)
{
    first.script = second.script = answerWhole;
    for (FakeAgent *agent : {&first, &second, &booking}) {
        agent->report(false, true);
        agent->report(false, true);
    }
    runFor(Duration(20));
    const auto answer = chat("torque", false);
    waitFor(answer);
    BOOST_TEST(answer->status == 200);
    const auto status = nlohmann::json::parse(ask("GET", "/status")->body);
    for (const auto &endpoint : status.at("endpoints")) {
        BOOST_TEST(endpoint.at("loaded").size() == 2U);
    }
}

// Symptom: requests go to an engine that restarted empty, on what its agent said over an earlier link.
// Sequence: the links break; on the fresh ones the first report leaves the list out, by a fault of the agent.
// Cause: the list kept for the agent, not for the link.
BOOST_AUTO_TEST_CASE(reportWithoutTheList_firstOnAFreshLink_countsAsNothingLoaded)
{
    for (FakeAgent *agent : {&first, &second, &booking}) {
        agent->cutLinks();
    }
    runUntil([this] { return first.links() == 1 && second.links() == 1 && booking.links() == 1; });
    const auto endpoints = [this] { return nlohmann::json::parse(ask("GET", "/status")->body).at("endpoints"); };
    runUntil([&] {
        for (FakeAgent *agent : {&first, &second, &booking}) {
            agent->report(false, true);
        }
        runFor(Duration(20));
        return endpoints().size() == 3U;
    });
    for (const auto &endpoint : endpoints()) {
        BOOST_TEST(endpoint.at("loaded").empty());
    }
}

BOOST_AUTO_TEST_CASE(chat_whole_isPutTogether)
{
    first.script = second.script = answerWhole;
    const auto answer = chat("torque", false);
    waitFor(answer);
    BOOST_TEST(answer->status == 200);
    const auto content = nlohmann::json::parse(answer->body).at("choices").at(0).at("message").at("content").get<std::string>();
    BOOST_TEST(content.starts_with("torque by engine-"));
}

BOOST_AUTO_TEST_CASE(chat_refusedByTheEngine_hasTheEnginesStatusAndBody)
{
    // Symptom: an engine's "400" reaches the caller as 200 with the error in place of the answer.
    // Sequence: the one piece with the engine's error comes, then the end with its status.
    // Cause: the stream was begun on the first piece, whatever it was.
    const auto refuse = [](FakeAgent &, wire::Link &link, const wire::Message &message) {
        if (const auto *dispatch = std::get_if<wire::Dispatch>(&message)) {
            link.send(FakeAgent::chunk(dispatch->id, 0, R"({"error":"no"})"));
            auto end = FakeAgent::whole(dispatch->id, 1);
            end.status = 400;
            end.contentType = "application/json";
            link.send(end);
        }
    };
    first.script = second.script = refuse;
    for (const bool stream : {true, false}) {
        const auto answer = chat("torque", stream);
        waitFor(answer);
        BOOST_TEST(answer->status == 400);
        BOOST_TEST(answer->body == R"({"error":"no"})");
        BOOST_TEST(answer->header("x-verdict") == "ran");
    }
}

BOOST_AUTO_TEST_CASE(callers_hundredsAtOnce_eachGetTheirOwnAnswerOnce)
{
    // Symptom: a crew gets the torque list of another crew.
    // Sequence: 400 callers at once; each answer's pieces come last first, doubled, and mixed with everybody else's.
    // Cause: answers matched by order or by link instead of by request and attempt.
    const auto disorderly = [](FakeAgent &agent, wire::Link &link, const wire::Message &message) {
        if (const auto *dispatch = std::get_if<wire::Dispatch>(&message)) {
            const auto prompt = nlohmann::json::parse(dispatch->body).at("messages").at(0).at("content").get<std::string>();
            link.send(FakeAgent::whole(dispatch->id, 2));
            link.send(FakeAgent::chunk(dispatch->id, 1, piece("!")));
            link.send(FakeAgent::chunk(dispatch->id, 1, piece("!")));
            for (const auto &earlier : agent.received<wire::Dispatch>()) {
                if (earlier.id.request.low % 8 == 0) {
                    link.send(FakeAgent::chunk(earlier.id, 0, piece("not for you")));
                }
            }
            link.send(FakeAgent::chunk(dispatch->id, 0, piece(prompt)));
            link.send(FakeAgent::chunk(dispatch->id, 0, piece(prompt)));
            link.send(FakeAgent::whole(dispatch->id, 2));
        }
    };
    first.script = second.script = [&disorderly](FakeAgent &agent, wire::Link &link, const wire::Message &message) {
        // Pieces for other requests go to requests that have ended, since each is answered within this call.
        if (const auto *dispatch = std::get_if<wire::Dispatch>(&message); dispatch != nullptr && dispatch->id.request.low % 8 != 0) {
            disorderly(agent, link, message);
        } else {
            answerWhole(agent, link, message);
        }
    };
    std::vector<std::shared_ptr<Answer>> answers;
    constexpr int Callers = 400;
    answers.reserve(Callers);
    for (int index = 0; index < Callers; ++index) {
        answers.push_back(chat("mark-" + std::to_string(index)));
    }
    for (int index = 0; index < Callers; ++index) {
        waitFor(answers[index]);
        BOOST_REQUIRE_EQUAL(answers[index]->status, 200);
        BOOST_REQUIRE(answers[index]->isWhole);
        BOOST_REQUIRE(answers[index]->body.starts_with(eventOf("mark-" + std::to_string(index))));
        BOOST_REQUIRE(answers[index]->body.ends_with(Done));
    }
    BOOST_TEST(first.received<wire::Dispatch>().size() + second.received<wire::Dispatch>().size() == Callers);
}

BOOST_AUTO_TEST_CASE(refusal_notRun_goesToTheNextCandidate)
{
    const auto answer = chat();
    const auto [agent, other] = whereDispatched();
    other->script = answerWhole;
    agent->send(FakeAgent::refusal(dispatchAt(*agent).id, Verdict::NotRun, "overloaded"));
    waitFor(answer);
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(other->received<wire::Dispatch>().at(0).id.attempt == 2U);
}

BOOST_AUTO_TEST_CASE(refusal_byAll_isToldAsNotRunWithRetryAfter)
{
    const auto refuse = [](FakeAgent &, wire::Link &link, const wire::Message &message) {
        if (const auto *dispatch = std::get_if<wire::Dispatch>(&message)) {
            auto refusal = FakeAgent::refusal(dispatch->id, Verdict::NotRun, "overloaded");
            refusal.retryAfter = Duration(2500);
            link.send(refusal);
        }
    };
    first.script = second.script = refuse;
    const auto answer = chat();
    waitFor(answer);
    BOOST_TEST(answer->status == 429);
    BOOST_TEST(answer->header("x-verdict") == "not-run");
    BOOST_TEST(answer->header("retry-after") == "3");
}

BOOST_AUTO_TEST_CASE(link_cutBeforeSend_usesTheOtherEndpoint)
{
    first.stop();
    runFor(Duration(50));
    second.script = answerWhole;
    const auto answer = chat();
    waitFor(answer);
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(second.received<wire::Dispatch>().at(0).id.attempt == 1U);
}

BOOST_AUTO_TEST_CASE(booking_linkCutAfterSend_isAskedForAndRunsOnce)
{
    // Symptom: a booking is made twice, or its caller is told "not run" while it stands.
    // Sequence: the booking is sent, the link breaks before the answer, the agent runs it all the same.
    // Cause: a broken link was taken for "not run" and the call sent again.
    const auto answer = book("k1");
    const wire::Dispatch dispatch = dispatchAt(booking);
    booking.script = [](FakeAgent &, wire::Link &link, const wire::Message &message) {
        if (const auto *query = std::get_if<wire::Query>(&message)) {
            link.send(wire::QueryAnswer{.id = query->id, .incarnation = query->incarnation, .verdict = Verdict::MayHaveRun, .running = true});
        } else if (const auto *attach = std::get_if<wire::Attach>(&message)) {
            link.send(FakeAgent::chunk(attach->id, 0, "booked"));
            link.send(FakeAgent::whole(attach->id, 1));
        }
    };
    booking.cutLinks();
    waitFor(answer);
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(answer->body == "booked");
    BOOST_TEST(booking.received<wire::Dispatch>().size() == 1U);
    BOOST_TEST((booking.received<wire::Query>().at(0).id == dispatch.id));
}

BOOST_AUTO_TEST_CASE(booking_agentRestarted_isMayHaveRunAndNotSentAgain)
{
    // Symptom: "not run" for a booking that stands, or a second one.
    // Sequence: booking sent, agent killed, its successor takes the same address and knows nothing of it.
    // Cause: the successor's ignorance was taken for proof.
    const auto answer = book("k2");
    dispatchAt(booking);
    booking.restart(31);
    waitFor(answer);
    BOOST_TEST(answer->status == 502);
    BOOST_TEST(answer->header("x-verdict") == "may-have-run");
    BOOST_TEST(booking.received<wire::Dispatch>().size() == 1U);
}

BOOST_AUTO_TEST_CASE(stream_agentDiesInMidStream_goesOnElsewhereWithoutGapOrRepeat)
{
    const auto answer = chat("torque");
    const auto [agent, other] = whereDispatched();
    other->script = answerWhole;
    agent->send(FakeAgent::chunk(dispatchAt(*agent).id, 0, piece("torque")));
    runUntil([&] { return !answer->body.empty(); });
    agent->stop();
    waitFor(answer);
    BOOST_TEST(answer->body == eventOf("torque") + eventOf(" by " + other->endpoint()) + Done);
    BOOST_TEST(other->received<wire::Dispatch>().at(0).resumeAfter == 1U);
    BOOST_TEST(other->received<wire::Dispatch>().at(0).version == "3");
}

BOOST_AUTO_TEST_CASE(stream_linkCutInMidStream_goesOnOverTheFreshLink)
{
    const auto answer = chat();
    const auto [agent, other] = whereDispatched();
    const wire::AttemptId id = dispatchAt(*agent).id;
    agent->send(FakeAgent::chunk(id, 0, piece("a")));
    runUntil([&] { return !answer->body.empty(); });
    agent->script = [](FakeAgent &, wire::Link &link, const wire::Message &message) {
        if (const auto *query = std::get_if<wire::Query>(&message)) {
            link.send(wire::QueryAnswer{.id = query->id, .incarnation = query->incarnation, .verdict = Verdict::MayHaveRun, .running = true});
        } else if (const auto *attach = std::get_if<wire::Attach>(&message)) {
            link.send(FakeAgent::chunk(attach->id, 0, piece("a")));
            link.send(FakeAgent::chunk(attach->id, 1, piece("b")));
            link.send(FakeAgent::whole(attach->id, 2));
        }
    };
    agent->cutLinks();
    waitFor(answer);
    BOOST_TEST(answer->body == eventOf("a") + eventOf("b") + Done);
    BOOST_TEST(other->received<wire::Dispatch>().empty());
}

BOOST_AUTO_TEST_CASE(stream_failsForGood_endsWithAnErrorEvent)
{
    const auto answer = chat();
    const auto [agent, other] = whereDispatched();
    const wire::AttemptId id = dispatchAt(*agent).id;
    agent->send(FakeAgent::chunk(id, 0, piece("a")));
    agent->send(FakeAgent::refusal(id, Verdict::Ran, "deadline_exceeded"));
    waitFor(answer);
    BOOST_TEST(answer->body.starts_with(eventOf("a") + "event: error\ndata: {\"error\":"));
    BOOST_TEST(answer->body.find("[DONE]") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(caller_hangsUp_cancelsAtTheAgent)
{
    const auto answer = chat();
    const auto [agent, other] = whereDispatched();
    const wire::AttemptId id = dispatchAt(*agent).id;
    caller->cancel(answer->call);
    runUntil([agent = agent] { return !agent->received<wire::Cancel>().empty(); });
    BOOST_TEST((agent->received<wire::Cancel>().at(0).id == id));
}

BOOST_AUTO_TEST_CASE(deadline_passed_isAnsweredAtOnceAndCancelled)
{
    const auto answer = chat("torque", true, {{"x-request-timeout-ms", "150"}});
    const auto [agent, other] = whereDispatched();
    waitFor(answer);
    BOOST_TEST(answer->status == 504);
    BOOST_TEST(answer->header("x-verdict") == "may-have-run");
    runUntil([agent = agent] { return !agent->received<wire::Cancel>().empty(); });
}

BOOST_AUTO_TEST_CASE(endpoint_leaving_getsNothingNew)
{
    first.script = second.script = answerWhole;
    first.report(true);
    runFor(Duration(20));
    for (int index = 0; index < 20; ++index) {
        waitFor(chat("prompt " + std::to_string(index)));
    }
    BOOST_TEST(first.received<wire::Dispatch>().empty());
    BOOST_TEST(second.received<wire::Dispatch>().size() == 20U);
}

BOOST_AUTO_TEST_CASE(rate_overTheOrganisations_isRefusedWithRetryAfter)
{
    first.script = second.script = answerWhole;
    const http::Headers limited{{"authorization", "Bearer " + LimitedKey}};
    const auto allowed = chat("torque", true, limited);
    waitFor(allowed);
    BOOST_TEST(allowed->status == 200);
    const auto refused = chat("torque", true, limited);
    waitFor(refused);
    BOOST_TEST(refused->status == 429);
    BOOST_TEST(!refused->header("retry-after").empty());
    BOOST_TEST(nlohmann::json::parse(refused->body).at("error").at("code") == "rate_limited");
}

BOOST_AUTO_TEST_CASE(manifest_keyWithdrawn_isInForceWithoutRestart)
{
    first.script = second.script = answerWhole;
    auto changed = sampleManifest();
    changed.version = 8;
    changed.organisations[0].keyHashes = {manifest::Digest::of("another-key").toString()};
    setManifest(changed);
    runUntil([this] {
        const auto answer = chat();
        waitFor(answer);
        return answer->status == 401;
    });
    const auto answer = chat("torque", true, {{"authorization", "Bearer another-key"}});
    waitFor(answer);
    BOOST_TEST(answer->status == 200);
}

BOOST_AUTO_TEST_CASE(models_ofAnOrganisation_areListed)
{
    const auto answer = send(*caller, {.method = "GET", .path = "/v1/models", .headers = {{"authorization", "Bearer " + TrialKey}}});
    waitFor(answer);
    BOOST_TEST(answer->status == 200);
    const auto data = nlohmann::json::parse(answer->body).at("data");
    BOOST_REQUIRE_EQUAL(data.size(), 1U);
    BOOST_TEST(data.at(0).at("id") == "guide");
}

BOOST_AUTO_TEST_CASE(operators_eachPath_answers)
{
    BOOST_TEST(ask("GET", "/healthz")->status == 200);
    const auto status = nlohmann::json::parse(ask("GET", "/status")->body);
    BOOST_TEST(status.at("manifest").at("version") == 7);
    BOOST_TEST(status.at("links").size() == 3U);
    const auto explained = nlohmann::json::parse(ask("POST", "/explain", R"({"organisation":"crew","model":"guide"})")->body);
    BOOST_TEST(explained.at("candidates").size() == 2U);
    BOOST_TEST(ask("POST", "/explain", R"({"organisation":"visitor","model":"secret"})")->status == 403);
    BOOST_TEST(ask("POST", "/explain", "[")->status == 400);
    BOOST_TEST(ask("GET", "/metrics")->body.find("magnolia_entry_links_up 3") != std::string::npos);
    BOOST_TEST(ask("GET", "/nothing")->status == 404);
    BOOST_TEST(ask("POST", "/drain")->status == 401);
    BOOST_TEST(ask("POST", "/drain", {}, {{"authorization", "Bearer wrong"}})->status == 401);
}

BOOST_AUTO_TEST_CASE(drain_withWorkInProgress_cutsNothingOff)
{
    // Symptom: a planned stop cuts a stream off, or a caller that the balancer still sends here is turned away.
    // Sequence: a stream runs, the stop begins, a new request comes within the balancer's lag, another one after it.
    // Cause: the listener closed or the process ended on the signal.
    const auto running = chat("running");
    const auto [agent, other] = whereDispatched();
    const wire::AttemptId id = dispatchAt(*agent).id;
    BOOST_TEST(ask("POST", "/drain", {}, {{"authorization", "Bearer operators-key"}})->status == 202);
    BOOST_TEST(ask("GET", "/readyz")->status == 503);
    first.script = second.script = answerWhole;
    const auto within = chat("within the lag");
    waitFor(within);
    BOOST_TEST(within->status == 200);
    runFor(Duration(400));
    const auto after = chat("after the lag");
    waitFor(after);
    BOOST_TEST(after->status == 503);
    BOOST_TEST(after->header("x-verdict") == "not-run");
    BOOST_TEST(!after->header("retry-after").empty());
    BOOST_TEST(!stopped);
    agent->send(FakeAgent::chunk(id, 0, piece("a")));
    agent->send(FakeAgent::whole(id, 1));
    waitFor(running);
    BOOST_TEST(running->body == eventOf("a") + Done);
    runUntil([this] { return stopped; });
}

BOOST_AUTO_TEST_CASE(caller_readsTooSlowly_isCutAndCancelled)
{
    const auto answer = chat();
    const auto [agent, other] = whereDispatched();
    const wire::AttemptId id = dispatchAt(*agent).id;
    // All at once, so that the caller, who is on the same loop, cannot take any of it in between.
    agent->send(FakeAgent::chunk(id, 0, piece(std::string(12U << 20U, 'x'))));
    runUntil([agent = agent] { return !agent->received<wire::Cancel>().empty(); });
    waitFor(answer);
    BOOST_TEST(!answer->isWhole);
}

BOOST_AUTO_TEST_SUITE_END()
