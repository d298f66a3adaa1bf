#include "routing/endpointroster.h"
#include "routing/endpointsnapshot.h"
#include "routing/freshnessproof.h"
#include "routing/retryallowance.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <vector>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;
using Ids = std::vector<std::string>;

const BootTime Start = BootTime(1h);

} // namespace

BOOST_AUTO_TEST_SUITE(FreshnessProofTest)

BOOST_AUTO_TEST_CASE(proof_olderThanTheBound_isNotFresh)
{
    FreshnessProof proof({.bound = 5000ms, .margin = 200ms});
    proof.confirm(Start);
    BOOST_TEST(proof.isFresh(Start + 4800ms));
    BOOST_TEST(!proof.isFresh(Start + 4801ms));
}

BOOST_AUTO_TEST_CASE(proof_outdatedConfirmation_doesNotAgeIt)
{
    FreshnessProof proof({.bound = 5000ms, .margin = 0ms});
    proof.confirm(Start + 3s);
    proof.confirm(Start);
    BOOST_TEST(proof.isFresh(Start + 8s));
}

BOOST_AUTO_TEST_CASE(proof_neverConfirmed_isNotFresh)
{
    const FreshnessProof proof(FreshnessProof::Options{});
    BOOST_TEST(!proof.isFresh(BootClock::now()));
}

BOOST_AUTO_TEST_CASE(proof_boundZero_isAlwaysFresh)
{
    const FreshnessProof proof({.bound = 0ms});
    BOOST_TEST(proof.isFresh(Start));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RetryAllowanceTest)

// Guards against the instances together sending more retries than the budget allows when callers are distributed unevenly: each instance's part must
// depend on its own requests instead of being an equal part of the total.
BOOST_AUTO_TEST_CASE(manyInstances_unevenCallers_totalIsWithinBudgetInEveryWindow)
{
    constexpr double Share = 0.2;
    constexpr double Constant = 90;
    constexpr int Seconds = 60;
    const std::array<int, 6> perSecond{200, 40, 5, 1, 0, 3};
    std::vector<RetryAllowance> instances(perSecond.size(),
                                          RetryAllowance({.share = Share, .constant = Constant, .window = 10s, .precededUntil = std::nullopt}));
    std::array<int, Seconds> requests{};
    std::array<int, Seconds> retries{};
    for (int second = 0; second < Seconds; ++second) {
        for (std::size_t index = 0; index < instances.size(); ++index) {
            for (int request = 0; request < perSecond[index]; ++request) {
                const BootTime now = Start + std::chrono::seconds(second) + request * 1000ms / perSecond[index];
                instances[index].onRequest(now);
                ++requests[second];
                retries[second] += instances[index].tryRetry(now) ? 1 : 0; // Every request asks for a retry.
            }
        }
    }
    for (int first = 0; first + 10 <= Seconds; ++first) {
        int requested = 0;
        int retried = 0;
        for (int second = first; second < first + 10; ++second) {
            requested += requests[second];
            retried += retries[second];
        }
        BOOST_TEST(retried <= Share * requested + Constant);
        BOOST_TEST(retried >= 0.5 * Share * requested);
    }
}

BOOST_AUTO_TEST_CASE(instance_withoutRequests_hasAFewRetries)
{
    RetryAllowance allowance({.share = 0.2, .constant = 90, .window = 10s, .instances = 8, .precededUntil = std::nullopt});
    int allowed = 0;
    while (allowed < 100 && allowance.tryRetry(Start)) {
        ++allowed;
    }
    BOOST_TEST(allowed >= 1);
    BOOST_TEST(allowed <= 90 / 8);
}

// Guards against entries that don't know how many they are taking each a fixed part of the budget.
BOOST_AUTO_TEST_CASE(instance_withoutTheirNumber_hasOnlyItsShare)
{
    RetryAllowance allowance({.share = 0.2, .constant = 90, .window = 10s, .precededUntil = std::nullopt});
    BOOST_TEST(!allowance.tryRetry(Start));
    for (int request = 0; request < 10; ++request) {
        allowance.onRequest(Start);
    }
    BOOST_TEST(allowance.tryRetry(Start));
    BOOST_TEST(!allowance.tryRetry(Start));
}

