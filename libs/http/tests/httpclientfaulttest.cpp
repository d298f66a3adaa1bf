#include "http/httpclient.h"

#include "loopfixture.h"
#include "rawpeer.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

using namespace magnolia;
using namespace magnolia::http;

namespace
{

const std::string Whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::size_t MaxBodyBytes = 100000;

struct FaultFixture : LoopFixture {
    void script(RawPeer::Script answers, HttpClient::Options options = {})
    {
        peer = std::make_unique<RawPeer>(loop.get(), std::move(answers));
        options.address = peer->address();
        options.maxBodyBytes = MaxBodyBytes;
        client = std::make_unique<HttpClient>(loop.get(), options);
    }

    Result<Response> call(HttpClient::Request request)
    {
        std::optional<Result<Response>> answer;
        client->send(std::move(request), [&answer](Result<Response> response) { answer = std::move(response); });
        BOOST_REQUIRE(runUntil([&answer] { return answer.has_value(); }));
        return *answer;
    }

    Result<void> readStream(HttpClient::Request request)
    {
        std::optional<Result<void>> end;
        client->stream(std::move(request), {.onEnd = [&end](Result<void> outcome) { end = std::move(outcome); }});
        BOOST_REQUIRE(runUntil([&end] { return end.has_value(); }));
        return *end;
    }

