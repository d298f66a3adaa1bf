#include "forward/endpointlist.h"

#include "loopfixture.h"
#include "recordingtask.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <vector>

namespace magnolia::forward
{

namespace
{

using namespace std::chrono_literals;
using routing::EndpointRecord;
using Updates = std::vector<std::string>;

EndpointRecord recordOf(const std::string &id, bool isLeaving = false)
{
    return {.id = id, .service = "s", .address = "10.0.0.9:80", .dataCentre = "north", .slots = 4, .isLeaving = isLeaving, .incarnation = {}};
}

struct EndpointListFixture : http::LoopFixture {
    EndpointListFixture()
    {
        list.applySnapshot({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
        list.confirm(BootClock::now());
        task.updates.clear();
    }

    /** The entry of "a" as a renewal wrote it. */
    static EndpointRecord heartbeatOf(std::uint64_t version, std::uint64_t number)
    {
        EndpointRecord record = recordOf("a");
        record.listedAt = version;
        record.heartbeat = number;
        return record;
    }

    void putHeartbeat(std::uint64_t version, std::uint64_t number)
    {
        task.updates.clear();
        list.applyDelta({.changed = {.version = version, .endpoints = {heartbeatOf(version, number)}}});
    }

    /** Removes "a". */
    void remove(std::uint64_t version)
    {
        list.applyDelta({.changed = {.version = version, .endpoints = {}}, .gone = std::array<std::string, 1>{"a"}});
    }

    RecordingTask task;
    EndpointList list{loop.get(), task, {.renewalInterval = 1200ms, .recoveryTime = 100ms}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointListTest, EndpointListFixture)

BOOST_AUTO_TEST_CASE(changes_received_areAppliedAtOnce)
{
    list.applyDelta({.changed = {.version = 11, .endpoints = {recordOf("b", true), recordOf("c")}}, .gone = std::array<std::string, 1>{"a"}});
    BOOST_TEST(task.updates == (Updates{"leaving b", "endpoint c", "gone a"}), boost::test_tools::per_element());
    BOOST_TEST(list.version() == 11U);
}

// Guards against a removed endpoint being added again by a store's answer that is older than the peer's list which reported the removal.
BOOST_AUTO_TEST_CASE(storeAnswers_olderThanAPeersList_areIgnored)
{
    EndpointList peer(loop.get(), task, {});
    peer.applySnapshot({.version = 20, .endpoints = {recordOf("b")}});
    task.updates.clear();
    list.applyPeerSnapshot(peer.encodedSnapshot());
    BOOST_TEST(task.updates == (Updates{"endpoint b", "gone a"}), boost::test_tools::per_element());
    task.updates.clear();
    list.applyDelta({.changed = {.version = 15, .endpoints = {recordOf("a")}}});
    list.applySnapshot({.version = 15, .endpoints = {recordOf("a")}});
    BOOST_TEST(task.updates.empty());
    BOOST_TEST(list.version() == 20U);
}

// Guards against an entry that an endpoint wrote before it announced that it leaves, and that the store performs after that.
BOOST_AUTO_TEST_CASE(leavingEndpoint_entryWrittenLate_staysLeaving)
{
    list.applyDelta({.changed = {.version = 11, .endpoints = {recordOf("a", true)}}});
    list.applyDelta({.changed = {.version = 12, .endpoints = {recordOf("a")}}});
    BOOST_TEST(task.updates == (Updates{"leaving a", "leaving a"}), boost::test_tools::per_element());
    list.applySnapshot({.version = 13, .endpoints = {recordOf("a"), recordOf("b")}}); // As after the store has lost its history.
    BOOST_TEST(!task.hasReceived("endpoint a"));
}

// Guards against such an entry that is performed after the endpoint was removed from the list.
BOOST_AUTO_TEST_CASE(leavingEndpoint_entryWrittenLateAfterItsRemoval_staysLeaving)
{
    list.applyDelta({.changed = {.version = 11, .endpoints = {recordOf("a", true)}}});
    list.applyDelta({.changed = {.version = 12, .endpoints = {}}, .gone = std::array<std::string, 1>{"a"}});
    BOOST_TEST(task.hasReceived("gone a"));
    list.applyDelta({.changed = {.version = 13, .endpoints = {recordOf("a")}}});
    BOOST_TEST(!task.hasReceived("endpoint a"));
}

// Guards against passing such an entry on to peers, which know the endpoint only from there.
BOOST_AUTO_TEST_CASE(leavingEndpoint_entryWrittenLate_peersAreToldThatItLeaves)
{
    list.applyDelta({.changed = {.version = 11, .endpoints = {recordOf("a", true)}}});
    list.applyDelta({.changed = {.version = 12, .endpoints = {recordOf("a")}}});
    RecordingTask startingTask;
    EndpointList starting(loop.get(), startingTask, {});
    starting.applyPeerSnapshot(list.encodedSnapshot());
    BOOST_TEST(starting.version() == 12U);
    BOOST_TEST(startingTask.hasReceived("leaving a"));
}

// Guards against an endpoint that restarted in place, and is never used again because its entries don't name their run.
BOOST_AUTO_TEST_CASE(leavingEndpoint_staysListedAsReady_isUsedAgain)
{
    list.applyDelta({.changed = {.version = 11, .endpoints = {recordOf("a", true)}}});
    list.applyDelta({.changed = {.version = 12, .endpoints = {recordOf("a")}}});
    list.confirm(BootClock::now() + 3600ms);
    BOOST_TEST(!task.hasReceived("endpoint a"));
    list.confirm(BootClock::now() + 5s);
    BOOST_TEST(task.hasReceived("endpoint a"));
}

// Guards against an entry that an endpoint wrote before it left without a word, and that the store performs after its removal.
BOOST_AUTO_TEST_CASE(goneEndpoint_entryWrittenLate_isNotUsed)
{
    putHeartbeat(11, 6);
    remove(12);
    putHeartbeat(13, 4);
    list.applySnapshot({.version = 14, .endpoints = {heartbeatOf(13, 4), recordOf("b")}}); // As after the store has lost its history.
    BOOST_TEST(!task.hasReceived("endpoint a"));
    BOOST_TEST(!task.hasReceived("health of a"));
}

// Guards against such an entry that follows its removal within one answer of the store.
BOOST_AUTO_TEST_CASE(goneEndpoint_entryWrittenLateInTheAnswerThatRemovesIt_isNotUsed)
{
    putHeartbeat(11, 6);
    task.updates.clear();
    const std::array<std::string, 1> relisted{"a"};
    list.applyDelta({.changed = {.version = 13, .endpoints = {heartbeatOf(13, 4)}}, .relisted = relisted});
    BOOST_TEST(task.hasReceived("gone a"));
    BOOST_TEST(!task.hasReceived("endpoint a"));
}

// Guards against cutting off an endpoint whose entry lapsed and was renewed.
BOOST_AUTO_TEST_CASE(goneEndpoint_entryRenewedInTheAnswerThatRemovesIt_staysInUse)
{
    putHeartbeat(11, 6);
    task.updates.clear();
    const std::array<std::string, 1> relisted{"a"};
    list.applyDelta({.changed = {.version = 13, .endpoints = {heartbeatOf(13, 9)}}, .relisted = relisted});
    BOOST_TEST(task.updates == (Updates{"endpoint a"}), boost::test_tools::per_element());
}

// Guards against an endpoint that was cut off from the store, and is kept unused after its return.
BOOST_AUTO_TEST_CASE(goneEndpoint_listedAgainAndHealthy_isUsedAgain)
{
    putHeartbeat(11, 6);
    remove(12);
    putHeartbeat(13, 9);
    BOOST_TEST(!task.hasReceived("endpoint a"));
    BOOST_REQUIRE(task.healthQuestions.size() == 1U);
    task.healthQuestions.front()(true);
    BOOST_TEST(task.hasReceived("endpoint a"));
    list.applySnapshot({.version = 14, .endpoints = {heartbeatOf(13, 9), recordOf("b")}});
    BOOST_TEST(task.healthQuestions.size() == 1U);
}

// Guards against an answer of before a second removal that makes the entry use the endpoint.
BOOST_AUTO_TEST_CASE(goneEndpoint_healthyWhenRemovedAgain_isNotUsed)
{
    putHeartbeat(11, 6);
    remove(12);
    putHeartbeat(13, 9);
    BOOST_REQUIRE(task.healthQuestions.size() == 1U);
    remove(14);
    putHeartbeat(15, 8);
    task.healthQuestions.front()(true);
    BOOST_TEST(!task.hasReceived("endpoint a"));
}

// Guards against an endpoint that is asked without end, and against one that is asked once only, before it accepts connections again.
BOOST_AUTO_TEST_CASE(goneEndpoint_notHealthy_isAskedTwice)
{
    EndpointList impatient(loop.get(), task, {.renewalInterval = 50ms, .recoveryTime = 10ms});
    impatient.applySnapshot({.version = 10, .endpoints = {recordOf("a")}});
    impatient.confirm(BootClock::now());
    impatient.applyDelta({.changed = {.version = 11, .endpoints = {}}, .gone = std::array<std::string, 1>{"a"}});
    impatient.applyDelta({.changed = {.version = 12, .endpoints = {recordOf("a")}}});
    task.updates.clear();
    BOOST_REQUIRE(task.healthQuestions.size() == 1U);
    task.healthQuestions[0](false);
    BOOST_REQUIRE(runUntil([this] { return task.healthQuestions.size() == 2U; }));
    task.healthQuestions[1](false);
    BOOST_TEST(!runUntil([this] { return task.healthQuestions.size() > 2U; }, 300ms));
    BOOST_TEST(!task.hasReceived("endpoint a"));
    impatient.confirm(BootClock::now() + 1s);
    BOOST_TEST(task.hasReceived("endpoint a"));
}

// Guards against peers that use an endpoint which this entry holds back, because its list names it as ready.
BOOST_AUTO_TEST_CASE(goneEndpoint_entryWrittenLate_peersHoldItBackToo)
{
    putHeartbeat(11, 6);
    remove(12);
    putHeartbeat(13, 4);
    RecordingTask peerTask;
    EndpointList peer(loop.get(), peerTask, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    peer.applyPeerSnapshot(list.encodedSnapshot());
    BOOST_TEST(peerTask.hasReceived("endpoint b"));
    BOOST_TEST(!peerTask.hasReceived("endpoint a"));
}

// Guards against holding back what had left the list in an outage of the store only, and was in use all the while.
BOOST_AUTO_TEST_CASE(retainedEndpoint_listedAgain_staysInUse)
{
    EndpointList reconnected(loop.get(), task, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    reconnected.applySnapshot({.version = 10, .endpoints = {recordOf("a")}});
    reconnected.confirm(BootClock::now() - 5s);
    reconnected.applyDelta({.changed = {.version = 11, .endpoints = {}}, .gone = std::array<std::string, 1>{"a"}});
    task.updates.clear();
    reconnected.applyDelta({.changed = {.version = 12, .endpoints = {recordOf("a")}}});
    BOOST_TEST(task.updates == (Updates{"endpoint a"}), boost::test_tools::per_element());
}

// Guards against passing a list on to peers under an older version because none of its entries is in force.
BOOST_AUTO_TEST_CASE(document_afterOutdatedEntries_hasTheNewVersion)
{
    EndpointRecord later = recordOf("a");
    later.incarnation = StatedIncarnation(2000);
    EndpointRecord earlier = recordOf("a");
    earlier.incarnation = StatedIncarnation(1000);
    list.applyDelta({.changed = {.version = 11, .endpoints = {later}}});
    (void)list.encodedSnapshot();
    list.applyDelta({.changed = {.version = 12, .endpoints = {earlier}}});
    const auto published = routing::decodeSnapshot(list.encodedSnapshot());
    BOOST_REQUIRE(published.has_value());
    BOOST_TEST(published->version == 12U);
}

BOOST_AUTO_TEST_CASE(peersList_unreadable_changesNothing)
{
    list.applyPeerSnapshot("no list");
    BOOST_TEST(task.updates.empty());
    BOOST_TEST(list.version() == 10U);
}

BOOST_AUTO_TEST_CASE(document_afterARemoval_omitsTheEndpoint)
{
    list.applyDelta({.changed = {.version = 11, .endpoints = {}}, .gone = std::array<std::string, 1>{"a"}});
    const auto published = routing::decodeSnapshot(list.encodedSnapshot());
    BOOST_REQUIRE(published.has_value());
    BOOST_TEST((published->endpoints == std::vector{recordOf("b")}));
    BOOST_TEST(published->version == 11U);
}

BOOST_AUTO_TEST_CASE(endpoints_missingAfterAnOutage_areRemovedAfterTheComeBackTime)
{
    EndpointList reconnected(loop.get(), task, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    reconnected.applySnapshot({.version = 10, .endpoints = {recordOf("a")}});
    reconnected.confirm(BootClock::now() - 5s);
    task.updates.clear();
    reconnected.applySnapshot({.version = 11, .endpoints = {}});
    reconnected.confirm(BootClock::now());
    BOOST_TEST(task.updates.empty());
    BOOST_TEST(runUntil([this] { return !task.updates.empty(); }, 2000ms));
    BOOST_TEST(task.updates == (Updates{"gone a"}), boost::test_tools::per_element());
}

// An entry that had lost contact with the store retains missing endpoints for a while. Guards against a removed endpoint being added again from
// such a peer's list: the store reports each removal once, so nothing would remove it a second time.
BOOST_AUTO_TEST_CASE(peersList_withEndpointThatThePeerOnlyRetains_doesNotAddItAgain)
{
    EndpointList retaining(loop.get(), task, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    retaining.applySnapshot({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
    retaining.confirm(BootClock::now() - 5s);
    list.applyDelta({.changed = {.version = 15, .endpoints = {}}, .gone = std::array<std::string, 1>{"a"}});
    list.confirm(BootClock::now());
    retaining.applyDelta({.changed = {.version = 20, .endpoints = {}}, .gone = std::array<std::string, 1>{"a"}});
    retaining.confirm(BootClock::now());
    task.updates.clear();
    list.applyPeerSnapshot(retaining.encodedSnapshot());
    list.confirm(BootClock::now());
    BOOST_TEST(!task.hasReceived("endpoint a"));
    const auto published = routing::decodeSnapshot(list.encodedSnapshot());
    BOOST_REQUIRE(published.has_value());
    BOOST_TEST((published->endpoints == std::vector{recordOf("b")}));
}

// After an outage two entries retain the same removed endpoint for a while. Guards against one of them keeping it for ever because the other's list
// contains it.
BOOST_AUTO_TEST_CASE(peersList_withEndpointThatBothOnlyRetain_isStillRemoved)
{
    RecordingTask otherTask;
    EndpointList retaining(loop.get(), task, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    EndpointList reconnected(loop.get(), otherTask, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    for (EndpointList *each : {&retaining, &reconnected}) {
        each->applySnapshot({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
        each->confirm(BootClock::now() - 5s);
    }
    reconnected.applyDelta({.changed = {.version = 15, .endpoints = {}}, .gone = std::array<std::string, 1>{"a"}});
    reconnected.confirm(BootClock::now());
    retaining.applyDelta({.changed = {.version = 20, .endpoints = {}}, .gone = std::array<std::string, 1>{"a"}});
    retaining.confirm(BootClock::now());
    reconnected.applyPeerSnapshot(retaining.encodedSnapshot());
    reconnected.confirm(BootClock::now());
    BOOST_TEST(runUntil([&] { return otherTask.hasReceived("gone a"); }, 2000ms));
}

// Guards against an entry that reads only its peers' lists never learning that a peer has removed an endpoint after retaining it for a while: the
// peer's list gets no new version with that removal.
BOOST_AUTO_TEST_CASE(peersList_retainedEndpointRemovedByThePeerLater_isRemovedHereToo)
{
    RecordingTask otherTask;
    EndpointList peerReader(loop.get(), otherTask, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    peerReader.applySnapshot({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
    peerReader.confirm(BootClock::now());
    EndpointList retaining(loop.get(), task, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    retaining.applySnapshot({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
    retaining.confirm(BootClock::now() - 5s);
    retaining.applyDelta({.changed = {.version = 20, .endpoints = {}}, .gone = std::array<std::string, 1>{"a"}});
    retaining.confirm(BootClock::now());
    const auto pollPeer = [&] {
        if (retaining.version() > peerReader.version()) {
            peerReader.applyPeerSnapshot(retaining.encodedSnapshot());
        }
        peerReader.confirm(BootClock::now());
    };
    pollPeer();
    task.updates.clear();
    BOOST_REQUIRE(runUntil([&] { return task.hasReceived("gone a"); }, 2000ms));
    pollPeer();
    BOOST_TEST(runUntil([&] { return otherTask.hasReceived("gone a"); }, 1000ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
