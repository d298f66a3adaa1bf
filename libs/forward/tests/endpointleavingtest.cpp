#include "statementfixture.h"

namespace magnolia::forward
{

namespace
{

const std::string LeavingHeaders = "X-Leaving: 1\r\n";

struct LeavingFixture : StatementFixture {
    /** The endpoint states that it leaves, in its answer to a request. @return the number of requests that have arrived there by then. */
    std::size_t stateLeaving(Endpoint &endpoint, const std::string &headers = LeavingHeaders)
    {
        endpoint.headers = headers;
        runUntilArrival(endpoint);
        runFor(Duration(50));
        return endpoint.arrivals.size();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointLeavingTest, LeavingFixture)

// Guards against requests to an endpoint that has said in an answer that it leaves, while the list still names it as ready.
BOOST_AUTO_TEST_CASE(answerStatesLeaving_listNamesTheEndpoint_itIsSentNothing)
{
    Endpoint &leaving = addStatingEndpoint();
    addStatingEndpoint();
    const std::size_t before = stateLeaving(leaving);
    runLoad(Duration(1000));
    BOOST_TEST(leaving.arrivals.size() == before);
    runFor(Duration(100));
    BOOST_TEST(answeredCallers("HTTP/1.1 200") == callers.size());
}

// Guards against an update of the endpoint's list entry that takes back what the endpoint has said.
BOOST_AUTO_TEST_CASE(answerStatesLeaving_listEntryChanges_itIsSentNothing)
{
    Endpoint &leaving = addStatingEndpoint();
    addStatingEndpoint();
    const std::size_t before = stateLeaving(leaving);
    leaving.headers.clear();
    task->putEndpoint(record(1));
    runLoad(Duration(200));
    task->removeEndpoint("e1");
    runLoad(Duration(100));
    task->putEndpoint(record(1));
    runLoad(Duration(500));
    BOOST_TEST(leaving.arrivals.size() == before);
}

// Guards against an endpoint that leaves without announcing it on the list, and that is named only by the answers of its liveness checks.
BOOST_AUTO_TEST_CASE(livenessCheckStatesLeaving_listNamesTheEndpoint_itIsSentNothing)
{
    Endpoint &leaving = addStatingEndpoint();
    leaving.peer = &addEndpoint([&leaving](int number) { return number == 1 ? RawPeer::Answer{} : scriptedAnswer(leaving); });
    task->removeEndpoint("e1");
    leaving.headers = LeavingHeaders;
    addCaller(request("three-endpoints")); // A stream, which stays without an answer.
    BOOST_TEST(runUntil([&] { return leaving.checks > 0; }, Duration(1400)));
    runFor(Duration(50));
    runLoad(Duration(200));
    BOOST_TEST(leaving.arrivals.empty());
}

// Guards against sending to the last endpoint of a service although it leaves, and against callers that wait for nothing.
BOOST_AUTO_TEST_CASE(lastEndpointStatesLeaving_callersKeepComing_theyAreRefusedAtOnce)
{
    Endpoint &leaving = addStatingEndpoint();
    const std::size_t before = stateLeaving(leaving);
    runFor(Duration(3000)); // Just after its start an entry waits for endpoints.
    addCaller(request("repeatable"));
    BOOST_TEST(runUntil([&] { return !callers.back()->received().empty(); }, Duration(200)));
    BOOST_TEST(callers.back()->received().starts_with("HTTP/1.1 503"));
    BOOST_TEST(leaving.arrivals.size() == before);
}

// Guards against retries that go back to an endpoint which leaves, as a rejection states it.
BOOST_AUTO_TEST_CASE(rejectionStatesLeaving_groupIsDown_itIsSentNothing)
{
    Endpoint &leaving = addStatingEndpoint();
    leaving.status = 503;
    const std::size_t before = stateLeaving(leaving, LeavingHeaders + "X-Load: 0,0,4\r\n");
    runLoad(Duration(1000));
    BOOST_TEST(leaving.arrivals.size() == before);
}

// Guards against a restarted endpoint that is left unused because its earlier run had left.
BOOST_AUTO_TEST_CASE(answerStatesLeaving_endpointRunsAnewUnderItsId_itIsUsed)
{
    Endpoint &endpoint = addStatingEndpoint();
    task->putEndpoint(record(1, StatedIncarnation(1000)));
    const std::size_t before = stateLeaving(endpoint);
    runLoad(Duration(200));
    BOOST_TEST(endpoint.arrivals.size() == before);
    endpoint.headers.clear();
    task->putEndpoint(record(1, StatedIncarnation(2000)));
    runLoad(Duration(200));
    BOOST_TEST(endpoint.arrivals.size() > before + 3);
}

// Guards against an answer of the endpoint that now has the address being taken for one of the endpoint that was asked.
BOOST_AUTO_TEST_CASE(misdirectedAnswerStatesLeaving_any_askedEndpointIsNotLeaving)
{
    Endpoint &endpoint = addStatingEndpoint();
    addStatingEndpoint();
    endpoint.status = 421;
    endpoint.headers = LeavingHeaders;
    runUntilArrival(endpoint);
    endpoint.status = 200;
    endpoint.headers.clear();
    task->removeEndpoint("e2");
    runLoad(Duration(1500)); // It is avoided for a while, since another endpoint may have its address.
    BOOST_TEST(endpoint.arrivals.size() > 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
