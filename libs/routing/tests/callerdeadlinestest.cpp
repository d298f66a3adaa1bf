#include "routing/callerdeadlines.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration CallerTimeout{8000};

// Largest margin that a deadline may have before the caller disconnects.
constexpr Duration MaxMargin{100};

/** A request that was received at a known time. */
struct CallerDeadlinesFixture {
    static Route route(RouteKind kind, Duration timeout)
    {
        Route route;
        route.kind = kind;
        route.timeout = timeout;
        return route;
    }

    /** @return true if the deadline is before the caller disconnects, by no more than MaxMargin. */
    static bool isJustBefore(BootTime due, BootTime leaves)
    {
        return due < leaves && due > leaves - MaxMargin;
    }

    const BootTime receivedAt{1h};
    CallerDeadlines deadlines{{.receivedAt = receivedAt, .callerTimeout = CallerTimeout}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerDeadlinesTest, CallerDeadlinesFixture)

BOOST_AUTO_TEST_CASE(request_routeUnknown_hasTheCallersTimeout)
{
    BOOST_TEST(isJustBefore(deadlines.deadline(), receivedAt + CallerTimeout));
    BOOST_TEST((deadlines.nextEventDeadline() == deadlines.deadline()));
}

BOOST_AUTO_TEST_CASE(request_notAStream_hasTheEarlierOfCallerAndRouteTimeout)
{
    deadlines.applyRoute(route(RouteKind::Idempotent, 9s));
    BOOST_TEST(isJustBefore(deadlines.deadline(), receivedAt + CallerTimeout));
    deadlines.applyRoute(route(RouteKind::Idempotent, 3s));
    BOOST_TEST((deadlines.deadline() == receivedAt + 3s));
    BOOST_TEST((deadlines.nextEventDeadline() == deadlines.deadline()));
}

// Guards against streams being kept until the route's timeout although their callers disconnect after a gap.
BOOST_AUTO_TEST_CASE(stream_noEvent_isDueBeforeTheMinimumGap)
{
    deadlines.applyRoute(route(RouteKind::Stream, 8s));
    BOOST_TEST(isJustBefore(deadlines.nextEventDeadline(), receivedAt + 2s));
    BOOST_TEST(isJustBefore(deadlines.deadline(), receivedAt + 8s));
}

BOOST_AUTO_TEST_CASE(stream_longObjectives_extendTheGap)
{
    Route slow = route(RouteKind::Stream, 8s);
    slow.latencyObjective = 700ms;
    deadlines.applyRoute(slow);
    BOOST_TEST(isJustBefore(deadlines.nextEventDeadline(), receivedAt + 2800ms));
    slow.pauseObjective = 400ms;
    deadlines.applyRoute(slow);
    BOOST_TEST(isJustBefore(deadlines.nextEventDeadline(), receivedAt + 3200ms));
}

BOOST_AUTO_TEST_CASE(stream_eventSent_restartsTheGapUpToTheDeadline)
{
    deadlines.applyRoute(route(RouteKind::Stream, 8s));
    deadlines.onEventSent(receivedAt + 1500ms);
    BOOST_TEST(isJustBefore(deadlines.nextEventDeadline(), receivedAt + 3500ms));
    deadlines.onEventSent(receivedAt + 7s);
    BOOST_TEST((deadlines.nextEventDeadline() == deadlines.deadline()));
}

BOOST_AUTO_TEST_CASE(stream_callerTimeoutBelowTheGap_isDueAtTheDeadline)
{
    CallerDeadlines hurried({.receivedAt = receivedAt, .callerTimeout = Duration(900)});
    hurried.applyRoute(route(RouteKind::Stream, 8s));
    BOOST_TEST(isJustBefore(hurried.nextEventDeadline(), receivedAt + 900ms));
}

BOOST_AUTO_TEST_CASE(request_noCallerTimeout_hasTheDefaultTimeout)
{
    const CallerDeadlines silent({.receivedAt = receivedAt});
    BOOST_TEST((silent.deadline() > receivedAt + 20s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
