#include "forward/endpointlist.h"

#include "loopfixture.h"
#include "notingtask.h"

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
        list.applySnapshot({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
        list.confirm(BootClock::now());
        notes.told.clear();
    }

    NotingTask notes;
    EndpointList list{loop.get(), notes, {.renewalInterval = 1200ms, .recoveryTime = 100ms}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointListTest, EndpointListFixture)

BOOST_AUTO_TEST_CASE(changes_told_areInForceAtOnce)
{
    list.applyDelta({.version = 11, .endpoints = {recordOf("b", true), recordOf("c")}}, std::array<std::string, 1>{"a"});
    BOOST_TEST(notes.told == (Texts{"leaving b", "endpoint c", "gone a"}), boost::test_tools::per_element());
    BOOST_TEST(list.version() == 11U);
}

// Guards against an endpoint that has left coming back by the store's answer to a question put before a peer told of its leaving.
BOOST_AUTO_TEST_CASE(answers_olderThanWhatAPeerTold_areNotTaken)
{
    EndpointList peer(loop.get(), notes, {});
    peer.applySnapshot({.version = 20, .endpoints = {recordOf("b")}});
    notes.told.clear();
    list.applyPeerSnapshot(peer.encodedSnapshot());
    BOOST_TEST(notes.told == (Texts{"endpoint b", "gone a"}), boost::test_tools::per_element());
    notes.told.clear();
    list.applyDelta({.version = 15, .endpoints = {recordOf("a")}}, {});
    list.applySnapshot({.version = 15, .endpoints = {recordOf("a")}});
    BOOST_TEST(notes.told.empty());
    BOOST_TEST(list.version() == 20U);
}

BOOST_AUTO_TEST_CASE(peersList_unreadable_changesNothing)
{
    list.applyPeerSnapshot("no list");
    BOOST_TEST(notes.told.empty());
    BOOST_TEST(list.version() == 10U);
}

BOOST_AUTO_TEST_CASE(document_afterARemoval_isWithoutIt)
{
    list.applyDelta({.version = 11, .endpoints = {}}, std::array<std::string, 1>{"a"});
    const auto told = routing::decodeSnapshot(list.encodedSnapshot());
    BOOST_REQUIRE(told.has_value());
    BOOST_TEST((told->endpoints == std::vector{recordOf("b")}));
    BOOST_TEST(told->version == 11U);
}

BOOST_AUTO_TEST_CASE(entries_missingAfterAnOutage_areGivenUpOnceTheyCouldBeBack)
{
    EndpointList lapsed(loop.get(), notes, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    lapsed.applySnapshot({.version = 10, .endpoints = {recordOf("a")}});
    lapsed.confirm(BootClock::now() - 5s);
    notes.told.clear();
    lapsed.applySnapshot({.version = 11, .endpoints = {}});
    lapsed.confirm(BootClock::now());
    BOOST_TEST(notes.told.empty());
    BOOST_TEST(runUntil([this] { return !notes.told.empty(); }, 2000ms));
    BOOST_TEST(notes.told == (Texts{"gone a"}), boost::test_tools::per_element());
}

// Guards against an endpoint that has left being brought back by a peer that still keeps it after its own silence: the store
// tells of each removal once, so nothing takes it away again.
BOOST_AUTO_TEST_CASE(peersList_withEndpointThatThePeerOnlyKeeps_doesNotBringItBack)
{
    EndpointList keeping(loop.get(), notes, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    keeping.applySnapshot({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
    keeping.confirm(BootClock::now() - 5s);
    list.applyDelta({.version = 15, .endpoints = {}}, std::array<std::string, 1>{"a"});
    list.confirm(BootClock::now());
    keeping.applyDelta({.version = 20, .endpoints = {}}, std::array<std::string, 1>{"a"});
    keeping.confirm(BootClock::now());
    notes.told.clear();
    list.applyPeerSnapshot(keeping.encodedSnapshot());
    list.confirm(BootClock::now());
    BOOST_TEST(!notes.wasTold("endpoint a"));
    const auto told = routing::decodeSnapshot(list.encodedSnapshot());
    BOOST_REQUIRE(told.has_value());
    BOOST_TEST((told->endpoints == std::vector{recordOf("b")}));
}

// Guards against the same endpoint being kept for good by an entry that keeps it for a while itself, once a peer's list has named it.
BOOST_AUTO_TEST_CASE(peersList_withEndpointThatBothOnlyKeep_isStillGivenUp)
{
    NotingTask own;
    EndpointList keeping(loop.get(), notes, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    EndpointList lapsed(loop.get(), own, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    for (EndpointList *each : {&keeping, &lapsed}) {
        each->applySnapshot({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
        each->confirm(BootClock::now() - 5s);
    }
    lapsed.applyDelta({.version = 15, .endpoints = {}}, std::array<std::string, 1>{"a"});
    lapsed.confirm(BootClock::now());
    keeping.applyDelta({.version = 20, .endpoints = {}}, std::array<std::string, 1>{"a"});
    keeping.confirm(BootClock::now());
    lapsed.applyPeerSnapshot(keeping.encodedSnapshot());
    lapsed.confirm(BootClock::now());
    BOOST_TEST(runUntil([&] { return own.wasTold("gone a"); }, 2000ms));
}

// Guards against an entry that follows its peers alone never hearing that an endpoint which a peer kept for a while is gone: the peer gives it up without a new
// version.
BOOST_AUTO_TEST_CASE(peersList_endpointGivenUpByPeerLater_isGivenUpHereToo)
{
    NotingTask own;
    EndpointList follower(loop.get(), own, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    follower.applySnapshot({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
    follower.confirm(BootClock::now());
    EndpointList keeping(loop.get(), notes, {.renewalInterval = 1200ms, .recoveryTime = 100ms});
    keeping.applySnapshot({.version = 10, .endpoints = {recordOf("a"), recordOf("b")}});
    keeping.confirm(BootClock::now() - 5s);
    keeping.applyDelta({.version = 20, .endpoints = {}}, std::array<std::string, 1>{"a"});
    keeping.confirm(BootClock::now());
    const auto askPeer = [&] {
        if (keeping.version() > follower.version()) {
            follower.applyPeerSnapshot(keeping.encodedSnapshot());
        }
        follower.confirm(BootClock::now());
    };
    askPeer();
    notes.told.clear();
    BOOST_REQUIRE(runUntil([&] { return notes.wasTold("gone a"); }, 2000ms));
    askPeer();
    BOOST_TEST(runUntil([&] { return own.wasTold("gone a"); }, 1000ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
