#include "forwardfixture.h"
#include "http/timer.h"

#include <algorithm>
#include <functional>
#include <string>

namespace magnolia::forward
{

namespace
{

using namespace std::chrono_literals;

const std::string ShortRequest = "GET / HTTP/1.1\r\n\r\n"; // Leads to no route.
const std::string NotFound = "HTTP/1.1 404";

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
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

    double valueOf(const std::string &metric) const
    {
        const std::string name = "\n" + metric + " ";
        const std::string text = metrics.render();
        const std::size_t at = text.find(name);
        BOOST_REQUIRE(at != std::string::npos);
        return std::stod(text.substr(at + name.size()));
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
