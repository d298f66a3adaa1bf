#include "statementfixture.h"
#include "streamingfixture.h"

#include <set>
#include <string>

namespace magnolia::forward
{

namespace
{

using DataCentres = std::set<std::string, std::less<>>;

constexpr Duration PromptAnswer{200}; ///< A rejection that comes within this time was not held back.
const std::string EvacuatedCause = "the data centres of its endpoints are evacuated";

/** Evacuates data centres of an entry, and reads its metrics. Base is the fixture of the entry. */
template<typename Base>
struct EvacuationFixture : Base {
    void evacuate(const DataCentres &dataCentres)
    {
        this->task->putEvacuations({.version = ++version, .provedAt = BootClock::now(), .dataCentres = dataCentres});
    }

    /** Moves the endpoint with this number from 1 on to another data centre than that of the fixture's endpoints. */
    void moveEndpoint(std::size_t number, const std::string &dataCentre)
    {
        const std::string address = this->endpoints.at(number - 1)->address();
        this->task->putEndpoint({.id = "e" + std::to_string(number), .service = "s", .address = address, .dataCentre = dataCentre, .slots = 4});
    }

    bool hasMetric(const std::string &name, int value) const
    {
        return this->metrics.render().find("\n" + name + " " + std::to_string(value)) != std::string::npos;
    }

    /** Whether the last caller is rejected at once because of the evacuation. */
    bool isLastCallerRejected()
    {
        const RawCaller &caller = *this->callers.back();
        this->runUntil([&] { return caller.received().find(EvacuatedCause) != std::string::npos; }, PromptAnswer);
        const std::string &received = caller.received();
        const bool hasRetryAfter = received.find("etry-") != std::string::npos && received.find("fter: 5") != std::string::npos;
        return received.starts_with("HTTP/1.1 503") && hasRetryAfter && received.find(EvacuatedCause) != std::string::npos;
    }

