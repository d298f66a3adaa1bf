#include "routing/endpointtable.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

const BootTime Now = BootTime(1h);

struct EndpointTableFixture {
    EndpointTableFixture()
    {
        for (const char *id : {"a", "b", "c"}) {
            table.put({.id = id, .service = "s", .address = "10.0.0.1:80", .dataCentre = "north", .slots = 4});
        }
    }

    std::map<std::string, int> choices(int count, std::vector<std::string> excludedIds = {})
    {
        std::map<std::string, int> chosen;
        for (int index = 0; index < count; ++index) {
            const auto endpoint = table.choose({.service = "s", .excluded = excludedIds}, Now, random);
            ++chosen[endpoint == nullptr ? "none" : endpoint->record.id];
        }
        return chosen;
    }

    EndpointTable table{{.dataCentre = "north"}};
    Random random{42};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointTableTest, EndpointTableFixture)

BOOST_AUTO_TEST_CASE(endpoints_equallyLoaded_shareTheRequests)
{
    const auto chosen = choices(300);
    BOOST_TEST(chosen.size() == 3U);
    for (const auto &[id, count] : chosen) {
        BOOST_TEST(count > 50);
    }
}

// Guards against a restarted endpoint getting no requests because of failures of its earlier run.
BOOST_AUTO_TEST_CASE(endpoint_restartsUnderItsId_hasFreshState)
{
    EndpointRecord record{.id = "a", .service = "s", .address = "10.0.0.1:80", .dataCentre = "north", .slots = 4, .incarnation = StatedIncarnation(1000)};
    table.put(record);
    const EndpointPointer before = table.find("a");
    before->inFlight = 4;
    before->groupAvoidUntil = Now + 1s;
    EndpointTable::onAttemptEnded(*before, AttemptOutcome::Failed, Now);
    record.incarnation = StatedIncarnation(2000);
    table.put(record);
    const EndpointPointer after = table.find("a");
    BOOST_TEST(after != before);
    BOOST_TEST(before->isRemoved);
    BOOST_TEST(after->inFlight == 0U);
    BOOST_TEST(after->failures == 0U);
    BOOST_TEST((after->groupAvoidUntil == BootTime()));
    before->inFlight = 3; // Attempts that end later count for the run to which they were dispatched.
    BOOST_TEST(after->inFlight == 0U);
}

BOOST_AUTO_TEST_CASE(endpoint_outdatedRecordOfEarlierRun_isIgnored)
{
    EndpointRecord record{.id = "a", .service = "s", .address = "10.0.0.1:80", .dataCentre = "north", .slots = 4, .incarnation = StatedIncarnation(2000)};
    table.put(record);
    record.incarnation = StatedIncarnation(1000);
    record.isLeaving = true;
    table.put(record);
    BOOST_TEST(!table.find("a")->record.isLeaving);
    BOOST_TEST((table.find("a")->record.incarnation == StatedIncarnation(2000)));
}

BOOST_AUTO_TEST_CASE(endpoint_recordWithoutIncarnation_updatesTheSameRun)
{
    table.put({.id = "a", .service = "s", .address = "10.0.0.1:80", .dataCentre = "north", .slots = 4, .incarnation = StatedIncarnation(5)});
    const EndpointPointer before = table.find("a");
    table.put({.id = "a", .service = "s", .address = "10.0.0.1:80", .dataCentre = "north", .slots = 4, .isLeaving = true});
    BOOST_TEST(table.find("a") == before);
    BOOST_TEST(before->record.isLeaving);
    BOOST_TEST((before->record.incarnation == StatedIncarnation(5)));
}

BOOST_AUTO_TEST_CASE(endpoint_hasOwnRequestsInFlight_isNotChosen)
{
    table.find("a")->inFlight = 2;
    table.find("b")->inFlight = 1;
    BOOST_TEST(choices(50)["c"] == 50);
}

// Guards against innocent suspects running next to the cause of a crash again, and being reported for its next crash too.
BOOST_AUTO_TEST_CASE(endpoint_runsASuspect_isChosenForAnotherSuspectOnlyIfThereIsNoOther)
{
    table.find("a")->suspectRequests = 1;
    table.find("b")->suspectRequests = 1;
    table.find("c")->inFlight = 3;
    const auto chosen = [this] { return table.choose({.service = "s", .isSuspect = true}, Now, random)->record.id; };
    BOOST_TEST(chosen() == "c");
    table.find("c")->suspectRequests = 1;
    BOOST_TEST(chosen() != "c"); // Then the load decides.
    BOOST_TEST(table.choose({.service = "s"}, Now, random)->record.id != "c"); // For other requests the load decides.
}

