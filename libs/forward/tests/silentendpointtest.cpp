#include "streamingfixture.h"

#include <string>

namespace magnolia::forward
{

namespace
{

// Streams have to be started elsewhere within half of the time after which their callers give up.
constexpr Duration MaxMoveTime = CallerPatience / 2;

} // namespace

BOOST_FIXTURE_TEST_SUITE(SilentEndpointTest, StreamingFixture)

// Guards against streams waiting at an unreachable endpoint until their callers give up, when no cancellation reaches the endpoint.
BOOST_AUTO_TEST_CASE(endpoint_becomesUnresponsiveWhileItsPeersRespond_itsStreamsMoveBeforeTheirCallersGiveUp)
{
    startStreamsAtTwoEndpoints();
    BOOST_REQUIRE(streamRequestsAt(0) == 1);
    BOOST_REQUIRE(streamRequestsAt(1) == 1);
    streamingEndpoints[0]->isUnresponsive = true;
    runStreams(MaxMoveTime);
    BOOST_TEST(streamRequestsAt(1) == 2);
}

// Guards against new requests being sent to an endpoint that requests in progress have shown to be unresponsive.
BOOST_AUTO_TEST_CASE(endpoint_foundUnresponsive_newStreamsGoElsewhere)
{
    startStreamsAtTwoEndpoints();
    streamingEndpoints[0]->isUnresponsive = true;
    runStreams(MaxMoveTime);
    const int before = streamRequestsAt(0);
    for (int request = 3; request < 9; ++request) {
        addCaller(streamRequest("r" + std::to_string(request)));
    }
    runStreams(3 * EventInterval);
    BOOST_TEST(streamRequestsAt(0) == before);
}

// Guards against new requests being sent to a suspected endpoint, which sent no event when its peers did, before its liveness check fails.
BOOST_AUTO_TEST_CASE(endpoint_missesAnEventOfItsPeers_newStreamsGoElsewhereBeforeTheLivenessCheckEnds)
{
    constexpr Duration LongEventInterval{400};
    constexpr Duration WithinCheck{100}; // Shorter than the liveness check.
    startStreamsAtTwoEndpoints();
    addCaller(streamRequest("r3"));
    runStreams(EventInterval);
    const std::size_t lessLoaded = streamRequestsAt(0) < streamRequestsAt(1) ? 0 : 1;
    streamingEndpoints[lessLoaded]->isUnresponsive = true;
    runFor(LongEventInterval);
    emitEvents();
    runFor(WithinCheck);
    addCaller(streamRequest("r4"));
    runFor(WithinCheck);
    BOOST_TEST(streamRequestsAt(lessLoaded) == 1);
}

// Guards against an endpoint being excluded for ever once it was unresponsive.
BOOST_AUTO_TEST_CASE(endpoint_respondsAgain_isSentNewStreams)
{
    startStreamsAtTwoEndpoints();
    streamingEndpoints[0]->isUnresponsive = true;
    runStreams(MaxMoveTime);
    streamingEndpoints[0]->isUnresponsive = false;
    runStreams(2 * CallerPatience);
    const int before = streamRequestsAt(0);
    for (int request = 3; request < 9; ++request) {
        addCaller(streamRequest("r" + std::to_string(request)));
    }
    runStreams(3 * EventInterval);
    BOOST_TEST(streamRequestsAt(0) > before);
}

// Guards against queued streams being sent to a second endpoint just before their callers give up.
BOOST_AUTO_TEST_CASE(stream_queuedAtAResponsiveEndpoint_isNotSentTwice)
{
    startStreamsAtTwoEndpoints();
    streamingEndpoints[0]->isAtCapacity = true;
    streamingEndpoints[1]->isAtCapacity = true;
    addCaller(streamRequest("r3"));
    runStreams(CallerPatience);
    BOOST_TEST(streamRequestsAt(0) + streamRequestsAt(1) == 3);
}

// Guards against streams queueing at an endpoint, where they can't be cancelled once it is unreachable.
BOOST_AUTO_TEST_CASE(stream_allEndpointsHaveOneWaitingToStart_isRejectedAtOnceAndNotSent)
{
    addStreamingEndpoint();
    streamingEndpoints[0]->isAtCapacity = true;
    addCaller(streamRequest("r1"));
    runStreams(EventInterval);
    BOOST_REQUIRE(streamRequestsAt(0) == 1);
    RawCaller &next = addCaller(streamRequest("r2"));
    runStreams(5 * EventInterval);
    BOOST_TEST(next.received().starts_with("HTTP/1.1 503"));
    BOOST_TEST(streamRequestsAt(0) == 1);
}

// Guards against a stream on a dead connection being taken for one that is queued.
BOOST_AUTO_TEST_CASE(stream_overtakenByALaterOne_isSentElsewhere)
{
    addStreamingEndpoint();
    addCaller(streamRequest("r1"));
    runStreams(3 * EventInterval);
    streamingEndpoints[0]->isAtCapacity = true;
    addCaller(streamRequest("r2"));
    runStreams(MaxMoveTime + EventInterval);
    addStreamingEndpoint();
    addCaller(streamRequest("r3"));
    runStreams(EventInterval);
    BOOST_REQUIRE(streamRequestsAt(0) == 2);
    BOOST_REQUIRE(streamRequestsAt(1) == 1);
    runStreams(MaxMoveTime - 3 * EventInterval);
    BOOST_TEST(streamRequestsAt(1) == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
