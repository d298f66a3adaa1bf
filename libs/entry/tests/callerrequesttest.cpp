#include "entry/callerrequest.h"

#include "samplemanifest.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::entry;
using namespace magnolia::entry::tests;
using namespace std::chrono_literals;

namespace
{

constexpr const char *ChatBody = R"({"model":"guide","messages":[{"role":"user","content":"torque"}]})";

struct Fixture {
    Result<CallerRequest> parse(const std::string &method, const std::string &target, const std::string &body = {}, const http::Headers &extra = {}) const
    {
        http::Headers headers = extra;
        headers.emplace("authorization", "Bearer " + PayingKey);
        const std::string path = target.substr(0, target.find('?'));
        return parseCallerRequest({.method = method, .path = path, .target = target, .headers = headers, .body = body}, index, {});
    }

    std::string codeOf(const Result<CallerRequest> &result) const
    {
        if (result) {
            return "ok";
        }
        BOOST_TEST((result.error().verdict == Verdict::NotRun));
        return result.error().code.message();
    }

    manifest::ManifestIndex::Pointer index = manifest::ManifestIndex::build(sampleManifest());
};

std::string chat(const std::string &model, const std::string &fields = {})
{
    return R"({"model":")" + model + R"(","messages":[{"role":"user","content":"torque"}])" + fields + "}";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerRequestTest, Fixture)

BOOST_AUTO_TEST_CASE(chat_plain_isTakenWithItsDefaults)
{
    const auto request = parse("POST", "/v1/chat/completions", ChatBody);
    BOOST_REQUIRE(request);
    BOOST_TEST(request->model == "guide");
    BOOST_TEST(request->organisation->name == "crew");
    BOOST_TEST(!request->stream);
    BOOST_TEST(request->idempotent);
    BOOST_TEST((request->timeout == 60000ms));
    const wire::Dispatch dispatch = dispatchOf(*request, {.request = {.high = 0, .low = 1}, .attempt = 1}, 4);
    BOOST_TEST(dispatch.body == ChatBody);
    BOOST_TEST((dispatch.priorityClass == wire::PriorityClass::Paying));
    BOOST_TEST(dispatch.resumeAfter == 4U);
    BOOST_TEST(dispatch.manifestVersion == 7U);
    BOOST_TEST(!dispatch.headers.contains("authorization"));
}

BOOST_AUTO_TEST_CASE(model_ofEachKind_isToldApart)
{
    struct Row {
        const char *model;
        const char *code;
    };
    const std::vector<Row> rows{
        {"guide", "ok"},
        {"guide@3", "ok"},
        {"guide/labels", "ok"},
        {"guide/labels@5", "ok"},
        {"guide/caps", "forbidden"},
        {"guide/nothing", "not_found"},
        {"guide@99", "not_found"},
        {"secret", "forbidden"},
        {"nothing", "not_found"},
        {"", "bad_input"},
        {"guide/", "bad_input"},
        {"guide@", "bad_input"},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.model)
        {
            BOOST_TEST(codeOf(parse("POST", "/v1/chat/completions", chat(row.model))) == row.code);
        }
    }
}

BOOST_AUTO_TEST_CASE(key_absentOrWrong_isUnauthorised)
{
    for (const char *authorization : {"", "Bearer", "Bearer ", "Basic cGF5", "Bearer wrong", "paying-key", "Bearer paying-key "}) {
        BOOST_TEST_CONTEXT(authorization)
        {
            BOOST_TEST(codeOf(parse("POST", "/v1/chat/completions", ChatBody, {{"authorization", authorization}})) == "unauthorised");
        }
    }
    BOOST_TEST(codeOf(parse("POST", "/v1/chat/completions", ChatBody, {{"authorization", "bearer paying-key"}})) == "ok");
}