// Guards against a deployment of hundreds of entries exceeding its retry budget when a group crashes: the part of the constant must depend on the number
// of instances instead of being fixed.
BOOST_AUTO_TEST_CASE(constant_anyNumberOfInstances_totalIsWithinBudgetAndHalfIsUsed)
{
    for (const std::size_t instances : {1U, 4U, 14U, 45U}) {
        int allowed = 0;
        for (std::size_t index = 0; index < instances; ++index) {
            RetryAllowance allowance({.share = 0.2, .constant = 90, .window = 10s, .precededUntil = std::nullopt});
            allowance.setInstances(instances);
            while (allowance.tryRetry(Start)) {
                ++allowed;
            }
        }
        BOOST_TEST(allowed <= 90);
        BOOST_TEST(allowed >= 40);
    }
    RetryAllowance one({.share = 0.2, .constant = 90, .window = 10s, .precededUntil = std::nullopt});
    one.setInstances(420);
    BOOST_TEST(!one.tryRetry(Start)); // The part of each instance is less than one.
}

BOOST_AUTO_TEST_CASE(retries_afterTheWindow_areAllowedAgain)
{
    RetryAllowance allowance({.share = 0, .constant = 2, .window = 10s, .instances = 1, .precededUntil = std::nullopt});
    BOOST_TEST(allowance.tryRetry(Start));
    BOOST_TEST(!allowance.tryRetry(Start + 9s));
    BOOST_TEST(!allowance.tryRetry(Start + 12s)); // The first may have arrived up to a quarter of the window later.
    BOOST_TEST(allowance.tryRetry(Start + 13s));
}

