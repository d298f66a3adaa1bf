#include "http/httpclient.h"

#include "http/httpserver.h"
#include "loopfixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnolia;
using namespace magnolia::http;

namespace
{

struct ClientFixture : LoopFixture {
    void serve(HttpServer::Handler handler, HttpServer::Options options = {.address = "127.0.0.1:0"})
    {
        server = HttpServer::listen(loop.get(), std::move(options), std::move(handler)).value();
        client = std::make_unique<HttpClient>(loop.get(), HttpClient::Options{.address = server->address()});
    }

    Result<Response> call(HttpClient::Request request)
    {
        std::optional<Result<Response>> answer;
        client->send(std::move(request), [&answer](Result<Response> response) { answer = std::move(response); });
        BOOST_REQUIRE(runUntil([&answer] { return answer.has_value(); }));
        return *answer;
    }

    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpClient> client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpClientTest, ClientFixture)

BOOST_AUTO_TEST_CASE(everyMethod_sent_isAnswered)
{
    serve([](const std::shared_ptr<Exchange> &exchange) {
        exchange->reply(200, {{"x-method", std::string(exchange->method())}, {"x-target", std::string(exchange->target())}}, exchange->body());
    });
    for (const char *method : {"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"}) {
        const std::string_view name = method;
        const bool takesBody = name == "POST" || name == "PUT" || name == "PATCH";
        const std::string body = takesBody ? "text" : "";
        const auto answer = call({.method = method, .path = "/a/b?c=d", .body = body});
        BOOST_TEST_REQUIRE(answer.has_value(), method);
        BOOST_TEST(answer->status == 200);
        BOOST_TEST(answer->headers.at("x-method") == method);
        BOOST_TEST(answer->headers.at("x-target") == "/a/b?c=d");
        BOOST_TEST(answer->body == body, method);
    }
}

BOOST_AUTO_TEST_CASE(streamedAnswer_read_comesPieceByPiece)
{
    std::shared_ptr<Exchange> open;
    serve([&open](const std::shared_ptr<Exchange> &exchange) {
        open = exchange;
        exchange->beginStream(200, {{"content-type", "text/event-stream"}});
        exchange->sendPiece("one ");
    });
    std::string got;
    int status = 0;
    std::optional<Result<void>> end;
    client->stream({.path = "/"},
                   {.onHeaders = [&status](int code, const Headers &) { status = code; },
                    .onData = [&got](std::string_view data) { got += data; },
                    .onEnd = [&end](Result<void> outcome) { end = std::move(outcome); }});
    BOOST_TEST(runUntil([&got] { return got == "one "; }));
    open->sendPiece("two");
    open->endStream();
    BOOST_TEST(runUntil([&end] { return end.has_value(); }));
    BOOST_TEST(end->has_value());
    BOOST_TEST(status == 200);
    BOOST_TEST(got == "one two");
    BOOST_TEST(server->openExchanges() == 0U);
}

BOOST_AUTO_TEST_CASE(closedPort_called_failsAsNotRun)
{
    client = std::make_unique<HttpClient>(loop.get(), HttpClient::Options{.address = "127.0.0.1:1"});
    const auto answer = call({.path = "/"});
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST((answer.error().verdict == Verdict::NotRun));
    BOOST_TEST((answer.error().code == ErrorCode::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()
