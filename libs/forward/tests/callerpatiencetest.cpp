#include "streamingfixture.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnolia::forward
{

namespace
{

/** Adds callers that close their connection once they have received nothing for CallerPatience. */
struct CallerPatienceFixture : StreamingFixture {
    struct ImpatientCaller {
        RawCaller *caller = nullptr;
        std::size_t receivedSize = 0;
        MonoTime lastReceivedAt{};
        bool hasGivenUp = false; ///< Closed its connection before the answer ended.
    };

    void addImpatientCaller(std::string_view id)
    {
        RawCaller &caller = addCaller(streamRequest(id));
        impatientCallers.push_back({.caller = &caller, .lastReceivedAt = MonoClock::now()});
    }

    /** Connects, sends and closes before the entry's loop runs. */
    void sendAndClose(std::string_view bytes) const
    {
        const http::SocketAddress target = http::SocketAddress::parse(task->callersAddress()).value();
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        BOOST_REQUIRE(::connect(fd, target.get(), target.length) == 0);
        BOOST_REQUIRE(::send(fd, bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
        ::close(fd);
    }

    static bool hasEnded(const ImpatientCaller &impatient)
    {
        return impatient.hasGivenUp || impatient.caller->isClosed() || impatient.caller->received().starts_with("HTTP/1.1 5");
    }

    /** Like runStreams(), with callers that give up when their patience ends. */
    void runStreamsAndCallers(Duration time)
    {
        constexpr Duration UpdateInterval{20};
        for (Duration elapsed{0}; elapsed < time; elapsed += UpdateInterval) {
            runFor(UpdateInterval);
            if (elapsed % EventInterval == Duration(0)) {
                emitEvents();
            }
            std::for_each(impatientCallers.begin(), impatientCallers.end(), &CallerPatienceFixture::updateCaller);
        }
    }

    static void updateCaller(ImpatientCaller &impatient)
    {
        if (hasEnded(impatient)) {
            return;
        }
        if (impatient.caller->received().size() != impatient.receivedSize) {
            impatient.receivedSize = impatient.caller->received().size();
            impatient.lastReceivedAt = MonoClock::now();
        } else if (MonoClock::now() - impatient.lastReceivedAt >= CallerPatience) {
            impatient.hasGivenUp = true;
            impatient.caller->close();
        }
    }

    auto countGivenUp() const
    {
        return std::count_if(impatientCallers.begin(), impatientCallers.end(), [](const ImpatientCaller &impatient) { return impatient.hasGivenUp; });
    }

    std::vector<ImpatientCaller> impatientCallers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerPatienceTest, CallerPatienceFixture)

// Guards against streams waiting at an endpoint until their callers give up without an answer.
BOOST_AUTO_TEST_CASE(stream_doesNotStart_isAnsweredBeforeItsCallerGivesUp)
{
    addStreamingEndpoint();
    addCaller(streamRequest("r1"));
    runStreams(3 * EventInterval);
    streamingEndpoints[0]->isAtCapacity = true;
    addImpatientCaller("r2");
    runStreamsAndCallers(CallerPatience + EventInterval);
    BOOST_TEST(countGivenUp() == 0);
    BOOST_TEST(impatientCallers[0].caller->received().starts_with("HTTP/1.1 504"));
}

// Guards against started streams staying at an unreachable endpoint until their callers give up: callers can only resume a stream that was cut.
BOOST_AUTO_TEST_CASE(startedStream_onlyEndpointBecomesUnresponsive_isCutBeforeItsCallerGivesUp)
{
    addStreamingEndpoint();
    addImpatientCaller("r1");
    runStreamsAndCallers(5 * EventInterval);
    BOOST_REQUIRE(impatientCallers[0].receivedSize > 0);
    streamingEndpoints[0]->isUnresponsive = true;
    runStreamsAndCallers(CallerPatience + EventInterval);
    BOOST_TEST(countGivenUp() == 0);
    BOOST_TEST(impatientCallers[0].caller->isClosed());
}

// Guards against an error being held back until the caller is about to give up, though the request can be sent to no other endpoint.
BOOST_AUTO_TEST_CASE(stream_mayNotMoveFromAnUnresponsiveEndpoint_isAnsweredAtOnce)
{
    putStreamRoute(2, 1);
    startStreamsAtTwoEndpoints();
    streamingEndpoints[0]->isAtCapacity = true;
    streamingEndpoints[1]->isAtCapacity = true;
    addImpatientCaller("r3");
    addImpatientCaller("r4"); // Each endpoint now has a stream waiting to start, so that neither is sent another.
    runStreams(EventInterval);
    BOOST_REQUIRE(streamRequestsAt(0) == 2);
    BOOST_REQUIRE(streamRequestsAt(1) == 2);
    streamingEndpoints[0]->isUnresponsive = true;
    runStreams(CallerPatience / 2);
    const auto answered = std::count_if(impatientCallers.begin(), impatientCallers.end(), [](const ImpatientCaller &impatient) {
        return impatient.caller->received().starts_with("HTTP/1.1 504");
    });
    BOOST_TEST(answered == 1);
}

// Guards against streams being sent to a second endpoint of a stalled service, where they can't start either.
BOOST_AUTO_TEST_CASE(service_stalledWithAnUnresponsiveEndpoint_noStreamIsSentTwice)
{
    startStreamsAtTwoEndpoints();
    streamingEndpoints[0]->isUnresponsive = true;
    runFor(CallerPatience);
    BOOST_TEST(streamRequestsAt(1) == 1);
}

// Guards against work for callers that have given up: endpoints that stall one after another hold it, and no cancellation reaches them.
BOOST_AUTO_TEST_CASE(endpoints_unresponsiveOneAfterAnother_noCallerGivesUpWithoutAnAnswer)
{
    constexpr int Endpoints = 3;
    for (int endpoint = 0; endpoint < Endpoints; ++endpoint) {
        addStreamingEndpoint();
    }
    int id = 0;
    for (const auto &endpoint : streamingEndpoints) {
        for (int stream = 0; stream < Endpoints; ++stream) {
            addImpatientCaller("r" + std::to_string(++id));
            runStreamsAndCallers(EventInterval);
        }
        endpoint->isUnresponsive = true;
        runStreamsAndCallers(CallerPatience + 3 * EventInterval);
        endpoint->isUnresponsive = false;
    }
    BOOST_TEST(countGivenUp() == 0);
}

// Guards against forwarding requests whose callers have already closed the connection, when the process is late to read the request and the close.
BOOST_AUTO_TEST_CASE(caller_disconnectsBeforeItsRequestIsRead_nothingIsForwarded)
{
    const RawPeer &endpoint = addEndpoint([](int) -> RawPeer::Answer { return {.bytes = wholeAnswer(200, "r1", "x")}; });
    (void)answerTo(streamRequest("r1"), "\r\n\r\nx"); // The connection to the endpoint is kept, so that a further request would be sent at once.
    BOOST_REQUIRE(endpoint.requests() == 1);
    sendAndClose(streamRequest("r2"));
    runFor(3 * EventInterval);
    BOOST_TEST(endpoint.requests() == 1);
}

// Guards against progressing streams being cancelled and restarted because the service's latest first event was late.
BOOST_AUTO_TEST_CASE(service_latestFirstEventWasLate_progressingStreamsAreNotMoved)
{
    addStreamingEndpoint();
    addCaller(streamRequest("r1"));
    addCaller(streamRequest("r2"));
    runStreams(EventInterval);
    addStreamingEndpoint().isAtCapacity = true;
    addCaller(streamRequest("r3"));
    const MonoTime firstEventAt = MonoClock::now() + Duration(1650);
    while (MonoClock::now() < firstEventAt) {
        runStreams(EventInterval);
    }
    BOOST_REQUIRE(streamRequestsAt(0) == 2);
    BOOST_REQUIRE(streamRequestsAt(1) == 1);
    streamingEndpoints[1]->peer->sendOnAll(streamHead("r3") + eventChunk(1));
    runStreams(8 * EventInterval);
    BOOST_TEST(streamRequestsAt(0) + streamRequestsAt(1) == 3);
}

// Guards against an endpoint that runs one long request being passed over while others fill up.
BOOST_AUTO_TEST_CASE(endpoint_runsALongRequest_isStillChosenByLoad)
{
    putRoutes(2);
    const RawPeer &busy = addEndpoint([](int) -> RawPeer::Answer { return {}; });
    addCaller(request("at-most-once"));
    runFor(EventInterval);
    addEndpoint([](int number) -> RawPeer::Answer { return {.bytes = number == 1 ? wholeAnswer(200, "r1", "x") : ""}; });
    (void)answerTo(request("at-most-once"), "\r\n\r\nx");
    runFor(3 * EventInterval);
    constexpr int FurtherRequests = 6;
    for (int count = 0; count < FurtherRequests; ++count) {
        addCaller(request("at-most-once"));
        runFor(EventInterval / 5);
    }
    BOOST_TEST(busy.requests() >= FurtherRequests / 2);
}

// Guards against the deadline of a pipelined request being counted only from the end of the request before it.
BOOST_AUTO_TEST_CASE(caller_pipelinesTwoRequests_secondIsAnsweredWithinItsOwnDeadline)
{
    int requests = 0;
    addEndpoint([&requests](int) -> RawPeer::Answer {
        const std::string stream = streamHead("r1") + eventChunk(1);
        return {.bytes = ++requests == 1 ? stream : std::string()};
    });
    const std::string second = "GET /long/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\nX-Request-Timeout-Ms: 1500\r\n\r\n";
    const RawCaller &caller = addCaller(streamRequest("r1") + second);
    runFor(Duration(1000));
    endpoints.front()->sendOnAnswered(LastChunk);
    runFor(Duration(700));
    BOOST_REQUIRE(requests == 2);
    BOOST_TEST(caller.received().find("HTTP/1.1 504") != std::string::npos);
}

// Guards against all streams of an unreachable endpoint being sent at once to another one, where none of them starts.
BOOST_AUTO_TEST_CASE(endpoint_becomesUnresponsiveWithManyStreams_onlyOneWaitsToStartElsewhere)
{
    addStreamingEndpoint();
    for (const char *id : {"r1", "r2", "r3", "r4"}) {
        addCaller(streamRequest(id));
        runStreams(2 * EventInterval);
    }
    BOOST_REQUIRE(streamRequestsAt(0) == 4);
    addStreamingEndpoint();
    addCaller(streamRequest("r5"));
    runStreams(2 * EventInterval);
    BOOST_REQUIRE(streamRequestsAt(1) == 1);
    streamingEndpoints[1]->isAtCapacity = true;
    streamingEndpoints[0]->isUnresponsive = true;
    runStreams(10 * EventInterval);
    BOOST_TEST(streamRequestsAt(1) <= 2); // Each entry may have one stream waiting to start at an endpoint.
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
