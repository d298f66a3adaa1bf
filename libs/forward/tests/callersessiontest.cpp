#include "forwardfixture.h"
#include "http/timer.h"

#include <algorithm>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <utility>

namespace magnolia::forward
{

namespace
{

using namespace std::chrono_literals;

const std::string ShortRequest = "GET / HTTP/1.1\r\n\r\n"; // Leads to no route.
const std::string NotFound = "HTTP/1.1 404";

const std::string LargeBody(15U << 20U, 'x');
constexpr int ReceiveBytes = 32U << 10U; ///< So that the entry sees soon what its caller reads.
constexpr Duration IdleTimeout = 300ms; // As in the routes of the fixture.

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

std::string headOf(std::string_view firstLine, std::string_view fields)
{
    std::string head(firstLine);
    return head.append("\r\nHost: h\r\n").append(fields).append("\r\n");
}

std::string repeated(const std::string &text, std::size_t times)
{
    std::string all;
    for (std::size_t i = 0; i < times; ++i) {
        all += text;
    }
    return all;
}

struct CallerSessionFixture : ForwardFixture {
    CallerSessionFixture()
    {
        putRoutes();
    }

    /** Sends a request whose answer is larger than the sockets hold. The caller does not read yet. */
    RawCaller &addCallerOfLargeAnswer(std::string_view headers)
    {
        addEndpoint([](int) { return RawPeer::Answer{.bytes = wholeAnswer(200, "r1", LargeBody)}; });
        callers.push_back(std::make_unique<RawCaller>(loop.get(), task->callersAddress(), ReceiveBytes));
        RawCaller &caller = *callers.back();
        caller.send(request("repeatable", "GET", headers));
        caller.pauseReading();
        BOOST_REQUIRE(runUntil([this] { return valueOf("magnolia_forward_answers_total") == 1; }));
        return caller;
    }

    /** Lets the caller read a small part of the answer. */
    void readSome(RawCaller &caller)
    {
        constexpr std::size_t Enough = 256U << 10U;
        const std::size_t before = caller.received().size();
        caller.resumeReading();
        runUntil([&] { return caller.received().size() > before + Enough; }, IdleTimeout);
        caller.pauseReading();
    }

    bool isWhole(const RawCaller &caller) const
    {
        return caller.received().starts_with("HTTP/1.1 200") && caller.received().ends_with(LargeBody);
    }

