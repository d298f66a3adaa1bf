#include "routing/attemptpolicy.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

/** A stream that was sent to the first of two endpoints of a service, by a caller that stays for two seconds without an event. */
struct AttemptPolicyFixture {
    AttemptPolicyFixture()
    {
        for (const char *id : {"a", "b"}) {
            table.put({.id = id, .service = "s", .address = "10.0.0.1:80", .dataCentre = "north", .slots = 4});
        }
        route.kind = RouteKind::Stream;
        route.timeout = 8s;
        deadlines.applyRoute(route);
        table.onDispatch(endpoint(), came, random);
        endpoint().inFlight = 1;
        state = {.endpoint = &endpoint(), .sentAt = came, .lastReceivedAt = came, .isConnected = true};
    }

    Endpoint &endpoint() const
    {
        return *table.find("a");
    }

    AttemptPolicy outlook() const
    {
        return AttemptPolicy({.deadlines = deadlines, .route = route, .endpoints = table, .service = "s"});
    }

    const BootTime came{1h};
    Random random{42};
    EndpointTable table{{.dataCentre = "north"}};
    Route route;
    CallerDeadlines deadlines{{.receivedAt = came, .callerTimeout = Duration(8000)}};
    AttemptState state;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AttemptPolicyTest, AttemptPolicyFixture)

// Guards against second sendings for callers who leave before anything can begin elsewhere.
BOOST_AUTO_TEST_CASE(service_beginsSlowly_sendingIsOfNoUseSoMuchEarlier)
{
    const BootTime now = came + 1s;
    const BootTime before = outlook().latestUsefulDispatch(now);
    BOOST_TEST((before < came + 2s));
    BOOST_TEST((before > came + 1900ms));
    table.onStreamStarted("s", 900ms, now);
    BOOST_TEST((outlook().latestUsefulDispatch(now) == before - 900ms));
}

BOOST_AUTO_TEST_CASE(request_isNoStream_isSentUntilItsDeadline)
{
    route.kind = RouteKind::Idempotent;
    CallerDeadlines whole({.receivedAt = came, .callerTimeout = Duration(8000)});
    whole.applyRoute(route);
    deadlines = whole;
    table.onStreamStarted("s", 900ms, came);
    BOOST_TEST((outlook().latestUsefulDispatch(came) == deadlines.deadline()));
}

// Guards against streams that are moved so late that the other endpoint's first event finds nobody.
BOOST_AUTO_TEST_CASE(stream_isStuck_isMovedWhileASendingIsStillOfUse)
{
    const BootTime now = came + 500ms;
    table.onStreamStarted("s", 600ms, now);
    const BootTime moved = outlook().attemptExpiresAt(state, now);
    BOOST_TEST((moved < outlook().latestUsefulDispatch(now)));
    BOOST_TEST((moved > came + 1s));
}

// Guards against streams that go on being moved at their next pause, since the service takes long to begin others.
BOOST_AUTO_TEST_CASE(stream_goesOnWhileOthersBeginSlowly_isLeftAlone)
{
    const BootTime now = came + 1s;
    table.onStreamStarted("s", 1800ms, now);
    deadlines.onEventSent(now);
    state.hasAnswer = true;
    state.lastReceivedAt = now;
    BOOST_TEST((outlook().attemptExpiresAt(state, now) >= now + 400ms));
}

BOOST_AUTO_TEST_CASE(sending_isNotConnected_isGivenUpAfterTheConnectTimeout)
{
    state.isConnected = false;
    BOOST_TEST((outlook().attemptExpiresAt(state, came) == came + ConnectTimeout));
}

// Guards against streams being moved within a service that stands still, where nothing can begin either.
BOOST_AUTO_TEST_CASE(endpoint_isOutOfReachAndNobodySpeaks_requestIsNotLeftBehind)
{
    endpoint().isUnresponsive = true;
    BOOST_TEST(!outlook().isOvertaken(state));
    table.onDataReceived(*table.find("b"), came + 600ms);
    BOOST_TEST(outlook().isOvertaken(state));
}

// Guards against streams that wait for their turn being taken for streams in trouble.
BOOST_AUTO_TEST_CASE(stream_waitsWithAllOthers_isNotLeftBehind)
{
    table.onDataReceived(endpoint(), came + 1s);
    BOOST_TEST(!outlook().isOvertaken(state));
    table.onAnswerStarted(*table.find("b"), came + 500ms);
    BOOST_TEST(!outlook().isOvertaken(state));
    table.onAnswerStarted(endpoint(), came + 100ms);
    BOOST_TEST(outlook().isOvertaken(state));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