// Guards against a restarted process using the whole budget at once, although the process before it may have just done so.
BOOST_AUTO_TEST_CASE(process_afterAnother_earnsItsPartAsTimePasses)
{
    RetryAllowance allowance({.share = 0.2, .constant = 40, .window = 10s, .instances = 1, .precededUntil = Start});
    const auto takeAll = [&allowance](BootTime now) {
        int taken = 0;
        while (allowance.tryRetry(now)) {
            ++taken;
        }
        return taken;
    };
    BOOST_TEST(takeAll(Start) == 0);
    BOOST_TEST(takeAll(Start + 2s) == 2);
    BOOST_TEST(takeAll(Start + 10s) == 8);
    BOOST_TEST(takeAll(Start + 13s) >= 10); // No process before it has a retry in the window any more.
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

EndpointRecord recordOf(const std::string &id)
{
    return {.id = id, .service = "s", .address = "10.0.0.9:80", .dataCentre = "north", .slots = 12, .isLeaving = false, .incarnation = {}};
}

struct EndpointRosterFixture {
    EndpointRosterFixture()
    {
        put("a");
        put("b");
    }

    void put(const std::string &id)
    {
        roster.put(recordOf(id));
    }

    /** The list was last known to be available this long before Start. */
    void setListSilentFor(Duration silence)
    {
        roster.onListConfirmed(Start - silence, Start - silence);
    }

    // Entries expire after three missed renewals, so in an outage of at least 2.4 s.
    EndpointRoster roster{{.renewalInterval = 1200ms, .recoveryTime = 2200ms}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointRosterTest, EndpointRosterFixture)

BOOST_AUTO_TEST_CASE(entry_removed_isDueAtOnce)
{
    roster.onEntryRemoved("a", Start);
    BOOST_TEST(roster.takeDueRemovals(Start) == (Ids{"a"}), boost::test_tools::per_element());
    BOOST_TEST(roster.takeDueRemovals(Start + 1h).empty());
}

BOOST_AUTO_TEST_CASE(entries_expiredInAnOutage_areRetainedForTheRecoveryTime)
{
    // Guards against all endpoints of a service being removed while they serve: after an outage longer than the expiry of entries, the first response
    // of the list contains none of them, because they could not be renewed.
    setListSilentFor(2400ms);
    roster.onFullList(Ids{}, Start);
    roster.onListConfirmed(Start, Start);
    BOOST_TEST(roster.takeDueRemovals(Start + 2199ms).empty());
    put("b");
    roster.onListConfirmed(Start + 2100ms, Start + 2100ms);
    BOOST_TEST(roster.takeDueRemovals(Start + 2200ms) == (Ids{"a"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(entry_expiredSoonAfterAnOutage_isRetainedForTheRecoveryTime)
{
    // The list may drop expired entries only some time after it is available again.
    setListSilentFor(10s);
    roster.onListConfirmed(Start, Start);
    roster.onEntryRemoved("a", Start + 500ms);
    BOOST_TEST(roster.takeDueRemovals(Start + 2199ms).empty());
    BOOST_TEST(roster.takeDueRemovals(Start + 2200ms) == (Ids{"a"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(entry_removedLongAfterAnOutage_isDueAtOnce)
{
    setListSilentFor(10s);
    roster.onListConfirmed(Start, Start);
    roster.onListConfirmed(Start + 2s, Start + 2s);
    roster.onEntryRemoved("a", Start + 3s);
    BOOST_TEST(roster.takeDueRemovals(Start + 3s) == (Ids{"a"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(entry_removedInASilenceShorterThanExpiry_isDueAtOnce)
{
    // Guards against an endpoint that left getting requests for two more seconds: one poll hangs, the next one reports the removal, and the short
    // silence must not count as an outage of the list.
    setListSilentFor(2399ms);
    roster.onFullList(Ids{"b"}, Start);
    BOOST_TEST(roster.takeDueRemovals(Start) == (Ids{"a"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(entry_removedWhilePeersConfirmedTheList_isDueAtOnce)
{
    // As above, but this instance was disconnected for long while its peers confirmed the list.
    setListSilentFor(12s);
    for (Duration before = 11300ms; before > 0ms; before -= 700ms) {
        roster.onListConfirmed(Start - before - 1s, Start - before); // Interval of the questions to peers, which poll the list once a second.
    }
    roster.onFullList(Ids{"b"}, Start);
    BOOST_TEST(roster.takeDueRemovals(Start) == (Ids{"a"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(list_unavailableAgain_noRemovalIsDue)
{
    setListSilentFor(10s);
    roster.onEntryRemoved("a", Start);
    roster.onListConfirmed(Start, Start);
    BOOST_TEST(roster.takeDueRemovals(Start + 10s).empty());
}

BOOST_AUTO_TEST_CASE(fullList_entryMissing_isRemoved)
{
    roster.onFullList(Ids{"b", "c"}, Start);
    BOOST_TEST(roster.takeDueRemovals(Start) == (Ids{"a"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(snapshot_retainedEntry_isIncluded)
{
    // A peer that gets the snapshot must not remove endpoints that this instance retains.
    const auto countEndpoints = [this](BootTime now) {
        const EndpointSnapshot snapshot = roster.snapshot(1, now);
        return snapshot.endpoints.size() + snapshot.retained.size();
    };
    setListSilentFor(10s);
    roster.onEntryRemoved("a", Start);
    BOOST_TEST(countEndpoints(Start) == 2U);
    roster.onListConfirmed(Start, Start);
    roster.onListConfirmed(Start + 2s, Start + 2s);
    roster.takeDueRemovals(Start + 2200ms);
    BOOST_TEST(countEndpoints(Start + 2200ms) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EndpointSnapshotTest)

BOOST_AUTO_TEST_CASE(snapshot_encodedAndDecoded_isUnchanged)
{
    EndpointRecord leaving = recordOf("a");
    leaving.isLeaving = true;
    leaving.incarnation = StatedIncarnation(1'800'000'000'000);
    leaving.listedAt = 12;
    const auto decoded = decodeSnapshot(encodeSnapshot({.version = 77, .endpoints = {leaving, recordOf("b")}}));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->version == 77U);
    BOOST_REQUIRE(decoded->endpoints.size() == 2U);
    BOOST_TEST((decoded->endpoints[0] == leaving));
    BOOST_TEST((decoded->endpoints[1] == recordOf("b")));
}

BOOST_AUTO_TEST_CASE(snapshot_truncatedOrMalformed_isAnError)
{
    const std::string whole = encodeSnapshot({.version = 77, .endpoints = {recordOf("a")}});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        BOOST_TEST(!decodeSnapshot(std::string_view(whole).substr(0, length)).has_value(), length);
    }
    BOOST_TEST(!decodeSnapshot("no list").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