    double openConnections() const
    {
        return valueOf("magnolia_forward_caller_connections");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerSessionTest, CallerSessionFixture)

// Guards against a stack that grows with the number of requests which wait on a connection and are answered at once.
BOOST_AUTO_TEST_CASE(requests_manyPipelinedBehindOne_allAreAnswered)
{
    constexpr std::size_t Pipelined = 8000;
    addEndpoint([](int) { return RawPeer::Answer{.later = {{.delay = 100ms, .bytes = wholeAnswer(200, "r1", "body")}}}; });
    RawCaller &caller = addCaller(request("repeatable") + repeated(ShortRequest, Pipelined));
    BOOST_TEST(runUntil([&] { return countOf(caller.received(), NotFound) == Pipelined; }));
    BOOST_TEST(caller.received().starts_with("HTTP/1.1 200"));
}

// Guards against one caller's backlog that keeps everybody else waiting until all of it is served.
BOOST_AUTO_TEST_CASE(requests_manyPipelinedBehindOne_othersHaveTheirTurn)
{
    constexpr std::size_t Pipelined = 1000; // Few enough for the backlog to hold them all.
    addEndpoint([](int) { return RawPeer::Answer{.later = {{.delay = 50ms, .bytes = wholeAnswer(200, "r1", "body")}}}; });
    RawCaller &caller = addCaller(request("repeatable") + repeated(ShortRequest, Pipelined));
    bool hadTurn = false;
    std::function<void()> look;
    http::Timer timer(loop.get(), [&look] { look(); });
    look = [&] {
        const double requests = valueOf("magnolia_forward_requests_total");
        hadTurn = hadTurn || (requests > 1 && requests <= Pipelined);
        timer.start(Duration(0));
    };
    look();
    BOOST_TEST(runUntil([&] { return countOf(caller.received(), NotFound) == Pipelined; }));
    BOOST_TEST(hadTurn);
}

// Guards against answers that pile up in memory for a caller that sends requests and reads nothing.
BOOST_AUTO_TEST_CASE(requests_pipelinedWithoutEnd_callerReadsNothing_noMoreAreStarted)
{
    constexpr std::size_t Batch = 1000;
    RawCaller &caller = addCaller("");
    caller.pauseReading();
    double before = -1;
    for (double now = 0; now > before;) {
        before = now;
        caller.send(repeated(ShortRequest, Batch));
        runFor(100ms);
        now = valueOf("magnolia_forward_requests_total");
        BOOST_REQUIRE(now < 1000 * Batch);
    }
    caller.resumeReading();
    runFor(100ms);
    BOOST_TEST(valueOf("magnolia_forward_requests_total") > before);
}

// Guards against sessions that stay in memory after their last answer, because the socket did not take it at once.
BOOST_AUTO_TEST_CASE(answer_takenSlowly_callerAskedToClose_sessionEnds)
{
    RawCaller &caller = addCallerOfLargeAnswer("Connection: close\r\n");
    BOOST_TEST(openConnections() == 1);
    caller.resumeReading();
    BOOST_TEST(runUntil([&] { return caller.isClosed(); }));
    BOOST_TEST(isWhole(caller));
    BOOST_TEST(openConnections() == 0);
}

// Guards against holding an answer for a caller that reads nothing.
BOOST_AUTO_TEST_CASE(answer_neverRead_sessionEndsAtABound)
{
    addCallerOfLargeAnswer("Connection: close\r\n");
    runFor(3 * IdleTimeout);
    BOOST_TEST(openConnections() == 0);
}

// Guards against cutting off an answer that its caller reads slowly, as if the connection were idle.
BOOST_AUTO_TEST_CASE(answer_takenForLongerThanTheIdleTimeout_isWhole)
{
    RawCaller &caller = addCallerOfLargeAnswer({});
    for (int pause = 0; pause < 10 && !isWhole(caller); ++pause) {
        runFor(IdleTimeout / 3);
        readSome(caller);
    }
    caller.resumeReading();
    BOOST_TEST(runUntil([&] { return isWhole(caller); }, 10 * IdleTimeout));
}

// Guards against a planned stop that cuts off answers which callers are still reading.
BOOST_AUTO_TEST_CASE(answer_takenSlowly_entryIsStopped_isWhole)
{
    RawCaller &caller = addCallerOfLargeAnswer("Connection: close\r\n");
    task->drain();
    const MonoTime closesIdle = MonoClock::now() + 3300ms; // When the entry has begun to close connections without work.
    while (MonoClock::now() < closesIdle) {
        runFor(IdleTimeout * 5 / 6);
        readSome(caller);
    }
    BOOST_TEST(!hasStopped);
    BOOST_TEST(!isWhole(caller));
    caller.resumeReading();
    BOOST_TEST(runUntil([&] { return caller.isClosed() || isWhole(caller); }));
    BOOST_TEST(isWhole(caller));
    BOOST_TEST(runUntil([&] { return hasStopped; }));
}

// Guards against running the body of a request as a request of its own, because two readers of its head disagree on its end.
BOOST_AUTO_TEST_CASE(request_endCannotBeTold_isRejectedAndNothingBehindItIsRead)
{
    addEndpoint([](int) { return RawPeer::Answer{.bytes = wholeAnswer(200, "r1", "body")}; });
    const std::string inner = request("at-most-once", "POST", "Content-Length: 0\r\n");
    const std::string length = "Content-Length: " + std::to_string(inner.size()) + "\r\n";
    const std::string chunkedWithLength = "Transfer-Encoding: chunked\r\n" + length;
    const std::string twoLengths = "Content-Length: 5\r\n" + length;
    const std::string line = "POST /at-most-once/x HTTP/1.1";
    const std::string begin = "POST /at-most-once/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n";
    for (const auto &[status, head] : std::initializer_list<std::pair<std::string, std::string>>{
             {"501", headOf("CONNECT h:80 HTTP/1.1", length)},
             {"501", headOf("CONNECT /at-most-once/x HTTP/1.1", length)},
             {"501", begin + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
             {"501", begin + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
             {"400", headOf(line, chunkedWithLength) + "0\r\n\r\n"},
             {"400", "POST /at-most-once/x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
             {"400", headOf(line, twoLengths) + "hello"},
             {"400", begin + "\rX"},
             {"400", begin + "Transfer-Encoding: chunked\r\n\r\n0\r\n\rX"},
         }) {
        RawCaller &caller = addCaller(head + inner);
        BOOST_TEST(runUntil([&] { return caller.isClosed(); }), head);
        BOOST_TEST(caller.received().starts_with("HTTP/1.1 " + status + " "), head << caller.received());
        BOOST_TEST(countOf(caller.received(), "HTTP/1.1 ") == 1U, head << caller.received());
        BOOST_TEST(attemptCount() == 0, head);
    }
}

// Guards against a sound request that is rejected by the checks of its framing.
BOOST_AUTO_TEST_CASE(request_asksForAnotherProtocol_isServedAndTheNextOneToo)
{
    addEndpoint([](int) { return RawPeer::Answer{.bytes = wholeAnswer(200, "r1", "body")}; });
    for (const std::string upgrade : {"Connection: Upgrade\r\nUpgrade: websocket\r\n", "Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 2\r\n"}) {
        const std::string body = upgrade.find("Length") == std::string::npos ? "" : "ok";
        RawCaller &caller = addCaller(request("repeatable", "POST", upgrade) + body + request("repeatable"));
        BOOST_TEST(runUntil([&] { return countOf(caller.received(), "HTTP/1.1 200") == 2; }), upgrade << caller.received());
    }
}

// Guards against a host that isn't recognised because of blanks behind it.
BOOST_AUTO_TEST_CASE(request_blanksBehindItsHost_isServed)
{
    addEndpoint([](int) { return RawPeer::Answer{.bytes = wholeAnswer(200, "r1", "body")}; });
    BOOST_TEST(answerTo("GET /repeatable/x HTTP/1.1\r\nHost: h \t\r\nX-Request-Id: r1\r\n\r\n", "body").starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
