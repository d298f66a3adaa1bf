#include "entry/completion.h"
#include "entry/erroranswer.h"
#include "entry/stopsequence.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <vector>

using namespace magnolia;
using namespace magnolia::entry;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(AnswerTest)

BOOST_AUTO_TEST_CASE(error_ofEachCode_hasTheStatusOfTheInterfacePage)
{
    struct Row {
        ErrorCode code;
        Verdict verdict;
        int status;
        bool isRetriable;
    };
    const std::vector<Row> rows{
        {ErrorCode::BadInput, Verdict::NotRun, 400, false},
        {ErrorCode::Unauthorised, Verdict::NotRun, 401, false},
        {ErrorCode::Forbidden, Verdict::NotRun, 403, false},
        {ErrorCode::NotFound, Verdict::NotRun, 404, false},
        {ErrorCode::Conflict, Verdict::MayHaveRun, 409, false},
        {ErrorCode::Conflict, Verdict::NotRun, 422, false},
        {ErrorCode::TooLarge, Verdict::NotRun, 413, false},
        {ErrorCode::RateLimited, Verdict::NotRun, 429, true},
        {ErrorCode::Overloaded, Verdict::NotRun, 429, true},
        {ErrorCode::EndpointError, Verdict::Ran, 502, false},
        {ErrorCode::ConnectionLost, Verdict::MayHaveRun, 502, true},
        {ErrorCode::Unavailable, Verdict::NotRun, 503, true},
        {ErrorCode::Leaving, Verdict::NotRun, 503, true},
        {ErrorCode::DeadlineExceeded, Verdict::MayHaveRun, 504, false},
        {ErrorCode::Internal, Verdict::MayHaveRun, 500, false},
    };
    const RequestId id{.high = 1, .low = 2};
    for (const Row &row : rows) {
        BOOST_TEST_CONTEXT(make_error_code(row.code).message())
        {
            const HttpAnswer answer = errorAnswer({.code = row.code, .verdict = row.verdict, .detail = "caf\xe9", .retryAfter = {}}, id);
            const auto error = nlohmann::json::parse(answer.body).at("error");
            BOOST_TEST(answer.status == row.status);
            BOOST_TEST(answer.headers.contains("retry-after") == row.isRetriable);
            BOOST_TEST(answer.headers.at("x-verdict") == toString(row.verdict));
            BOOST_TEST(error.at("code") == make_error_code(row.code).message());
            BOOST_TEST(error.at("request_id") == id.toString());
            BOOST_TEST((errorCodeNamed(make_error_code(row.code).message()) == row.code));
        }
    }
}

BOOST_AUTO_TEST_CASE(retryAfter_fractionOfASecond_isRoundedUp)
{
    const HttpAnswer answer = errorAnswer({.code = ErrorCode::Overloaded, .verdict = Verdict::NotRun, .detail = "", .retryAfter = 1001ms}, RequestId{});
    BOOST_TEST(answer.headers.at("retry-after") == "2");
    BOOST_TEST(nlohmann::json::parse(answer.body).at("error").at("retry_after_ms") == 1001);
}

BOOST_AUTO_TEST_CASE(completion_pieces_arePutTogether)
{
    Completion completion;
    BOOST_TEST(completion.add(R"({"id":"c1","object":"chat.completion.chunk","created":5,"model":"m","choices":[{"index":0,"delta":{"role":"assistant"}}]})"));
    BOOST_TEST(completion.add(R"({"choices":[{"index":0,"delta":{"content":"tor"}}]})"));
    BOOST_TEST(completion.add(
        R"({"choices":[{"index":0,"delta":{"content":"que","tool_calls":[{"index":0,"id":"t","function":{"name":"f","arguments":"{\"a"}}]}}]})"));
    BOOST_TEST(completion.add(R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"\":1}"}}]},"finish_reason":"stop"}]})"));
    BOOST_TEST(completion.add(R"({"choices":[],"usage":{"total_tokens":9}})"));
    const auto whole = nlohmann::json::parse(completion.toJson());
    BOOST_TEST(whole.at("object") == "chat.completion");
    BOOST_TEST(whole.at("id") == "c1");
    const auto &choice = whole.at("choices").at(0);
    BOOST_TEST(choice.at("message").at("content") == "torque");
    BOOST_TEST(choice.at("message").at("tool_calls").at(0).at("function").at("arguments") == R"({"a":1})");
    BOOST_TEST(choice.at("finish_reason") == "stop");
    BOOST_TEST(whole.at("usage").at("total_tokens") == 9);
}

BOOST_AUTO_TEST_CASE(completion_oddPieces_areRefusedWithoutHarm)
{
    Completion completion;
    for (const char *piece : {"", "x", "[]", R"({"choices":7})", R"({"choices":[7]})"}) {
        BOOST_TEST(!completion.add(piece));
    }
    // Types that change from piece to piece.
    BOOST_TEST(completion.add(R"({"choices":[{"delta":{"x":"a","content":{"b":1}}}]})"));
    BOOST_TEST(completion.add(R"({"choices":[{"delta":{"x":{"c":[1,{"index":"q"}]},"content":"t","tool_calls":{"d":2}}}]})"));
    BOOST_TEST(completion.add(R"({"choices":[{"delta":{"x":[{}],"content":[],"tool_calls":[{"index":0}]}}]})"));
    BOOST_TEST(nlohmann::json::accept(completion.toJson()));
}

BOOST_AUTO_TEST_CASE(stop_inItsPhases_takesThenRefusesThenEnds)
{
    StopSequence stop(3000ms);
    const MonoTime begin = MonoTime{} + 1h;
    BOOST_TEST((stop.phase(begin) == StopSequence::Phase::Serving));
    BOOST_TEST(!stop.mayEnd(begin, 0));
    stop.begin(begin);
    BOOST_TEST((stop.phase(begin) == StopSequence::Phase::Lagging));
    BOOST_TEST(!stop.mayEnd(begin + 2999ms, 0));
    stop.begin(begin + 2s); // A second signal changes nothing.
    BOOST_TEST((stop.phase(begin + 3s) == StopSequence::Phase::Refusing));
    BOOST_TEST(!stop.mayEnd(begin + 1h, 1));
    BOOST_TEST(stop.mayEnd(begin + 3s, 0));
}

BOOST_AUTO_TEST_SUITE_END()
