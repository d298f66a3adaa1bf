#include "silencefixture.h"

#include <string>

namespace magnolia::forward
{

namespace
{

// What callers wait for has to be begun elsewhere in half of the time for which they stay.
constexpr Duration MoveBound = CallerPatience / 2;

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

// Guards against new requests being sent to an endpoint that has just missed what its peers said, before it is found silent.
BOOST_AUTO_TEST_CASE(endpoint_missesAPassOfItsPeers_newStreamsGoElsewhereBeforeTheCheckHasEnded)
{
    constexpr Duration LongPass{400};
    constexpr Duration UntilChecked{100}; // The check itself takes longer.
    beginOneAtEachOfTwo();
    call(streamRequest("r3"));
    runPasses(EventInterval);
    const std::size_t idler = streamsAt(0) < streamsAt(1) ? 0 : 1;
    served[idler]->isSilent = true;
    runFor(LongPass);
    pass();
    runFor(UntilChecked);
    call(streamRequest("r4"));
    runFor(UntilChecked);
    BOOST_TEST(streamsAt(idler) == 1);
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
