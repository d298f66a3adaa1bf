#include "deployment.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::path;

namespace
{

struct StatusCase {
    std::string name;
    CallerRequest request;
    int status;
    std::string code;
    std::string verdict;
};

CallerRequest booking(const std::string &idempotencyKey, const std::string &body)
{
    CallerRequest request;
    request.path = "/services/bookings/slots";
    request.key = PayingKey;
    request.body = body;
    if (!idempotencyKey.empty()) {
        request.headers["idempotency-key"] = idempotencyKey;
    }
    return request;
}

CallerRequest withBody(CallerRequest request, std::string body)
{
    request.body = std::move(body);
    return request;
}

CallerRequest withHeader(CallerRequest request, const std::string &name, const std::string &value)
{
    request.headers[name] = value;
    return request;
}

CallerRequest withKey(CallerRequest request, std::string_view key)
{
    request.key = key;
    return request;
}

CallerRequest withPath(CallerRequest request, const std::string &path)
{
    request.path = path;
    return request;
}

std::vector<StatusCase> refusals()
{
    const CallerRequest chat = chatRequest(PayingKey, "guide", "status", false);
    return {
        {"no key", chatRequest("", "guide", "status", false), 401, "unauthorised", "not-run"},
        {"unknown key", chatRequest("nobody's key", "guide", "status", true), 401, "unauthorised", "not-run"},
        {"model of others", chatRequest(PayingKey, "ledger", "status", false), 403, "forbidden", "not-run"},
        {"adapter of others", chatRequest(TrialKey, "guide/labels", "status", false), 403, "forbidden", "not-run"},
        {"service of others", withKey(booking("status-1", "x"), TrialKey), 403, "forbidden", "not-run"},
        {"unknown model", chatRequest(PayingKey, "oracle", "status", true), 404, "not_found", "not-run"},
        {"unknown adapter", chatRequest(PayingKey, "guide/none", "status", false), 404, "not_found", "not-run"},
        {"unknown service", withPath(booking("status-2", "x"), "/services/none/slots"), 404, "not_found", "not-run"},
        {"unknown path", withPath(chat, "/v2/elsewhere"), 404, "not_found", "not-run"},
        {"body that is not JSON", withBody(chat, "{\"model\":"), 400, "bad_input", "not-run"},
        {"body without a model", withBody(chat, "{\"messages\":[]}"), 400, "bad_input", "not-run"},
        {"booking without Idempotency-Key", booking("", "x"), 400, "bad_input", "not-run"},
        {"timeout out of range", withHeader(chat, "x-request-timeout-ms", "7"), 400, "bad_input", "not-run"},
        {"body over the limit", withBody(chat, std::string(70U << 10U, 'x')), 413, "too_large", "not-run"},
        {"headers over the limit", withHeader(chat, "x-filler", std::string(20U << 10U, 'x')), 431, "too_large", "not-run"},
    };
}

struct StatusFixture {
    StatusFixture()
    {
        deployment.start();
    }

    Call call(const CallerRequest &request)
    {
        return deployment.caller.call(deployment.entry(0).work.address(), request);
    }

    void setBookingFaults(const Json &faults)
    {
        BOOST_REQUIRE(deployment.caller.post(deployment.booking().work.address(), "/test/faults", faults).status == 200);
    }

    Deployment deployment{{.entries = 1, .engines = 1}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StatusPath, StatusFixture)

BOOST_AUTO_TEST_CASE(refusedRequest_ofEachKind_hasItsStatusCodeAndVerdictAndNeverRan)
{
    for (const StatusCase &refusal : refusals()) {
        BOOST_TEST_CONTEXT(refusal.name)
        {
            const Call answer = call(refusal.request);
            BOOST_TEST(answer.status == refusal.status);
            BOOST_TEST(answer.error("code") == refusal.code);
            BOOST_TEST(answer.error("verdict") == refusal.verdict);
            BOOST_TEST(answer.header("x-verdict") == refusal.verdict);
            BOOST_TEST(answer.error("request_id") == answer.header("x-request-id"));
        }
    }
    BOOST_TEST(deployment.runs("status", "begun") == 0);
    BOOST_TEST(deployment.runs("status-1", "begun") == 0);
    BOOST_TEST(deployment.runs("status-2", "begun") == 0);
    // The entry still serves after all of them.
    BOOST_TEST(call(chatRequest(PayingKey, "guide", "after", true)).status == 200);
}

BOOST_AUTO_TEST_CASE(idempotencyKey_usedWithAnotherBody_isRefusedAsConflict)
{
    BOOST_TEST(call(booking("key-1", "slot 9")).status == 200);
    const Call second = call(booking("key-1", "slot 10"));
    BOOST_TEST(second.status == 422);
    BOOST_TEST(second.error("code") == "conflict");
    BOOST_TEST(second.error("verdict") == "not-run");
    BOOST_TEST(deployment.runs("key-1", "begun") == 1);
}

BOOST_AUTO_TEST_CASE(idempotencyKey_whoseCallIsStillRunning_isAnsweredAsMayHaveRun)
{
    setBookingFaults({{"delay_ms", 1500}});
    const CallPtr first = deployment.caller.start(deployment.entry(0).work.address(), booking("key-2", "slot 9"));
    deployment.loop.runFor(Duration{400});
    const Call second = call(booking("key-2", "slot 9"));
    BOOST_TEST(second.status == 409);
    BOOST_TEST(second.error("code") == "conflict");
    BOOST_TEST(second.error("verdict") == "may-have-run");
    BOOST_REQUIRE(deployment.loop.runUntil([&first] { return first->isEnded; }));
    BOOST_TEST(first->status == 200);
    BOOST_TEST(deployment.runs("key-2", "begun") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