BOOST_AUTO_TEST_CASE(chatBody_malformed_isBadInput)
{
    const std::string deep = chat("guide", R"(,"x":)" + std::string(100, '[') + std::string(100, ']'));
    const std::vector<std::string> bodies{
        "",
        "{",
        "[]",
        "null",
        R"({"model":"guide"})",
        R"({"model":7,"messages":[{"role":"user","content":"x"}]})",
        R"({"model":"guide","messages":[]})",
        R"({"model":"guide","messages":["x"]})",
        R"({"model":"guide","messages":[{"role":"ghost","content":"x"}]})",
        R"({"model":"guide","messages":[{"role":"user","content":7}]})",
        chat("guide", R"(,"stream":"yes")"),
        chat("guide", R"(,"max_tokens":0)"),
        chat("guide", R"(,"max_tokens":-1)"),
        chat("guide", R"(,"n":2)"),
        chat("guide", R"(,"priority":0)"),
        chat("guide", R"(,"resume_after":3)"),
        "{\"model\":\"guide\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\"}]}",
        deep,
    };
    for (const std::string &body : bodies) {
        BOOST_TEST_CONTEXT(body)
        {
            BOOST_TEST(codeOf(parse("POST", "/v1/chat/completions", body)) == "bad_input");
        }
    }
}

BOOST_AUTO_TEST_CASE(path_ofEachKind_isToldApart)
{
    struct Row {
        const char *method;
        const char *target;
        const char *code;
    };
    const std::vector<Row> rows{
        {"GET", "/v1/models", "ok"},
        {"POST", "/v1/models", "bad_input"},
        {"GET", "/v1/chat/completions", "bad_input"},
        {"GET", "/", "not_found"},
        {"GET", "/services", "not_found"},
        {"GET", "/services/", "not_found"},
        {"GET", "/services/ghost/x", "not_found"},
        {"GET", "/services/lookup/x", "ok"},
        {"GET", "/services/booking/x", "ok"},
        {"POST", "/services/booking/x", "bad_input"},
    };
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(row.method << ' ' << row.target)
        {
            BOOST_TEST(codeOf(parse(row.method, row.target)) == row.code);
        }
    }
}

BOOST_AUTO_TEST_CASE(service_call_passesOnPathQueryAndHeadersButNoKey)
{
    const auto request = parse("POST", "/services/booking/slots/4?day=2", "{}", {{"idempotency-key", "k 1"}, {"x-crew", "7"}, {"connection", "close"}});
    BOOST_REQUIRE(request);
    BOOST_TEST(request->path == "/slots/4?day=2");
    BOOST_TEST(!request->idempotent);
    BOOST_TEST(request->idempotencyKey == "k 1");
    BOOST_TEST((request->timeout == 30000ms));
    BOOST_TEST((request->headers == http::Headers{{"idempotency-key", "k 1"}, {"x-crew", "7"}}));
    BOOST_TEST(parse("GET", "/services/lookup?q=1")->path == "/?q=1");
    BOOST_TEST(parse("GET", "/services/lookup")->path == "/");
}

BOOST_AUTO_TEST_CASE(idempotencyKey_outsideItsGrammar_isBadInput)
{
    for (const std::string &key : {std::string(), std::string(129, 'a'), std::string("caf\xc3\xa9"), std::string("a\tb")}) {
        BOOST_TEST(codeOf(parse("POST", "/services/booking/x", "{}", {{"idempotency-key", key}})) == "bad_input");
    }
    BOOST_TEST(codeOf(parse("POST", "/services/booking/x", "{}", {{"idempotency-key", std::string(128, 'a')}})) == "ok");
}

BOOST_AUTO_TEST_CASE(timeout_outsideItsRange_isBadInput)
{
    for (const char *text : {"", "99", "600001", "-5", "1e3", "1000ms", "99999999999999999999"}) {
        BOOST_TEST(codeOf(parse("POST", "/v1/chat/completions", ChatBody, {{"x-request-timeout-ms", text}})) == "bad_input");
    }
    BOOST_TEST((parse("POST", "/v1/chat/completions", ChatBody, {{"x-request-timeout-ms", "100"}})->timeout == 100ms));
}

BOOST_AUTO_TEST_CASE(manifest_noneYet_isUnavailable)
{
    index = nullptr;
    BOOST_TEST(codeOf(parse("GET", "/v1/models")) == "unavailable");
}

BOOST_AUTO_TEST_SUITE_END()
