#include "statementfixture.h"

#include <cstdlib>

namespace magnolia::forward
{

namespace
{

constexpr Duration Rest{2000};
constexpr Duration AdoptionTime{500}; ///< An entry must observe a rest this long after the answer that asked for it.
constexpr int MaxRequestsInRest = 2;

const std::string RestHeaders = "X-Load: 0,0,4\r\nRetry-After: 2\r\n";

struct RestFixture : StatementFixture {
    /** From now on the endpoint turns all requests away and asks for rest. */
    static void startRest(Endpoint &endpoint, const std::string &headers = RestHeaders)
    {
        endpoint.status = 503;
        endpoint.headers = headers;
    }

    static void endRest(Endpoint &endpoint)
    {
        endpoint.status = 200;
        endpoint.headers.clear();
    }

    /** Keeps the load up until this rest of the endpoint, which begins with its next answer, is over. @return requests that arrived in it. */
    int requestsInRest(const Endpoint &endpoint, const std::string &routeName = "repeatable")
    {
        runUntilArrival(endpoint);
        const MonoTime restsSince = endpoint.arrivals.back();
        const MonoTime end = restsSince + Rest;
        runLoad(std::chrono::duration_cast<Duration>(end - MonoClock::now()), routeName);
        const auto isInside = [&](MonoTime at) { return at >= restsSince + AdoptionTime && at < end; };
        return static_cast<int>(std::count_if(endpoint.arrivals.begin(), endpoint.arrivals.end(), isInside));
    }

