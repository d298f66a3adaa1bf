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
using Texts = std::vector<std::string>;

EndpointRecord recordOf(const std::string &id, bool isLeaving = false)
{
    return {.id = id, .service = "s", .address = "10.0.0.9:80", .dataCentre = "north", .slots = 4, .isLeaving = isLeaving, .incarnation = 0};
}

struct EndpointListFixture : http::LoopFixture {
    EndpointListFixture()
    {
        list.takeAll({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
        list.confirmed(BootClock::now());
        notes.updates.clear();
    }

    RecordingTask notes;
    EndpointList list{loop.get(), notes, {.renewalInterval = 1200ms, .comeBackTime = 100ms}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointListTest, EndpointListFixture)

BOOST_AUTO_TEST_CASE(changes_told_areInForceAtOnce)
{
    list.takeChanges({.version = 11, .endpoints = {recordOf("b", true), recordOf("c")}}, std::array<std::string, 1>{"a"});
    BOOST_TEST(notes.updates == (Texts{"leaving b", "endpoint c", "gone a"}), boost::test_tools::per_element());
    BOOST_TEST(list.version() == 11U);
}

// Guards against an endpoint that has left coming back by the store's answer to a question put before a peer told of its leaving.
BOOST_AUTO_TEST_CASE(answers_olderThanWhatAPeerTold_areNotTaken)
{
    EndpointList peer(loop.get(), notes, {});
    peer.takeAll({.version = 20, .endpoints = {recordOf("b")}});
    notes.updates.clear();
    list.takePeers(peer.document());
    BOOST_TEST(notes.updates == (Texts{"endpoint b", "gone a"}), boost::test_tools::per_element());
    notes.updates.clear();
    list.takeChanges({.version = 15, .endpoints = {recordOf("a")}}, {});
    list.takeAll({.version = 15, .endpoints = {recordOf("a")}});
    BOOST_TEST(notes.updates.empty());
    BOOST_TEST(list.version() == 20U);
}

BOOST_AUTO_TEST_CASE(peersList_unreadable_changesNothing)
{
    list.takePeers("no list");
    BOOST_TEST(notes.updates.empty());
    BOOST_TEST(list.version() == 10U);
}

BOOST_AUTO_TEST_CASE(document_afterARemoval_isWithoutIt)
{
    list.takeChanges({.version = 11, .endpoints = {}}, std::array<std::string, 1>{"a"});
    const auto told = routing::decodeListing(list.document());
    BOOST_REQUIRE(told.has_value());
    BOOST_TEST((told->endpoints == std::vector{recordOf("b")}));
    BOOST_TEST(told->version == 11U);
}

BOOST_AUTO_TEST_CASE(entries_missingAfterAnOutage_areGivenUpOnceTheyCouldBeBack)
{
    EndpointList lapsed(loop.get(), notes, {.renewalInterval = 1200ms, .comeBackTime = 100ms});
    lapsed.takeAll({.version = 10, .endpoints = {recordOf("a")}});
    lapsed.confirmed(BootClock::now() - 5s);
    notes.updates.clear();
    lapsed.takeAll({.version = 11, .endpoints = {}});
    lapsed.confirmed(BootClock::now());
    BOOST_TEST(notes.updates.empty());
    BOOST_TEST(runUntil([this] { return !notes.updates.empty(); }, 2000ms));
    BOOST_TEST(notes.updates == (Texts{"gone a"}), boost::test_tools::per_element());
}

// Guards against an endpoint that has left being brought back by a peer that still keeps it after its own silence: the store
// tells of each removal once, so nothing takes it away again.
BOOST_AUTO_TEST_CASE(peersList_withEndpointThatThePeerOnlyKeeps_doesNotBringItBack)
{
    EndpointList keeping(loop.get(), notes, {.renewalInterval = 1200ms, .comeBackTime = 100ms});
    keeping.takeAll({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
    keeping.confirmed(BootClock::now() - 5s);
    list.takeChanges({.version = 15, .endpoints = {}}, std::array<std::string, 1>{"a"});
    list.confirmed(BootClock::now());
    keeping.takeChanges({.version = 20, .endpoints = {}}, std::array<std::string, 1>{"a"});
    keeping.confirmed(BootClock::now());
    notes.updates.clear();
    list.takePeers(keeping.document());
    list.confirmed(BootClock::now());
    BOOST_TEST(!notes.hasReceived("endpoint a"));
    const auto told = routing::decodeListing(list.document());
    BOOST_REQUIRE(told.has_value());
    BOOST_TEST((told->endpoints == std::vector{recordOf("b")}));
}

// Guards against the same endpoint being kept for good by an entry that keeps it for a while itself, once a peer's list has named it.
BOOST_AUTO_TEST_CASE(peersList_withEndpointThatBothOnlyKeep_isStillGivenUp)
{
    RecordingTask own;
    EndpointList keeping(loop.get(), notes, {.renewalInterval = 1200ms, .comeBackTime = 100ms});
    EndpointList lapsed(loop.get(), own, {.renewalInterval = 1200ms, .comeBackTime = 100ms});
    for (EndpointList *each : {&keeping, &lapsed}) {
        each->takeAll({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
        each->confirmed(BootClock::now() - 5s);
    }
    lapsed.takeChanges({.version = 15, .endpoints = {}}, std::array<std::string, 1>{"a"});
    lapsed.confirmed(BootClock::now());
    keeping.takeChanges({.version = 20, .endpoints = {}}, std::array<std::string, 1>{"a"});
    keeping.confirmed(BootClock::now());
    lapsed.takePeers(keeping.document());
    lapsed.confirmed(BootClock::now());
    BOOST_TEST(runUntil([&] { return own.hasReceived("gone a"); }, 2000ms));
}

// Guards against an entry that follows its peers alone never hearing that an endpoint which a peer kept for a while is gone: the peer gives it up without a new
// version.
BOOST_AUTO_TEST_CASE(peersList_endpointGivenUpByPeerLater_isGivenUpHereToo)
{
    RecordingTask own;
    EndpointList follower(loop.get(), own, {.renewalInterval = 1200ms, .comeBackTime = 100ms});
    follower.takeAll({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
    follower.confirmed(BootClock::now());
    EndpointList keeping(loop.get(), notes, {.renewalInterval = 1200ms, .comeBackTime = 100ms});
    keeping.takeAll({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
    keeping.confirmed(BootClock::now() - 5s);
    keeping.takeChanges({.version = 20, .endpoints = {}}, std::array<std::string, 1>{"a"});
    keeping.confirmed(BootClock::now());
    const auto askPeer = [&] {
        if (keeping.version() > follower.version()) {
            follower.takePeers(keeping.document());
        }
        follower.confirmed(BootClock::now());
    };
    askPeer();
    notes.updates.clear();
    BOOST_REQUIRE(runUntil([&] { return notes.hasReceived("gone a"); }, 2000ms));
    askPeer();
    BOOST_TEST(runUntil([&] { return own.hasReceived("gone a"); }, 1000ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
