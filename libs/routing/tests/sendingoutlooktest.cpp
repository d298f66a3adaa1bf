#include "routing/sendingoutlook.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

/** A stream that was sent to the first of two endpoints of a service, by a caller that stays for two seconds without an event. */
struct SendingOutlookFixture {
    SendingOutlookFixture()
    {
        for (const char *id : {"a", "b"}) {
            table.put({.id = id, .service = "s", .address = "10.0.0.1:80", .dataCentre = "north", .slots = 4});
        }
        route.kind = RouteKind::Stream;
        route.timeout = 8s;
        bounds.takeRoute(route);
        table.sendingTo(endpoint(), came, random);
        endpoint().inFlight = 1;
        state = {.endpoint = &endpoint(), .sentAt = came, .heardAt = came, .isConnected = true};
    }

    Endpoint &endpoint() const
    {
        return *table.find("a");
    }

    SendingOutlook outlook() const
    {
        return SendingOutlook({.bounds = bounds, .route = route, .endpoints = table, .service = "s"});
    }

    const BootTime came{1h};
    Random random{42};
    EndpointTable table{{.dataCentre = "north"}};
    Route route;
    CallerBounds bounds{{.receivedAt = came, .stated = Duration(8000)}};
    SendingState state;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SendingOutlookTest, SendingOutlookFixture)

// Guards against second sendings for callers who leave before anything can begin elsewhere.
BOOST_AUTO_TEST_CASE(service_beginsSlowly_sendingIsOfNoUseSoMuchEarlier)
{
    const BootTime now = came + 1s;
    const BootTime before = outlook().latestSending(now);
    BOOST_TEST((before < came + 2s));
    BOOST_TEST((before > came + 1900ms));
    table.streamBegan("s", 900ms, now);
    BOOST_TEST((outlook().latestSending(now) == before - 900ms));
}

BOOST_AUTO_TEST_CASE(request_isNoStream_isSentUntilItsDeadline)
{
    route.kind = RouteKind::Idempotent;
    CallerBounds whole({.receivedAt = came, .stated = Duration(8000)});
    whole.takeRoute(route);
    bounds = whole;
    table.streamBegan("s", 900ms, came);
    BOOST_TEST((outlook().latestSending(came) == bounds.deadline()));
}

// Guards against streams that are moved so late that the other endpoint's first event finds nobody.
BOOST_AUTO_TEST_CASE(stream_isStuck_isMovedWhileASendingIsStillOfUse)
{
    const BootTime now = came + 500ms;
    table.streamBegan("s", 600ms, now);
    const BootTime moved = outlook().patienceEnds(state, now);
    BOOST_TEST((moved < outlook().latestSending(now)));
    BOOST_TEST((moved > came + 1s));
}

// Guards against streams that go on being moved at their next pause, since the service takes long to begin others.
BOOST_AUTO_TEST_CASE(stream_goesOnWhileOthersBeginSlowly_isLeftAlone)
{
    const BootTime now = came + 1s;
    table.streamBegan("s", 1800ms, now);
    bounds.eventSent(now);
    state.hasAnswer = true;
    state.heardAt = now;
    BOOST_TEST((outlook().patienceEnds(state, now) >= now + 400ms));
}

BOOST_AUTO_TEST_CASE(sending_isNotConnected_isGivenUpAfterTheConnectTimeout)
{
    state.isConnected = false;
    BOOST_TEST((outlook().patienceEnds(state, came) == came + ConnectTimeout));
}

// Guards against streams being moved within a service that stands still, where nothing can begin either.
BOOST_AUTO_TEST_CASE(endpoint_isOutOfReachAndNobodySpeaks_requestIsNotLeftBehind)
{
    endpoint().isSilent = true;
    BOOST_TEST(!outlook().isLeftBehind(state));
    table.heard(*table.find("b"), came + 600ms);
    BOOST_TEST(outlook().isLeftBehind(state));
}

// Guards against streams that wait for their turn being taken for streams in trouble.
BOOST_AUTO_TEST_CASE(stream_waitsWithAllOthers_isNotLeftBehind)
{
    table.heard(endpoint(), came + 1s);
    BOOST_TEST(!outlook().isLeftBehind(state));
    table.begun(*table.find("b"), came + 500ms);
    BOOST_TEST(!outlook().isLeftBehind(state));
    table.begun(endpoint(), came + 100ms);
    BOOST_TEST(outlook().isLeftBehind(state));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
