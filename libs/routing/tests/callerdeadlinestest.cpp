#include "routing/callerdeadlines.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration Stated{8000};

// What a test allows for the answer's way to the caller.
constexpr Duration MostMargin{100};

/** A request that came at a known time. */
struct CallerDeadlinesFixture {
    static Route route(RouteKind kind, Duration timeout)
    {
        Route route;
        route.kind = kind;
        route.timeout = timeout;
        return route;
    }

    /** @return true if that is before a time at which the caller leaves, but hardly. */
    static bool isJustBefore(BootTime due, BootTime leaves)
    {
        return due < leaves && due > leaves - MostMargin;
    }

    const BootTime came{1h};
    CallerDeadlines bounds{{.receivedAt = came, .callerTimeout = Stated}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerDeadlinesTest, CallerDeadlinesFixture)

BOOST_AUTO_TEST_CASE(request_routeIsNotKnown_staysUntilItsStatedDeadline)
{
    BOOST_TEST(isJustBefore(bounds.deadline(), came + Stated));
    BOOST_TEST((bounds.nextEventDeadline() == bounds.deadline()));
}

BOOST_AUTO_TEST_CASE(request_isNoStream_staysUntilTheSoonerOfDeadlineAndTimeout)
{
    bounds.applyRoute(route(RouteKind::Idempotent, 9s));
    BOOST_TEST(isJustBefore(bounds.deadline(), came + Stated));
    bounds.applyRoute(route(RouteKind::Idempotent, 3s));
    BOOST_TEST((bounds.deadline() == came + 3s));
    BOOST_TEST((bounds.nextEventDeadline() == bounds.deadline()));
}

// Guards against streams that are kept until the route's timeout while their callers leave after a gap.
BOOST_AUTO_TEST_CASE(stream_withoutAnEvent_isLeftAfterTheShortestGap)
{
    bounds.applyRoute(route(RouteKind::Stream, 8s));
    BOOST_TEST(isJustBefore(bounds.nextEventDeadline(), came + 2s));
    BOOST_TEST(isJustBefore(bounds.deadline(), came + 8s));
}

BOOST_AUTO_TEST_CASE(stream_longObjectives_areWaitedForLonger)
{
    Route slow = route(RouteKind::Stream, 8s);
    slow.latencyObjective = 700ms;
    bounds.applyRoute(slow);
    BOOST_TEST(isJustBefore(bounds.nextEventDeadline(), came + 2800ms));
    slow.pauseObjective = 400ms;
    bounds.applyRoute(slow);
    BOOST_TEST(isJustBefore(bounds.nextEventDeadline(), came + 3200ms));
}

BOOST_AUTO_TEST_CASE(stream_eventIsSent_gapBeginsAnewUpToTheDeadline)
{
    bounds.applyRoute(route(RouteKind::Stream, 8s));
    bounds.onEventSent(came + 1500ms);
    BOOST_TEST(isJustBefore(bounds.nextEventDeadline(), came + 3500ms));
    bounds.onEventSent(came + 7s);
    BOOST_TEST((bounds.nextEventDeadline() == bounds.deadline()));
}

BOOST_AUTO_TEST_CASE(stream_statesLessThanTheGap_isLeftAtItsDeadline)
{
    CallerDeadlines hurried({.receivedAt = came, .callerTimeout = Duration(900)});
    hurried.applyRoute(route(RouteKind::Stream, 8s));
    BOOST_TEST(isJustBefore(hurried.nextEventDeadline(), came + 900ms));
}

BOOST_AUTO_TEST_CASE(request_statesNothing_hasTheUsualTime)
{
    const CallerDeadlines silent({.receivedAt = came});
    BOOST_TEST((silent.deadline() > came + 20s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
