#include "silencefixture.h"

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

/** Callers who leave after a gap without an event, and are told so by nobody. */
struct CallerPatienceFixture : SilenceFixture {
    struct Waiting {
        RawCaller *caller = nullptr;
        std::size_t received = 0;
        MonoTime heardAt{};
        bool hasLeft = false; ///< Without an answer.
    };

    void callPatiently(std::string_view id)
    {
        RawCaller &caller = call(streamRequest(id));
        waiting.push_back({.caller = &caller, .heardAt = MonoClock::now()});
    }

    /** A caller that connects, sends and closes before the entry gets to run. */
    void sendAndLeave(std::string_view bytes) const
    {
        const http::SocketAddress target = http::SocketAddress::parse(task->callersAddress()).value();
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        BOOST_REQUIRE(::connect(fd, target.get(), target.length) == 0);
        BOOST_REQUIRE(::send(fd, bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
        ::close(fd);
    }

    static bool hasEnded(const Waiting &one)
    {
        return one.hasLeft || one.caller->isClosed() || one.caller->received().starts_with("HTTP/1.1 5");
    }

    /** Lets passes go on for so long while callers come, hear and leave. */
    void runPatiently(Duration time)
    {
        constexpr Duration Look{20};
        for (Duration gone{0}; gone < time; gone += Look) {
            runFor(Look);
            if (gone % EventInterval == Duration(0)) {
                pass();
            }
            std::for_each(waiting.begin(), waiting.end(), &CallerPatienceFixture::look);
        }
    }

    static void look(Waiting &one)
    {
        if (hasEnded(one)) {
            return;
        }
        if (one.caller->received().size() != one.received) {
            one.received = one.caller->received().size();
            one.heardAt = MonoClock::now();
        } else if (MonoClock::now() - one.heardAt >= CallerPatience) {
            one.hasLeft = true;
            one.caller->close();
        }
    }

    auto countLeft() const
    {
        return std::count_if(waiting.begin(), waiting.end(), [](const Waiting &one) { return one.hasLeft; });
    }

    std::vector<Waiting> waiting;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerPatienceTest, CallerPatienceFixture)

// Guards against streams that wait at an endpoint until their callers leave without a word.
BOOST_AUTO_TEST_CASE(stream_doesNotBegin_isAnsweredBeforeItsCallerLeaves)
{
    addStreaming();
    call(streamRequest("r1"));
    runPasses(3 * EventInterval);
    served[0]->isFull = true;
    callPatiently("r2");
    runPatiently(CallerPatience + EventInterval);
    BOOST_TEST(countLeft() == 0);
    BOOST_TEST(waiting[0].caller->received().starts_with("HTTP/1.1 504"));
}

// Guards against streams that have begun being kept at an endpoint out of reach until their callers leave: they can only resume what was cut.
BOOST_AUTO_TEST_CASE(stream_hasBegunAndItsOnlyEndpointFallsSilent_isCutBeforeItsCallerLeaves)
{
    addStreaming();
    callPatiently("r1");
    runPatiently(5 * EventInterval);
    BOOST_REQUIRE(waiting[0].received > 0);
    served[0]->isSilent = true;
    runPatiently(CallerPatience + EventInterval);
    BOOST_TEST(countLeft() == 0);
    BOOST_TEST(waiting[0].caller->isClosed());
}

// Guards against an answer that is held until its caller is about to leave, though it is known that the request can be sent to no other endpoint.
BOOST_AUTO_TEST_CASE(stream_mayNotMoveFromAnEndpointOutOfReach_isAnsweredAtOnce)
{
    putStreamRoute(2, 1);
    beginOneAtEachOfTwo();
    served[0]->isFull = true;
    served[1]->isFull = true;
    callPatiently("r3");
    callPatiently("r4"); // Now each endpoint has one that waits, so that none would begin another next.
    runPasses(EventInterval);
    BOOST_REQUIRE(streamsAt(0) == 2);
    BOOST_REQUIRE(streamsAt(1) == 2);
    served[0]->isSilent = true;
    runPasses(CallerPatience / 2);
    const auto answered = std::count_if(waiting.begin(), waiting.end(), [](const Waiting &one) { return one.caller->received().starts_with("HTTP/1.1 504"); });
    BOOST_TEST(answered == 1);
}

// Guards against streams being sent to a second endpoint of a service that stands still, where nothing can begin either.
BOOST_AUTO_TEST_CASE(service_standsStillWithAnEndpointOutOfReach_noStreamIsSentTwice)
{
    beginOneAtEachOfTwo();
    served[0]->isSilent = true;
    runFor(CallerPatience);
    BOOST_TEST(streamsAt(1) == 1);
}

// Guards against work for callers who left: endpoints that stand still one after the other hold it, and no cancel reaches them.
BOOST_AUTO_TEST_CASE(endpoints_standStillInSeries_noCallerLeavesWithoutAnAnswer)
{
    constexpr int Endpoints = 3;
    for (int endpoint = 0; endpoint < Endpoints; ++endpoint) {
        addStreaming();
    }
    int id = 0;
    for (const auto &endpoint : served) {
        for (int stream = 0; stream < Endpoints; ++stream) {
            callPatiently("r" + std::to_string(++id));
            runPatiently(EventInterval);
        }
        endpoint->isSilent = true;
        runPatiently(CallerPatience + 3 * EventInterval);
        endpoint->isSilent = false;
    }
    BOOST_TEST(countLeft() == 0);
}

// Guards against requests being sent to endpoints although their callers have closed the connection, when the process is late to read both.
BOOST_AUTO_TEST_CASE(caller_leavesBeforeItsRequestIsRead_nothingIsSent)
{
    const RawPeer &endpoint = addEndpoint([](int) -> RawPeer::Answer { return {.bytes = wholeAnswer(200, "r1", "x")}; });
    (void)answerTo(streamRequest("r1"), "\r\n\r\nx"); // Its connection is kept, so that a further request would leave at once.
    BOOST_REQUIRE(endpoint.requests() == 1);
    sendAndLeave(streamRequest("r2"));
    runFor(3 * EventInterval);
    BOOST_TEST(endpoint.requests() == 1);
}

// Guards against streams that go on well being cancelled and begun anew since the service's latest first event came late.
BOOST_AUTO_TEST_CASE(service_beganItsLatestStreamLate_streamsThatGoOnStayWhereTheyAre)
{
    addStreaming();
    call(streamRequest("r1"));
    call(streamRequest("r2"));
    runPasses(EventInterval);
    addStreaming().isFull = true;
    call(streamRequest("r3"));
    const MonoTime begins = MonoClock::now() + Duration(1650);
    while (MonoClock::now() < begins) {
        runPasses(EventInterval);
    }
    BOOST_REQUIRE(streamsAt(0) == 2);
    BOOST_REQUIRE(streamsAt(1) == 1);
    served[1]->peer->sendOnAll(streamHead("r3") + eventChunk(1));
    runPasses(8 * EventInterval);
    BOOST_TEST(streamsAt(0) + streamsAt(1) == 3);
}

// Guards against an endpoint that works on one long request being passed over while others fill up.
BOOST_AUTO_TEST_CASE(endpoint_worksOnALongRequest_isTakenByLoadAllTheSame)
{
    putRoutes(2);
    const RawPeer &busy = addEndpoint([](int) -> RawPeer::Answer { return {}; });
    call(request("once"));
    runFor(EventInterval);
    addEndpoint([](int number) -> RawPeer::Answer { return {.bytes = number == 1 ? wholeAnswer(200, "r1", "x") : ""}; });
    (void)answerTo(request("once"), "\r\n\r\nx");
    runFor(3 * EventInterval);
    constexpr int Further = 6;
    for (int count = 0; count < Further; ++count) {
        call(request("once"));
        runFor(EventInterval / 5);
    }
    BOOST_TEST(busy.requests() >= Further / 2);
}

// Guards against the time of a request that came behind another being counted only from the other's end.
BOOST_AUTO_TEST_CASE(caller_sendsTwoRequestsAtOnce_secondIsAnsweredWithinItsOwnDeadline)
{
    int requests = 0;
    addEndpoint([&requests](int) -> RawPeer::Answer {
        const std::string stream = streamHead("r1") + eventChunk(1);
        return {.bytes = ++requests == 1 ? stream : std::string()};
    });
    const std::string second = "GET /long/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\nX-Request-Timeout-Ms: 1500\r\n\r\n";
    const RawCaller &caller = call(streamRequest("r1") + second);
    runFor(Duration(1000));
    endpoints.front()->sendOnAnswered(LastChunk);
    runFor(Duration(700));
    BOOST_REQUIRE(requests == 2);
    BOOST_TEST(caller.received().find("HTTP/1.1 504") != std::string::npos);
}

// Guards against all streams of an endpoint out of reach being sent at once to one where none of them begins.
BOOST_AUTO_TEST_CASE(endpoint_fallsSilentWithManyStreams_noMoreAreMovedThanOneThatBeginsNext)
{
    addStreaming();
    for (const char *id : {"r1", "r2", "r3", "r4"}) {
        call(streamRequest(id));
        runPasses(2 * EventInterval);
    }
    BOOST_REQUIRE(streamsAt(0) == 4);
    addStreaming();
    call(streamRequest("r5"));
    runPasses(2 * EventInterval);
    BOOST_REQUIRE(streamsAt(1) == 1);
    served[1]->isFull = true;
    served[0]->isSilent = true;
    runPasses(10 * EventInterval);
    BOOST_TEST(streamsAt(1) <= 2); // One for each entry and endpoint may wait there.
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
