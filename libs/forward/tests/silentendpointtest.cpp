#include "forwardfixture.h"

#include <string>

namespace magnolia::forward
{

namespace
{

using Then = RawPeer::Then;

// Callers abandon a stream after two seconds without an event; what they wait for has to be begun elsewhere in half of that.
constexpr Duration CallerPatience{2000};
constexpr Duration MoveBound = CallerPatience / 2;

constexpr Duration EventInterval{100};

std::string streamRequest(std::string_view id)
{
    return "GET /long/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + std::string(id) + "\r\nX-Request-Timeout-Ms: 9000\r\n\r\n";
}

/** Endpoints that serve streams one event at a time, until they fall silent. */
struct SilenceFixture : ForwardFixture {
    struct Streaming {
        RawPeer *peer = nullptr;
        bool isFull = false; ///< New streams wait.
        bool isSilent = false; ///< Nothing comes from it any more, whatever arrives there.
        int streams = 0; ///< Requests for streams that it has seen.
    };

    SilenceFixture() : ForwardFixture("/live")
    {
        routing::RoutingConfig config;
        config.version = 1;
        config.routes = {route("long", routing::RouteKind::Stream, 2)};
        config.routes.back().isResumable = true;
        config.routes.back().timeout = Duration(9000);
        config.routes.back().pauseObjective = Duration(200);
        config.services = {{.name = "s", .steps = {}}};
        task->putRoutes(std::make_shared<const routing::RouteTable>(std::move(config)));
        task->confirmRoutes(BootClock::now());
    }

    Streaming &addStreaming()
    {
        served.push_back(std::make_unique<Streaming>());
        Streaming &streaming = *served.back();
        streaming.peer = &addEndpoint([this, &streaming](int) { return answer(streaming); });
        return streaming;
    }

    RawPeer::Answer answer(Streaming &streaming)
    {
        const std::string &request = streaming.peer->lastRequest();
        const bool isStream = request.starts_with("GET /long/");
        streaming.streams += isStream ? 1 : 0;
        if (streaming.isSilent) {
            return {};
        }
        if (!isStream) {
            return {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
        }
        if (streaming.isFull) {
            return {};
        }
        const std::size_t at = request.find("X-Request-Id: ") + 14;
        std::string bytes = streamHead(request.substr(at, request.find('\r', at) - at));
        for (int id = 1; id <= event; ++id) {
            bytes += eventChunk(id); // All streams stand at the same event, so that one chunk continues each.
        }
        return {.bytes = bytes};
    }

    /** One more event of each stream at endpoints that are not silent. */
    void pass()
    {
        const std::string chunk = eventChunk(++event);
        for (const auto &streaming : served) {
            if (!streaming->isSilent) {
                streaming->peer->sendOnAnswered(chunk);
            }
        }
    }

    void runPasses(Duration time)
    {
        for (Duration left = time; left.count() > 0; left -= EventInterval) {
            runFor(EventInterval);
            pass();
        }
    }

    /** Two endpoints, each with a stream in progress. */
    void beginOneAtEachOfTwo()
    {
        addStreaming();
        addStreaming();
        call(streamRequest("r1"));
        runPasses(EventInterval);
        call(streamRequest("r2"));
        runPasses(3 * EventInterval);
    }

    int streamsAt(std::size_t endpoint) const
    {
        return served.at(endpoint)->streams;
    }

    int event = 1;
    std::vector<std::unique_ptr<Streaming>> served;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SilentEndpointTest, SilenceFixture)

// Guards against streams that wait at an endpoint out of reach until their callers leave, when nobody can cancel them there.
BOOST_AUTO_TEST_CASE(endpoint_fallsSilentWhileItsPeersSpeak_itsStreamsMoveBeforeTheirCallersLeave)
{
    beginOneAtEachOfTwo();
    BOOST_REQUIRE(streamsAt(0) == 1);
    BOOST_REQUIRE(streamsAt(1) == 1);
    served[0]->isSilent = true;
    runPasses(MoveBound);
    BOOST_TEST(streamsAt(1) == 2);
}

// Guards against new requests being sent to an endpoint that others have found silent.
BOOST_AUTO_TEST_CASE(endpoint_foundSilent_newStreamsGoElsewhere)
{
    beginOneAtEachOfTwo();
    served[0]->isSilent = true;
    runPasses(MoveBound);
    const int before = streamsAt(0);
    for (int request = 3; request < 9; ++request) {
        call(streamRequest("r" + std::to_string(request)));
    }
    runPasses(3 * EventInterval);
    BOOST_TEST(streamsAt(0) == before);
}

// Guards against an endpoint that was silent for a while being left out for good.
BOOST_AUTO_TEST_CASE(endpoint_speaksAgain_isSentNewStreams)
{
    beginOneAtEachOfTwo();
    served[0]->isSilent = true;
    runPasses(MoveBound);
    served[0]->isSilent = false;
    runPasses(2 * CallerPatience);
    const int before = streamsAt(0);
    for (int request = 3; request < 9; ++request) {
        call(streamRequest("r" + std::to_string(request)));
    }
    runPasses(3 * EventInterval);
    BOOST_TEST(streamsAt(0) > before);
}

// Guards against streams that wait for their turn being sent to a second endpoint just before their callers leave.
BOOST_AUTO_TEST_CASE(stream_waitsForItsTurnAtAnEndpointThatSpeaks_isNotSentTwice)
{
    beginOneAtEachOfTwo();
    served[0]->isFull = true;
    served[1]->isFull = true;
    call(streamRequest("r3"));
    runPasses(CallerPatience);
    BOOST_TEST(streamsAt(0) + streamsAt(1) == 3);
}

// Guards against streams queueing at an endpoint, where nobody can recall them once it is out of reach.
BOOST_AUTO_TEST_CASE(stream_allEndpointsHaveUnbegunOnes_isRefusedAtOnceAndNotSent)
{
    addStreaming();
    served[0]->isFull = true;
    call(streamRequest("r1"));
    runPasses(EventInterval);
    BOOST_REQUIRE(streamsAt(0) == 1);
    RawCaller &next = call(streamRequest("r2"));
    runPasses(5 * EventInterval);
    BOOST_TEST(next.received().starts_with("HTTP/1.1 503"));
    BOOST_TEST(streamsAt(0) == 1);
}

// Guards against a stream whose connection leads nowhere being taken for one that waits for its turn.
BOOST_AUTO_TEST_CASE(stream_overtakenByALaterOne_isSentElsewhere)
{
    addStreaming();
    call(streamRequest("r1"));
    runPasses(3 * EventInterval);
    served[0]->isFull = true;
    call(streamRequest("r2"));
    runPasses(MoveBound + EventInterval);
    addStreaming();
    call(streamRequest("r3"));
    runPasses(EventInterval);
    BOOST_REQUIRE(streamsAt(0) == 2);
    BOOST_REQUIRE(streamsAt(1) == 1);
    runPasses(MoveBound - 3 * EventInterval);
    BOOST_TEST(streamsAt(1) == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
