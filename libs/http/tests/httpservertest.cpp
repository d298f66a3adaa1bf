#include "http/httpserver.h"

#include "loopfixture.h"

#include <boost/test/unit_test.hpp>

using namespace magnolia;
using namespace magnolia::http;

BOOST_FIXTURE_TEST_SUITE(HttpServerTest, LoopFixture)

BOOST_AUTO_TEST_CASE(hostName_listenedOn_isRefused)
{
    const auto server = HttpServer::listen(loop.get(), {.address = "localhost:80"}, [](const std::shared_ptr<Exchange> &) {});
    BOOST_REQUIRE(!server.has_value());
    BOOST_TEST((server.error().code == ErrorCode::BadInput));
}

// Symptom: an engine goes on computing for a caller who has left. Sequence: a request is with its handler, and the
// caller hangs up before anything is written. Cause: evhttp reads nothing while a request is worked on.
BOOST_AUTO_TEST_CASE(callerThatHangsUp_whileHandled_isReported)
{
    std::shared_ptr<Exchange> open;
    bool isHungUp = false;
    const auto server = HttpServer::listen(loop.get(), {.address = "127.0.0.1:0"}, [&](const std::shared_ptr<Exchange> &exchange) {
                            open = exchange;
                            exchange->onHangup([&isHungUp] { isHungUp = true; });
                        }).value();
    HttpClient client(loop.get(), {.address = server->address()});
    const auto id = client.send({.method = "POST", .path = "/", .body = "work"}, [](const Result<Response> &) {});
    BOOST_REQUIRE(runUntil([&open] { return open != nullptr; }));
    client.cancel(id);
    BOOST_TEST(runUntil([&isHungUp] { return isHungUp; }));
    BOOST_TEST(server->openExchanges() == 0U);
    open->reply(200, {}, "too late");
}

BOOST_AUTO_TEST_SUITE_END()