BOOST_AUTO_TEST_CASE(endpoint_reportsOthersRequests_isNotChosenUntilTheReportIsOld)
{
    for (const char *id : {"a", "b"}) {
        table.onLoadReport(*table.find(id), {.running = 4, .waiting = 2, .slots = 4}, Now - 100ms);
    }
    BOOST_TEST(choices(50)["c"] == 50);
    BOOST_TEST(EndpointTable::expectedLoad(*table.find("a"), Now + 10s) < 0.1);
}

BOOST_AUTO_TEST_CASE(report_includesOwnRequests_countsThemOnce)
{
    const auto endpoint = table.find("a");
    endpoint->inFlight = 3;
    table.onLoadReport(*endpoint, {.running = 3, .waiting = 0, .slots = 4}, Now);
    BOOST_TEST(EndpointTable::expectedLoad(*endpoint, Now) == 3);
}

BOOST_AUTO_TEST_CASE(endpoint_failed_isAvoidedDuringTheBackoff)
{
    EndpointTable::onAttemptEnded(*table.find("a"), AttemptOutcome::Failed, Now);
    BOOST_TEST(!choices(50).contains("a"));
    BOOST_TEST((table.find("a")->avoidUntil <= Now + 1s));
    EndpointTable::onAttemptEnded(*table.find("a"), AttemptOutcome::Answered, Now);
    BOOST_TEST(choices(300).contains("a"));
}

// Guards against streams being dispatched to an endpoint during its liveness check.
BOOST_AUTO_TEST_CASE(endpoint_suspected_isNotChosen)
{
    const EndpointPointer silent = table.find("a");
    silent->isSuspected = true;
    table.find("b")->inFlight = 3;
    table.find("c")->inFlight = 3;
    BOOST_TEST(choices(100)["a"] == 0);
    silent->isSuspected = false;
    BOOST_TEST(choices(100)["a"] == 100);
}

// Guards against all new requests going to the endpoint that sends data first after a long pass, with its healthy peers taken for silent until they send
// theirs.
BOOST_AUTO_TEST_CASE(endpoint_firstToSendDataInAPass_isNotTheOnlyOneChosen)
{
    for (const char *id : {"a", "b", "c"}) {
        const EndpointPointer endpoint = table.find(id);
        table.onDispatch(*endpoint, Now - 2s, random);
        endpoint->inFlight = 1;
        table.onDataReceived(*endpoint, Now - 500ms);
    }
    table.onDataReceived(*table.find("b"), Now); // The events of one pass arrive within a few milliseconds.
    const auto chosen = choices(300);
    BOOST_TEST(chosen.size() == 3U);
    table.find("b")->unstartedStreams = 1;
    BOOST_TEST(table.canAdmitStream("s", Now, random));
}

// Guards against streams being admitted because of an avoided endpoint and then queueing at another one.
BOOST_AUTO_TEST_CASE(admission_onlyAnAvoidedEndpointIsFree_isDenied)
{
    for (const char *id : {"a", "b"}) {
        table.find(id)->inFlight = 1;
        table.find(id)->unstartedStreams = 1;
    }
    BOOST_TEST(table.canAdmitStream("s", Now, random));
    EndpointTable::onAttemptEnded(*table.find("c"), AttemptOutcome::Failed, Now);
    BOOST_TEST(!table.canAdmitStream("s", Now, random));
}

BOOST_AUTO_TEST_CASE(admission_allEndpointsAvoided_isGrantedForOneStreamEach)
{
    for (const char *id : {"a", "b", "c"}) {
        EndpointTable::onAttemptEnded(*table.find(id), AttemptOutcome::Failed, Now);
    }
    BOOST_TEST(table.canAdmitStream("s", Now, random));
    for (const char *id : {"a", "b", "c"}) {
        table.find(id)->unstartedStreams = 1;
    }
    BOOST_TEST(!table.canAdmitStream("s", Now, random));
}

BOOST_AUTO_TEST_CASE(endpoint_failsRepeatedly_backoffGrowsUpToTheMaximum)
{
    const auto endpoint = table.find("a");
    BootTime last = Now;
    for (int failure = 0; failure < 20; ++failure) {
        EndpointTable::onAttemptEnded(*endpoint, AttemptOutcome::Failed, Now);
        BOOST_TEST((endpoint->avoidUntil >= last));
        last = endpoint->avoidUntil;
    }
    BOOST_TEST((last <= Now + 5s));
}