    std::uint64_t version = 0;
};

using CallFixture = EvacuationFixture<StatementFixture>;
using StreamFixture = EvacuationFixture<StreamingFixture>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationTest, CallFixture)

// Guards against requests to endpoints of a data centre that an operator has evacuated.
BOOST_AUTO_TEST_CASE(dataCentre_evacuated_itsEndpointsAreSentNothing)
{
    Endpoint &evacuated = addStatingEndpoint();
    addStatingEndpoint();
    moveEndpoint(1, "south");
    runUntilArrival(evacuated);
    evacuate({"south"});
    const std::size_t before = evacuated.arrivals.size();
    runLoad(Duration(1000));
    BOOST_TEST(evacuated.arrivals.size() == before);
    BOOST_TEST(answeredCallers("HTTP/1.1 200") == callers.size());
    BOOST_TEST(hasMetric("magnolia_forward_evacuated_data_centres", 1));
    BOOST_TEST(hasMetric("magnolia_forward_sent_to_evacuated_total", 0));
}

BOOST_AUTO_TEST_CASE(dataCentre_takenBack_itsEndpointsAreUsedAgain)
{
    Endpoint &evacuated = addStatingEndpoint();
    addStatingEndpoint();
    moveEndpoint(1, "south");
    evacuate({"south"});
    runLoad(Duration(200));
    BOOST_TEST(evacuated.arrivals.empty());
    evacuate({});
    runUntilArrival(evacuated);
    BOOST_TEST(hasMetric("magnolia_forward_evacuated_data_centres", 0));
}

// Guards against a retry that goes to the evacuated data centre, as the only endpoint that was not tried yet is there.
BOOST_AUTO_TEST_CASE(otherEndpointFails_dataCentreEvacuated_retryDoesNotGoThere)
{
    Endpoint &evacuated = addStatingEndpoint();
    Endpoint &failing = addStatingEndpoint();
    moveEndpoint(1, "south");
    evacuate({"south"});
    failing.status = 503;
    runLoad(Duration(500));
    BOOST_TEST(!failing.arrivals.empty());
    BOOST_TEST(evacuated.arrivals.empty());
}

// Guards against idle connections that stay open to endpoints whose data centre may be shut down.
BOOST_AUTO_TEST_CASE(dataCentre_evacuated_idleConnectionsThereAreClosed)
{
    Endpoint &evacuated = addStatingEndpoint();
    evacuated.headers = "Connection: keep-alive\r\nKeep-Alive: timeout=60\r\n";
    runUntilArrival(evacuated);
    runFor(Duration(50));
    BOOST_REQUIRE(evacuated.peer->open() > 0U);
    evacuate({"north"});
    BOOST_TEST(runUntil([&] { return evacuated.peer->open() == 0; }, Duration(500)));
}

// Guards against callers that wait for a service of which everything is evacuated, also just after the start of the entry, when requests wait for endpoints.
BOOST_AUTO_TEST_CASE(everything_evacuated_callersAreRejectedAtOnce)
{
    Endpoint &first = addStatingEndpoint();
    Endpoint &second = addStatingEndpoint();
    moveEndpoint(1, "south");
    evacuate({"north", "south"});
    for (const char *routeName : {"repeatable", "at-most-once", "stream"}) {
        addCaller(request(routeName));
        BOOST_TEST(isLastCallerRejected());
    }
    BOOST_TEST(first.arrivals.empty());
    BOOST_TEST(second.arrivals.empty());
    BOOST_TEST(hasMetric("magnolia_forward_refused_evacuated_total", 3));
}

// Guards against callers that go on waiting for the end of a rest after everything was evacuated.
BOOST_AUTO_TEST_CASE(callerWaitsForARest_everythingIsEvacuated_isRejectedAtOnce)
{
    Endpoint &resting = addStatingEndpoint();
    resting.status = 503;
    resting.headers = "Retry-After: 0.6\r\n";
    addCaller(request("repeatable"));
    runUntil([&] { return !resting.arrivals.empty(); });
    runFor(Duration(50));
    BOOST_REQUIRE(callers.back()->received().empty());
    evacuate({"north"});
    BOOST_TEST(isLastCallerRejected());
}

// Guards against callers that go on waiting for a group to run again after everything was evacuated.
BOOST_AUTO_TEST_CASE(callerWaitsForItsGroup_everythingIsEvacuated_isRejectedAtOnce)
{
    Endpoint &rank = addStatingEndpoint();
    rank.status = 503;
    rank.headers = "X-At-Fault: 10.0.0.9:80\r\n";
    addCaller(request("repeatable"));
    runUntil([&] { return !rank.arrivals.empty(); });
    runFor(Duration(50));
    BOOST_REQUIRE(callers.back()->received().empty());
    evacuate({"north"});
    BOOST_TEST(isLastCallerRejected());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(StreamEvacuationTest, StreamFixture)

// Guards against streams that are cut off because their data centre is evacuated.
BOOST_AUTO_TEST_CASE(streamInProgress_everythingIsEvacuated_endsWhole)
{
    addStreamingEndpoint();
    RawCaller &caller = addCaller(streamRequest("r1"));
    runStreams(3 * EventInterval);
    evacuate({"north"});
    runStreams(10 * EventInterval);
    streamingEndpoints.front()->peer->sendOnAnswered(LastChunk);
    BOOST_TEST(runUntil([&] { return caller.received().ends_with(LastChunk); }, Duration(500)));
    BOOST_TEST(caller.received().find("data: d" + std::to_string(latestEvent)) != std::string::npos);
    BOOST_TEST(hasMetric("magnolia_forward_sendings_total", 1));
    BOOST_TEST(runUntil([&] { return streamingEndpoints.front()->peer->open() == 0; }, Duration(500)));
}

// Guards against a stream that is cut off by the shutdown of its endpoint and not resumed, or resumed in the evacuated data centre.
BOOST_AUTO_TEST_CASE(streamCutOff_dataCentreEvacuated_isResumedElsewhere)
{
    addStreamingEndpoint();
    RawCaller &caller = addCaller(streamRequest("r1"));
    runStreams(3 * EventInterval);
    addStreamingEndpoint();
    addStreamingEndpoint();
    moveEndpoint(3, "south");
    evacuate({"north"});
    streamingEndpoints.front()->peer->closeAll();
    runStreams(5 * EventInterval);
    runFor(Duration(50));
    BOOST_TEST(streamRequestsAt(1) == 0);
    BOOST_TEST(streamRequestsAt(2) == 1);
    BOOST_TEST(!caller.isClosed());
    BOOST_TEST(caller.received().find("data: d" + std::to_string(latestEvent)) != std::string::npos);
}

// Guards against streams that stay in the queue for slots of evacuated endpoints.
BOOST_AUTO_TEST_CASE(streamsQueued_everythingIsEvacuated_areRejectedAtOnce)
{
    addStreamingEndpoint().isAtCapacity = true;
    addCaller(streamRequest("r1")); // Takes the only slot for a stream that has not started.
    runFor(Duration(20));
    addCaller(streamRequest("r2"));
    runFor(Duration(20));
    BOOST_REQUIRE(streamRequestsAt(0) == 1);
    BOOST_REQUIRE(callers.back()->received().empty());
    evacuate({"north"});
    BOOST_TEST(isLastCallerRejected());
    BOOST_TEST(callers.front()->received().empty()); // It is in progress.
}

// Guards against giving up a stream at a silent endpoint for a retry that nobody can run.
BOOST_AUTO_TEST_CASE(endpointFallsSilent_everythingIsEvacuated_streamIsNotGivenUp)
{
    startStreamsAtTwoEndpoints();
    evacuate({"north"});
    streamingEndpoints.front()->isUnresponsive = true;
    runStreams(Duration(1500));
    BOOST_TEST(hasMetric("magnolia_forward_silent_endpoints", 1));
    BOOST_TEST(!callers.front()->isClosed());
    BOOST_TEST(!callers.back()->isClosed());
    BOOST_TEST(streamRequestsAt(0) + streamRequestsAt(1) == 2);
}

// Guards against liveness checks that go on in an evacuated data centre.
BOOST_AUTO_TEST_CASE(endpointUnresponsive_dataCentreEvacuatedAndNoStreamThere_isNotChecked)
{
    startStreamsAtTwoEndpoints();
    streamingEndpoints.front()->isUnresponsive = true;
    runStreams(Duration(1500)); // Its stream has moved, and it is checked until it answers.
    BOOST_REQUIRE(hasMetric("magnolia_forward_silent_endpoints", 1));
    moveEndpoint(1, "south");
    evacuate({"south"});
    runStreams(Duration(400)); // A check may be in progress.
    const int before = streamingEndpoints.front()->peer->requests();
    runStreams(Duration(1200));
    BOOST_TEST(streamingEndpoints.front()->peer->requests() == before);
    BOOST_TEST(hasMetric("magnolia_forward_silent_endpoints", 0));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
