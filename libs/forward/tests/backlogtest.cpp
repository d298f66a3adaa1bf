#include "streamingfixture.h"

#include <algorithm>
#include <string>

namespace magnolia::forward
{

namespace
{

constexpr int Waiting = 12;

/** An endpoint whose group does not run at first, and streams that wait for it. */
struct BacklogFixture : StreamingFixture {
    BacklogFixture()
    {
        addEndpoint([this](int) {
            const std::string &request = endpoints.back()->lastRequest();
            const std::size_t at = request.find("X-Request-Id: ") + 14;
            const std::string id = request.substr(at, request.find('\r', at) - at);
            if (!isRunning) {
                return RawPeer::Answer{.bytes =
                                           "HTTP/1.1 503 X\r\nX-Request-Id: " + id + "\r\nX-Not-Run: 1\r\nX-At-Fault: 10.9.9.9:1\r\nContent-Length: 0\r\n\r\n"};
            }
            ++started;
            return RawPeer::Answer{.bytes = streamHead(id) + eventChunk(1)};
        });
        for (int request = 0; request < Waiting; ++request) {
            addCaller(streamRequest("r" + std::to_string(request)));
        }
        runFor(Duration(500));
    }

    bool isRunning = false;
    int started = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BacklogTest, BacklogFixture)

// Guards against the retry budget being used up on a group that is known not to run, because each waiting request probes it.
BOOST_AUTO_TEST_CASE(group_doesNotRun_isProbedByOneRequestAtATime)
{
    BOOST_TEST(attemptCount() <= 4); // One probe in 200 ms.
}

// Guards against all streams that waited for a group starting at once when it returns, which makes new streams late too.
BOOST_AUTO_TEST_CASE(group_returns_waitingStreamsStartOneByOne)
{
    isRunning = true;
    BOOST_REQUIRE(runUntil([this] { return started > 0; }));
    runFor(Duration(60));
    BOOST_TEST(started <= 2);
}

// Guards against callers being kept waiting for an answer that can't come in time any more, instead of being told when to come back.
BOOST_AUTO_TEST_CASE(group_returns_streamsWhoseTurnWouldComeTooLateAreRejectedAtOnce)
{
    isRunning = true;
    const auto rejected = [this] {
        return std::count_if(callers.begin(), callers.end(), [](const auto &caller) { return caller->received().starts_with("HTTP/1.1 503"); });
    };
    BOOST_REQUIRE(runUntil([this] { return started > 0; }));
    runFor(Duration(60));
    BOOST_TEST(rejected() >= Waiting / 2);
    BOOST_TEST(started + rejected() <= Waiting);
    runFor(Duration(1500));
    BOOST_TEST(started + rejected() == Waiting);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