// Guards against streams being sent again and again to an endpoint that answers liveness checks and hangs requests: each costs its caller more than a second.
BOOST_AUTO_TEST_CASE(endpoint_hangsARequestWhileOthersProgress_isAvoidedLongerThanAfterAFailure)
{
    const auto endpoint = table.find("a");
    EndpointTable::onAttemptEnded(*endpoint, AttemptOutcome::Hung, Now);
    BOOST_TEST((endpoint->avoidUntil >= Now + 2s));
    EndpointTable::onAttemptEnded(*endpoint, AttemptOutcome::Hung, Now);
    BOOST_TEST((endpoint->avoidUntil >= Now + 4s));
    for (int attempt = 0; attempt < 20; ++attempt) {
        EndpointTable::onAttemptEnded(*endpoint, AttemptOutcome::Hung, Now);
    }
    BOOST_TEST((endpoint->avoidUntil <= Now + 8s));
    EndpointTable::onAttemptEnded(*endpoint, AttemptOutcome::Answered, Now);
    BOOST_TEST(choices(300).contains("a"));
}

BOOST_AUTO_TEST_CASE(endpoint_rejectsWhenFull_isNotCountedAsFailure)
{
    EndpointTable::onAttemptEnded(*table.find("a"), AttemptOutcome::Refused, Now);
    BOOST_TEST(table.find("a")->failures == 0U);
}

BOOST_AUTO_TEST_CASE(allEndpoints_avoided_areStillChosen)
{
    for (const char *id : {"a", "b", "c"}) {
        EndpointTable::onAttemptEnded(*table.find(id), AttemptOutcome::Unreachable, Now);
    }
    BOOST_TEST(!choices(50).contains("none"));
}

// Guards against requests failing after attempts at two ranks of one group, all of which reject requests while the group forms again.
BOOST_AUTO_TEST_CASE(endpoint_rejectsForAPeer_groupIsAvoidedUntilOneAnswers)
{
    for (const char *id : {"a", "b", "c"}) {
        table.put({.id = id, .service = "s", .address = std::string(id) + ":80", .dataCentre = "north", .slots = 4});
    }
    table.onGroupAnswer(*table.find("c"));
    table.onRefusedForPeer(*table.find("a"), "b:80", Now);
    BOOST_TEST(choices(50)["c"] == 50); // Not known to be in the group.
    table.onRefusedForPeer(*table.find("c"), "b:80", Now);
    const auto endpoint = table.choose({.service = "s"}, Now, random);
    BOOST_TEST((endpoint->groupAvoidUntil > Now));
    table.onDispatch(*endpoint, Now + 1s, random);
    BOOST_TEST((table.find("a")->groupAvoidUntil > Now + 1s)); // One request probes the group, the others wait.
    BOOST_TEST(table.onGroupAnswer(*table.find("c")));
    BOOST_TEST(!table.onGroupAnswer(*table.find("a")));
    BOOST_TEST((table.find("b")->groupAvoidUntil == BootTime()));
}

// Guards against a probe of each endpoint by each waiting request after all instances lost power, which uses up the retry budget before a group runs.
BOOST_AUTO_TEST_CASE(service_noEndpointHasAnsweredYet_aRejectionSpeaksForAll)
{
    table.onRefusedForPeer(*table.find("a"), "x:80", Now);
    for (const char *id : {"a", "b", "c"}) {
        BOOST_TEST((table.groupAvoidedUntil(*table.find(id)) > Now));
    }
    table.onDispatch(*table.find("b"), Now + 1s, random);
    BOOST_TEST((table.groupAvoidedUntil(*table.find("c")) > Now + 1s)); // One request probes the service, the others wait.
    table.put({.id = "d", .service = "s", .address = "10.0.0.2:80", .dataCentre = "north", .slots = 4});
    BOOST_TEST((table.groupAvoidedUntil(*table.find("d")) > Now + 1s));
    BOOST_TEST(table.onGroupAnswer(*table.find("b")));
    BOOST_TEST((table.groupAvoidedUntil(*table.find("c")) == BootTime()));
}

// Guards against a group that forms anew holding back requests to the other groups of its service.
BOOST_AUTO_TEST_CASE(service_anEndpointHasAnswered_aRejectionSpeaksForItsGroupOnly)
{
    table.onGroupAnswer(*table.find("b"));
    table.onRefusedForPeer(*table.find("a"), "x:80", Now);
    BOOST_TEST((table.groupAvoidedUntil(*table.find("a")) > Now));
    BOOST_TEST((table.groupAvoidedUntil(*table.find("b")) == BootTime()));
    BOOST_TEST((table.groupAvoidedUntil(*table.find("c")) == BootTime()));
}