    std::unique_ptr<RawPeer> peer;
    std::unique_ptr<HttpClient> client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpClientFaultTest, FaultFixture)

// Symptom: a booking is made twice though its caller sent it once. Sequence: the request is sent, the far end runs it,
// and the connection closes before the answer. Cause: an HTTP library that sends the request again by itself.
BOOST_AUTO_TEST_CASE(connectionClosed_underARequest_isNeverResent)
{
    for (const RawPeer::Then how : {RawPeer::Then::Close, RawPeer::Then::Reset}) {
        for (const char *method : {"GET", "POST", "PUT", "DELETE", "PATCH"}) {
            script([how](int /*number*/) { return RawPeer::Answer{.then = how}; });
            const auto answer = call({.method = method, .path = "/", .body = std::string_view(method) == "GET" ? "" : "b"});
            BOOST_REQUIRE(!answer.has_value());
            BOOST_TEST((answer.error().code == ErrorCode::ConnectionLost), method);
            BOOST_TEST((answer.error().verdict == Verdict::MayHaveRun), method);
            runFor(Duration{30});
            BOOST_TEST(peer->requests() == 1, method);
            BOOST_TEST(peer->connections() == 1, method);
        }
    }
}

// As above, with the connection kept alive from an earlier call: the far end reads the second request and closes.
BOOST_AUTO_TEST_CASE(keptAliveConnectionClosed_underARequest_isNeverResent)
{
    script([](int number) { return number == 1 ? RawPeer::Answer{.bytes = Whole} : RawPeer::Answer{.then = RawPeer::Then::Close}; });
    BOOST_REQUIRE(call({.path = "/"}).has_value());
    const auto answer = call({.method = "POST", .path = "/", .body = "b"});
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST((answer.error().verdict == Verdict::MayHaveRun));
    runFor(Duration{30});
    BOOST_TEST(peer->requests() == 2);
    BOOST_TEST(peer->connections() == 1);
}

// Symptom: calls fail as "may have run" though nobody received them. Sequence: the far end closes or resets a
// kept-alive connection while it is idle; the next call is sent on it before or after the loop has seen the close.
// Cause: nobody looks at an idle connection before using it again.
BOOST_AUTO_TEST_CASE(idleConnection_closedByTheFarEnd_isReplacedBeforeAnythingIsSent)
{
    for (const bool isReset : {false, true}) {
        for (const bool isSeenByTheLoop : {false, true}) {
            script([](int /*number*/) { return RawPeer::Answer{.bytes = Whole}; });
            BOOST_REQUIRE(call({.path = "/"}).has_value());
            if (isReset) {
                peer->resetAll();
            } else {
                peer->closeAll();
            }
            if (isSeenByTheLoop) {
                runFor(Duration{20});
            }
            const auto answer = call({.method = "POST", .path = "/", .body = "b"});
            BOOST_TEST(answer.has_value());
            BOOST_TEST(peer->requests() == 2);
            BOOST_TEST(peer->connections() == 2);
        }
    }
}

// Guards against a caller that gets bytes as an answer whose status is none, or is that of an interim answer.
BOOST_AUTO_TEST_CASE(answer_statusIsNone_isAFailure)
{
    for (const char *status : {"000", "001", "099", "101", "103", "199", "600", "999", "2000", "20", "-20", "2x0", "x", ""}) {
        for (const RawPeer::Then end : {RawPeer::Then::KeepOpen, RawPeer::Then::Close}) {
            const std::string bytes = "HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nok";
            script([&](int /*number*/) { return RawPeer::Answer{.bytes = bytes, .then = end}; });
            const auto answer = call({.path = "/", .timeout = Duration{300}});
            BOOST_TEST(!answer.has_value(), "status '" << status << "'");
            BOOST_TEST((answer || answer.error().verdict == Verdict::MayHaveRun), "status '" << status << "'");
            BOOST_TEST(!readStream({.path = "/", .timeout = Duration{300}}).has_value(), "status '" << status << "'");
        }
    }
}

// Guards against an answer that ends inside its head, and is taken for a whole one without a body.
BOOST_AUTO_TEST_CASE(answer_headIsCutAnywhere_isAFailure)
{
    for (const std::string head : {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
        for (std::size_t length = 0; length < head.size(); ++length) {
            for (const RawPeer::Then end : {RawPeer::Then::Close, RawPeer::Then::Reset}) {
                script([&](int /*number*/) { return RawPeer::Answer{.bytes = head.substr(0, length), .then = end}; });
                const auto answer = call({.path = "/"});
                BOOST_TEST(!answer.has_value(), "cut after " << length << " bytes of " << head);
                BOOST_TEST(!readStream({.path = "/"}).has_value(), "cut after " << length << " bytes of " << head);
            }
        }
    }
}

// Symptom: a caller gets the answer to somebody else's request. Sequence: a call times out, its connection goes back to
// the pool, and the late answer arrives there after the next request was sent. Cause: an abandoned connection reused.
BOOST_AUTO_TEST_CASE(lateAnswer_afterATimeout_reachesNobody)
{
    script([](int number) { return number == 1 ? RawPeer::Answer{} : RawPeer::Answer{.bytes = Whole}; });
    const auto first = call({.method = "POST", .path = "/", .body = "b", .timeout = Duration{30}});
    BOOST_REQUIRE(!first.has_value());
    BOOST_TEST((first.error().code == ErrorCode::DeadlineExceeded));
    BOOST_TEST((first.error().verdict == Verdict::MayHaveRun));
    peer->sendOnAll("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    const auto second = call({.path = "/"});
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->body == "ok");
    BOOST_TEST(peer->connections() == 2);
    BOOST_TEST(peer->open() == 1U);
}

// Symptom: after one timeout the next calls time out as well. Sequence: the path loses track of the open connections;
// one call times out, the next takes another idle connection that is just as dead. Cause: only one was closed.
BOOST_AUTO_TEST_CASE(idleSiblings_afterATimeout_areNotUsed)
{
    bool isDead = false;
    script([&isDead](int /*number*/) { return isDead ? RawPeer::Answer{} : RawPeer::Answer{.bytes = Whole}; });
    int answered = 0;
    for (int i = 0; i < 3; ++i) {
        client->send({.path = "/"}, [&answered](const Result<Response> &response) { answered += response.has_value() ? 1 : 0; });
    }
    BOOST_REQUIRE(runUntil([&answered] { return answered == 3; }));
    BOOST_TEST(peer->connections() == 3);
    isDead = true;
    BOOST_TEST(!call({.path = "/", .timeout = Duration{30}}).has_value());
    isDead = false;
    BOOST_TEST(call({.path = "/"}).has_value());
    BOOST_TEST(peer->connections() == 4);
}

// Symptom: half an answer is taken for the whole. Sequence: the far end dies within its answer. Cause: the end of a
// connection is taken for the end of the body; or a length that nobody compares.
BOOST_AUTO_TEST_CASE(brokenAnswer_read_isAFailureNeverAnAnswer)
{
    struct Case {
        std::string name;
        std::string bytes;
        ErrorCode code;
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string longHeader(200000, 'h');
    const std::array<Case, 16> cases = {{
        {"nothing", "", ErrorCode::ConnectionLost},
        {"cut in the status line", "HTTP/1.1 20", ErrorCode::ConnectionLost},
        {"cut in the headers", "HTTP/1.1 200 OK\r\nContent-Le", ErrorCode::ConnectionLost},
        {"cut in a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", ErrorCode::ConnectionLost},
        {"cut before the first chunk", chunked, ErrorCode::ConnectionLost},
        {"cut within a chunk", chunked + "a\r\nhalf", ErrorCode::ConnectionLost},
        {"cut between two chunks", chunked + "4\r\nhalf\r\n", ErrorCode::ConnectionLost},
        {"cut within a chunk's size", chunked + "4\r\nhalf\r\n1", ErrorCode::ConnectionLost},
        {"cut before the last line", chunked + "4\r\nhalf\r\n0\r\n", ErrorCode::ConnectionLost},
        {"no length at all", "HTTP/1.1 200 OK\r\n\r\nsome", ErrorCode::ProtocolError},
        {"not HTTP", "220 mail.example ESMTP\r\n\r\n", ErrorCode::ProtocolError},
        {"chunk size that is no number", chunked + "zz\r\nhalf\r\n", ErrorCode::ProtocolError},
        {"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nhalf", ErrorCode::ProtocolError},
        {"length over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\nhalf", ErrorCode::TooLarge},
        {"chunk over the limit", chunked + "fffffff\r\nhalf", ErrorCode::ProtocolError},
        {"headers over the limit", "HTTP/1.1 200 OK\r\nX-Long: " + longHeader + "\r\nContent-Length: 0\r\n\r\n", ErrorCode::ProtocolError},
    }};
    for (const Case &broken : cases) {
        script([&broken](int /*number*/) { return RawPeer::Answer{.bytes = broken.bytes, .then = RawPeer::Then::Close}; });
        const auto answer = call({.path = "/"});
        BOOST_REQUIRE_MESSAGE(!answer.has_value(), broken.name);
        BOOST_TEST((answer.error().code == broken.code), broken.name << ": " << answer.error().code.message());
        BOOST_TEST((answer.error().verdict == Verdict::MayHaveRun), broken.name);
        const auto end = readStream({.path = "/"});
        BOOST_REQUIRE_MESSAGE(!end.has_value(), broken.name);
        BOOST_TEST((end.error().verdict == Verdict::MayHaveRun), broken.name);
        // The process goes on, and so does the client.
        BOOST_TEST(peer->requests() == 2, broken.name);
    }
}

// Symptom: a stream hangs for ever. Sequence: pieces come, then the connection goes silent without closing.
BOOST_AUTO_TEST_CASE(streamFallenSilent_read_endsAsConnectionLost)
{
    script([](int /*number*/) { return RawPeer::Answer{.bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"}; });
    const auto end = readStream({.path = "/", .silenceTimeout = Duration{30}});
    BOOST_REQUIRE(!end.has_value());
    BOOST_TEST((end.error().code == ErrorCode::ConnectionLost));
    BOOST_TEST(runUntil([this] { return peer->open() == 0; }));
}

BOOST_AUTO_TEST_CASE(waitingCall_timedOut_isNotRun)
{
    script([](int /*number*/) { return RawPeer::Answer{}; }, {.maxConnections = 1});
    client->send({.path = "/"}, [](const Result<Response> &) {});
    const auto answer = call({.method = "POST", .path = "/", .body = "b", .timeout = Duration{30}});
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST((answer.error().verdict == Verdict::NotRun));
    BOOST_TEST(peer->requests() == 1);
}

BOOST_AUTO_TEST_CASE(requestThatCannotBeSent_called_failsAsNotRun)
{
    const std::array<HttpClient::Request, 5> bad = {{
        {.method = "BREW", .path = "/"},
        {.path = "no-slash"},
        {.path = "/a b"},
        {.path = "/a\r\nX-Injected: 1"},
        {.path = "/", .headers = {{"x-injected", "1\r\nX-More: 2"}}},
    }};
    for (const HttpClient::Request &request : bad) {
        script([](int /*number*/) { return RawPeer::Answer{.bytes = Whole}; });
        const auto answer = call(request);
        BOOST_REQUIRE(!answer.has_value());
        BOOST_TEST((answer.error().code == ErrorCode::BadInput));
        BOOST_TEST((answer.error().verdict == Verdict::NotRun));
        BOOST_TEST(peer->requests() == 0);
    }
}

BOOST_AUTO_TEST_CASE(framingHeaders_passedOn_areLeftOut)
{
    script([](int /*number*/) { return RawPeer::Answer{.bytes = Whole}; });
    const Headers contradicting = {{"content-length", "99"}, {"transfer-encoding", "chunked"}, {"connection", "close"}};
    BOOST_TEST(call({.method = "POST", .path = "/", .headers = contradicting, .body = "b"}).has_value());
    BOOST_TEST(call({.path = "/"}).has_value());
    BOOST_TEST(peer->connections() == 1);
}

BOOST_AUTO_TEST_CASE(client_destroyedInItsOwnCallbacks_isSafe)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n";
    for (const std::string where : {"headers", "data", "end"}) {
        script([&answer](int /*number*/) { return RawPeer::Answer{.bytes = answer}; });
        int calls = 0;
        const auto destroy = [&](const std::string &here) {
            if (here == where) {
                ++calls;
                client.reset();
            }
        };
        client->stream({.path = "/"},
                       {.onHeaders = [&destroy](int, const Headers &) { destroy("headers"); },
                        .onData = [&destroy](std::string_view) { destroy("data"); },
                        .onEnd = [&destroy](const Result<void> &) { destroy("end"); }});
        BOOST_TEST(runUntil([this] { return client == nullptr; }));
        runFor(Duration{20});
        BOOST_TEST(calls == 1, where);
        BOOST_TEST(peer->open() == 0U, where);
    }
}

BOOST_AUTO_TEST_CASE(call_cancelledInItsOwnCallback_closesItsConnection)
{
    script([](int /*number*/) { return RawPeer::Answer{.bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"}; });
    bool isEnded = false;
    int pieces = 0;
    HttpClient::CallId id = 0;
    id = client->stream({.path = "/"},
                        {.onData =
                             [&](std::string_view) {
                                 ++pieces;
                                 client->cancel(id);
                             },
                         .onEnd = [&isEnded](const Result<void> &) { isEnded = true; }});
    BOOST_TEST(runUntil([&pieces, this] { return pieces == 1 && peer->open() == 0; }));
    BOOST_TEST(!isEnded);
}

BOOST_AUTO_TEST_SUITE_END()
