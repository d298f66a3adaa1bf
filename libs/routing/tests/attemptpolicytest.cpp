#include "routing/attemptpolicy.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

/** A stream dispatched to the first of two endpoints of a service; its caller disconnects after two seconds without an event. */
struct AttemptPolicyFixture {
    AttemptPolicyFixture()
    {
        for (const char *id : {"a", "b"}) {
            table.put({.id = id, .service = "s", .address = "10.0.0.1:80", .dataCentre = "north", .slots = 4});
        }
        route.kind = RouteKind::Stream;
        route.timeout = 8s;
        deadlines.applyRoute(route);
        table.onDispatch(endpoint(), receivedAt, random);
        endpoint().inFlight = 1;
        state = {.endpoint = &endpoint(), .sentAt = receivedAt, .lastReceivedAt = receivedAt, .isConnected = true};
    }

    Endpoint &endpoint() const
    {
        return *table.find("a");
    }

    AttemptPolicy policy() const
    {
        return AttemptPolicy({.deadlines = deadlines, .route = route, .endpoints = table, .service = "s"});
    }

    const BootTime receivedAt{1h};
    Random random{42};
    EndpointTable table{{.dataCentre = "north"}};
    Route route;
    CallerDeadlines deadlines{{.receivedAt = receivedAt, .callerTimeout = Duration(8000)}};
    AttemptState state;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AttemptPolicyTest, AttemptPolicyFixture)

// Guards against retries for callers that disconnect before another endpoint can send a first event.
BOOST_AUTO_TEST_CASE(service_slowFirstEvents_latestDispatchIsEarlier)
{
    const BootTime now = receivedAt + 1s;
    const BootTime before = policy().latestUsefulDispatch(now);
    BOOST_TEST((before < receivedAt + 2s));
    BOOST_TEST((before > receivedAt + 1900ms));
    table.onStreamStarted("s", 900ms, now);
    BOOST_TEST((policy().latestUsefulDispatch(now) == before - 900ms));
}

BOOST_AUTO_TEST_CASE(request_notAStream_isDispatchedUntilItsDeadline)
{
    route.kind = RouteKind::Idempotent;
    CallerDeadlines whole({.receivedAt = receivedAt, .callerTimeout = Duration(8000)});
    whole.applyRoute(route);
    deadlines = whole;
    table.onStreamStarted("s", 900ms, receivedAt);
    BOOST_TEST((policy().latestUsefulDispatch(receivedAt) == deadlines.deadline()));
}

// Guards against streams being moved so late that the caller has disconnected before the other endpoint's first event.
BOOST_AUTO_TEST_CASE(stream_stuck_expiresBeforeTheLatestUsefulDispatch)
{
    const BootTime now = receivedAt + 500ms;
    table.onStreamStarted("s", 600ms, now);
    const BootTime moved = policy().attemptExpiresAt(state, now);
    BOOST_TEST((moved < policy().latestUsefulDispatch(now)));
    BOOST_TEST((moved > receivedAt + 1s));
}

// Guards against a progressing stream being moved at its next pause because first events of other streams take long.
BOOST_AUTO_TEST_CASE(stream_progressesWhileOthersStartSlowly_doesNotExpire)
{
    const BootTime now = receivedAt + 1s;
    table.onStreamStarted("s", 1800ms, now);
    deadlines.onEventSent(now);
    state.hasAnswer = true;
    state.lastReceivedAt = now;
    BOOST_TEST((policy().attemptExpiresAt(state, now) >= now + 400ms));
}

BOOST_AUTO_TEST_CASE(attempt_notConnected_expiresAfterTheConnectTimeout)
{
    state.isConnected = false;
    BOOST_TEST((policy().attemptExpiresAt(state, receivedAt) == receivedAt + ConnectTimeout));
}

// Guards against streams being moved within a stalled service, where no other endpoint would start them either.
BOOST_AUTO_TEST_CASE(endpoint_unresponsiveAndAllSilent_requestIsNotOvertaken)
{
    endpoint().isUnresponsive = true;
    BOOST_TEST(!policy().isOvertaken(state));
    table.onDataReceived(*table.find("b"), receivedAt + 600ms);
    BOOST_TEST(policy().isOvertaken(state));
}

// Guards against queued streams being taken for stuck ones.
BOOST_AUTO_TEST_CASE(stream_waitsLikeAllOthers_isNotOvertaken)
{
    table.onDataReceived(endpoint(), receivedAt + 1s);
    BOOST_TEST(!policy().isOvertaken(state));
    table.onAnswerStarted(*table.find("b"), receivedAt + 500ms);
    BOOST_TEST(!policy().isOvertaken(state));
    table.onAnswerStarted(endpoint(), receivedAt + 100ms);
    BOOST_TEST(policy().isOvertaken(state));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