    /** Value of the last caller's Retry-After, in seconds; negative if its answer has none. */
    double retryAfterOfLastCaller() const
    {
        constexpr std::string_view Name = "Retry-After: ";
        const std::string &answer = callers.back()->received();
        const std::size_t at = answer.find(Name);
        return at == std::string::npos ? -1 : std::atof(answer.c_str() + at + Name.size());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointRestTest, RestFixture)

// Guards against requests to an endpoint in its rest: it reports free slots, so it was taken for one whose group is down, and was the cheapest choice.
BOOST_AUTO_TEST_CASE(endpointAsksForRest_othersServe_itIsSentNothing)
{
    Endpoint &resting = addStatingEndpoint();
    addStatingEndpoint();
    addStatingEndpoint();
    startRest(resting);
    BOOST_TEST(requestsInRest(resting) <= MaxRequestsInRest);
    runFor(Duration(200));
    BOOST_TEST(answeredCallers("HTTP/1.1 200") == callers.size());
}

// Guards against the same while the answer names another endpoint of its group as the cause, so that the request waits for the group.
BOOST_AUTO_TEST_CASE(endpointAsksForRest_anotherIsAtFault_itIsSentNothing)
{
    Endpoint &resting = addStatingEndpoint();
    addStatingEndpoint();
    startRest(resting, RestHeaders + "X-At-Fault: 10.0.0.9:80\r\n");
    BOOST_TEST(requestsInRest(resting) <= MaxRequestsInRest);
}

// Guards against the same where nothing is left to choose: the request goes back to its endpoint once more at each end of a wait.
BOOST_AUTO_TEST_CASE(allEndpointsAskForRest_callersKeepComing_noneIsSentAnything)
{
    Endpoint &one = addStatingEndpoint();
    Endpoint &other = addStatingEndpoint();
    startRest(one);
    startRest(other);
    BOOST_TEST(requestsInRest(one) <= MaxRequestsInRest);
    BOOST_TEST(other.arrivedSince(one.arrivals.front() + AdoptionTime) <= MaxRequestsInRest);
}

// Guards against callers that are kept waiting for, or are told to return before, the end of a rest that they can't outlast.
BOOST_AUTO_TEST_CASE(allEndpointsAskForRest_longerThanCallersWait_theyAreToldWhenToReturn)
{
    Endpoint &endpoint = addStatingEndpoint();
    startRest(endpoint);
    runUntilArrival(endpoint);
    addCaller(request("repeatable"));
    BOOST_TEST(runUntil([&] { return !callers.back()->received().empty(); }, Duration(200)));
    BOOST_TEST(callers.back()->received().starts_with("HTTP/1.1 503"));
    BOOST_TEST(retryAfterOfLastCaller() > 1.5);
    BOOST_TEST(endpoint.arrivals.size() == 1U);
}

// Guards against refusing callers that could wait for the end of a rest, and against sending all of them in that moment.
BOOST_AUTO_TEST_CASE(allEndpointsAskForRest_shorterThanCallersWait_theyAreServedAfterIt)
{
    Endpoint &endpoint = addStatingEndpoint();
    startRest(endpoint, "X-Load: 0,0,4\r\nRetry-After: 0.3\r\n");
    runUntilArrival(endpoint);
    const MonoTime restsSince = endpoint.arrivals.back();
    endRest(endpoint);
    const std::size_t before = callers.size();
    runLoad(Duration(200));
    BOOST_TEST(endpoint.arrivals.size() == 1U);
    runFor(Duration(800));
    BOOST_TEST(endpoint.arrivedSince(restsSince + Duration(300)) >= static_cast<int>(callers.size() - before));
    for (std::size_t caller = before; caller < callers.size(); ++caller) {
        BOOST_TEST(callers[caller]->received().starts_with("HTTP/1.1 200"));
    }
}

// Guards against a rest that is forgotten as the endpoint's list entry lapses and returns, e.g. while the store is away.
BOOST_AUTO_TEST_CASE(endpointAsksForRest_itsListEntryLapsesAndReturns_itIsSentNothing)
{
    Endpoint &resting = addStatingEndpoint();
    addStatingEndpoint();
    startRest(resting);
    runUntilArrival(resting);
    const MonoTime restsSince = resting.arrivals.back();
    task->removeEndpoint("e1");
    runLoad(Duration(100));
    task->putEndpoint(record(1));
    runLoad(Duration(1500));
    BOOST_TEST(resting.arrivedSince(restsSince + AdoptionTime) <= MaxRequestsInRest);
}

// Guards against a rest that is lost because the list entry lapsed and returned while the answer that asked for it was on its way.
BOOST_AUTO_TEST_CASE(answerIsOnItsWay_listEntryLapsesAndReturns_itsRestIsKept)
{
    Endpoint &resting = addStatingEndpoint();
    resting.peer = &addEndpoint([&resting](int number) { return number == 1 ? RawPeer::Answer{} : scriptedAnswer(resting); });
    task->removeEndpoint("e1");
    addCaller(request("repeatable"));
    runFor(Duration(50));
    task->removeEndpoint("e2");
    const routing::EndpointRecord returned{.id = "e2", .service = "s", .address = resting.peer->address(), .dataCentre = "north", .slots = 4};
    task->putEndpoint(returned);
    startRest(resting);
    resting.peer->sendOnAll(rejectionAnswer(503, "r1", RestHeaders));
    runFor(Duration(50));
    runLoad(Duration(1500));
    BOOST_TEST(resting.arrivals.empty());
}

// Guards against a restarted endpoint that is left unused because its earlier run had asked for a long rest.
BOOST_AUTO_TEST_CASE(endpointAsksForRest_itRunsAnewUnderItsId_itIsUsed)
{
    Endpoint &endpoint = addStatingEndpoint();
    task->putEndpoint(record(1, StatedIncarnation(1000)));
    startRest(endpoint, "Retry-After: 3600\r\n");
    runUntilArrival(endpoint);
    const std::size_t before = endpoint.arrivals.size();
    runLoad(Duration(200));
    BOOST_TEST(endpoint.arrivals.size() == before);
    endRest(endpoint);
    task->putEndpoint(record(1, StatedIncarnation(2000)));
    runLoad(Duration(200));
    BOOST_TEST(endpoint.arrivals.size() > before + 3);
}

// Guards against liveness checks of an endpoint in its rest: they are requests as well.
BOOST_AUTO_TEST_CASE(endpointAsksForRest_requestsOfBeforeAreSilent_itIsNotChecked)
{
    Endpoint &resting = addStatingEndpoint();
    resting.headers = "X-Load: 0,0,4\r\n";
    const auto answerAfterTheFirst = [&](int number) { return number == 1 ? RawPeer::Answer{} : scriptedAnswer(resting); };
    resting.peer = &addEndpoint(answerAfterTheFirst);
    task->removeEndpoint("e1");
    task->putEndpoint({.id = "e2", .service = "s", .address = resting.peer->address(), .dataCentre = "north", .slots = 4});
    addCaller(request("three-endpoints")); // A stream, which stays without an answer.
    runFor(Duration(50));
    startRest(resting);
    addCaller(request("repeatable"));
    runFor(Duration(1400)); // An endpoint that is silent for a second is checked.
    BOOST_TEST(resting.arrivals.size() == 1U);
    BOOST_TEST(resting.checks == 0);
}

// Guards against an unusable value that is taken for a rest: the endpoint would stay unused, or the entry would fail.
BOOST_AUTO_TEST_CASE(restIsNoTime_any_endpointStaysInUse)
{
    for (const std::string value : {"nan", "-1", "soon", "Thu, 03 Dec 2026 23:00:00 GMT", "0"}) {
        Endpoint &endpoint = addStatingEndpoint();
        startRest(endpoint, "X-Load: 4,0,4\r\nRetry-After: " + value + "\r\n");
        runUntilArrival(endpoint);
        endRest(endpoint);
        runUntilArrival(endpoint);
        BOOST_TEST(endpoint.arrivals.size() >= 2U);
        task->removeEndpoint("e" + std::to_string(statingEndpoints.size()));
    }
}

// Guards against a 429 with a rest being read differently from a 503.
BOOST_AUTO_TEST_CASE(endpointAsksForRest_with429_itIsSentNothing)
{
    Endpoint &resting = addStatingEndpoint();
    addStatingEndpoint();
    startRest(resting);
    resting.status = 429;
    BOOST_TEST(requestsInRest(resting) <= MaxRequestsInRest);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(DecliningEndpointTest, StatementFixture)

// Guards against requests that wait for a group because one endpoint with free slots turns all away, without asking for rest, while the others serve.
BOOST_AUTO_TEST_CASE(endpointDeclines_othersServe_requestsGoToThemAtOnce)
{
    Endpoint &declining = addStatingEndpoint();
    addStatingEndpoint();
    addStatingEndpoint();
    runLoad(Duration(200));
    declining.status = 503;
    declining.headers = "X-Load: 0,0,4\r\n";
    runUntilArrival(declining);
    const std::size_t before = declining.arrivals.size();
    runLoad(Duration(1500));
    runFor(Duration(50));
    BOOST_TEST(declining.arrivals.size() <= before + 3); // The time for which it is avoided doubles from a quarter of a second.
    BOOST_TEST(answeredCallers("HTTP/1.1 200") == callers.size());
}

// Guards against the opposite: the only endpoint of a service that served just before is read as one that declines, and its callers are refused at once.
BOOST_AUTO_TEST_CASE(onlyEndpointDeclines_itServedJustBefore_requestsWaitForIt)
{
    Endpoint &endpoint = addStatingEndpoint();
    runLoad(Duration(100));
    endpoint.status = 503;
    endpoint.headers = "X-Load: 0,0,4\r\n";
    runUntilArrival(endpoint);
    endpoint.status = 200;
    endpoint.headers.clear();
    runFor(Duration(1200));
    BOOST_TEST(answeredCallers("HTTP/1.1 200") == callers.size());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