// Guards against requests to endpoints that ended with their instance: their entries expire some seconds after the new ones are listed.
BOOST_AUTO_TEST_CASE(endpoint_addressListedLaterForAnother_isNotChosen)
{
    table.put({.id = "d", .service = "t", .address = "10.0.0.7:80", .dataCentre = "north", .slots = 4, .listedAt = 5});
    table.put({.id = "a", .service = "s", .address = "10.0.0.7:80", .dataCentre = "north", .slots = 4, .listedAt = 3});
    BOOST_TEST(table.find("a")->isReplaced);
    BOOST_TEST(!table.find("d")->isReplaced);
    BOOST_TEST(choices(100)["a"] == 0);
    table.put({.id = "a", .service = "s", .address = "10.0.0.7:80", .dataCentre = "north", .slots = 4, .listedAt = 8});
    BOOST_TEST(!table.find("a")->isReplaced);
    BOOST_TEST(table.find("d")->isReplaced);
}

// Guards against an endpoint getting no requests because the entry of its predecessor at the address was written once more.
BOOST_AUTO_TEST_CASE(endpoint_lateEntryOfItsPredecessor_isUsedAgainAfterOneMisdirectedRequest)
{
    table.put({.id = "old", .service = "t", .address = "10.0.0.7:80", .dataCentre = "north", .slots = 4, .listedAt = 9});
    table.put({.id = "new", .service = "t", .address = "10.0.0.7:80", .dataCentre = "north", .slots = 4, .listedAt = 8});
    table.onAddressTaken(*table.find("old"), Now);
    BOOST_TEST(table.find("old")->isReplaced);
    BOOST_TEST(!table.find("new")->isReplaced);
}

// Guards against an endpoint staying the last choice for good because another program listed its address for a while.
BOOST_AUTO_TEST_CASE(endpoint_laterEntryForItsAddressIsRemoved_isChosenAgain)
{
    table.put({.id = "d", .service = "t", .address = "10.0.0.7:80", .dataCentre = "north", .slots = 4, .listedAt = 5});
    table.put({.id = "other", .service = "t", .address = "10.0.0.7:80", .dataCentre = "north", .slots = 4, .listedAt = 6});
    BOOST_REQUIRE(table.find("d")->isReplaced);
    table.remove("other");
    BOOST_TEST(!table.find("d")->isReplaced);
}

BOOST_AUTO_TEST_CASE(endpoints_rejectForOneNotOnTheList_areOneGroup)
{
    table.onRefusedForPeer(*table.find("a"), "gone:80", Now);
    table.onRefusedForPeer(*table.find("b"), "gone:80", Now);
    table.onRefusedForPeer(*table.find("c"), "other:80", Now);
    BOOST_TEST(table.find("a")->group == table.find("b")->group);
    BOOST_TEST(table.find("a")->group != table.find("c")->group);
    table.onRefusedForPeer(*table.find("b"), "other:80", Now);
    BOOST_TEST(table.find("a")->group == table.find("c")->group);
}

BOOST_AUTO_TEST_CASE(endpoint_leavingOrRemoved_isNeverChosen)
{
    table.put({.id = "a", .service = "s", .address = "10.0.0.1:80", .dataCentre = "north", .slots = 4, .isLeaving = true});
    const auto held = table.find("b");
    table.remove("b");
    BOOST_TEST(choices(50)["c"] == 50);
    BOOST_TEST(!held->acceptsRequests());
    BOOST_TEST(choices(1, {"c"})["none"] == 1);
}

BOOST_AUTO_TEST_CASE(address_reusedByAnotherService_isAnotherEndpoint)
{
    table.put({.id = "d", .service = "t", .address = "10.0.0.1:80", .dataCentre = "north", .slots = 1});
    BOOST_TEST(!choices(100).contains("d"));
    BOOST_TEST(table.endpointsOf("t").size() == 1U);
}

BOOST_AUTO_TEST_CASE(endpoint_inTheSameDataCentre_isPreferredAtEqualLoad)
{
    for (const char *id : {"b", "c"}) {
        table.put({.id = id, .service = "s", .address = "10.0.0.1:80", .dataCentre = "south", .slots = 4});
    }
    const auto chosen = choices(300);
    BOOST_TEST(chosen.at("a") > 120);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
