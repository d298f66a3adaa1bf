#include "routing/listedruns.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

const BootTime Start = BootTime(1h);
const StatedIncarnation FirstRun(1000);
const StatedIncarnation SecondRun(2000);

struct ListedRunsFixture {
    static EndpointRecord ready(StatedIncarnation incarnation = {}, std::uint64_t heartbeat = 0)
    {
        return {.id = "a",
                .service = "s",
                .address = "10.0.0.9:80",
                .dataCentre = "north",
                .slots = 4,
                .isLeaving = false,
                .incarnation = incarnation,
                .heartbeat = heartbeat};
    }
    static EndpointRecord leaving(StatedIncarnation incarnation = {})
    {
        EndpointRecord record = ready(incarnation);
        record.isLeaving = true;
        return record;
    }

    bool isLeavingAfter(const EndpointRecord &record, BootTime now = Start)
    {
        const auto current = runs.apply(record, now);
        BOOST_REQUIRE(current.has_value());
        return current->isLeaving;
    }

    bool isUnprovenAfter(const EndpointRecord &record, BootTime now = Start)
    {
        const auto current = runs.apply(record, now);
        BOOST_REQUIRE(current.has_value());
        return current->isUnproven;
    }

    /** It is missing from the list, and is not kept for a while. */
    void leaveTheList()
    {
        runs.onUnlisted("a", Start);
        runs.onGone("a");
    }

    ListedRuns runs{{.renewalInterval = 1200ms}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ListedRunsTest, ListedRunsFixture)

// Guards against a late entry that makes entries use an endpoint again before it exits.
BOOST_AUTO_TEST_CASE(endpointLeaves_readyEntryOfItsRun_isOutdated)
{
    BOOST_TEST(!isLeavingAfter(ready(FirstRun)));
    BOOST_TEST(isLeavingAfter(leaving(FirstRun)));
    BOOST_TEST(isLeavingAfter(ready(FirstRun)));
    BOOST_TEST(runs.takeConfirmed(Start + 1h).empty());
}

// Guards against a late entry that is performed when the endpoint's last one is already removed.
BOOST_AUTO_TEST_CASE(endpointLeftTheList_readyEntryOfItsRun_isOutdated)
{
    for (const StatedIncarnation &run : {FirstRun, StatedIncarnation()}) {
        runs = ListedRuns({.renewalInterval = 1200ms});
        (void)runs.apply(leaving(run), Start);
        runs.onUnlisted("a", Start);
        BOOST_TEST(isLeavingAfter(ready(run)));
    }
}

// Guards against an endpoint that is kept unused after it restarted under its id.
BOOST_AUTO_TEST_CASE(endpointLeaves_entryOfALaterRun_isInForceAtOnce)
{
    (void)runs.apply(leaving(FirstRun), Start);
    BOOST_TEST(!isLeavingAfter(ready(SecondRun)));
    BOOST_TEST(!isLeavingAfter(ready(SecondRun)));
    runs.onUnlisted("a", Start);
    BOOST_TEST(!isLeavingAfter(ready(SecondRun)));
}

BOOST_AUTO_TEST_CASE(endpointMoved_entryWithoutIncarnation_isOfALaterRun)
{
    (void)runs.apply(leaving(), Start);
    EndpointRecord moved = ready();
    moved.address = "10.0.0.10:80";
    BOOST_TEST(!isLeavingAfter(moved));
}

// Guards against a late entry of an earlier run that replaces that of the run in progress.
BOOST_AUTO_TEST_CASE(laterRunKnown_entryOfAnEarlierRun_isIgnored)
{
    (void)runs.apply(ready(SecondRun), Start);
    BOOST_TEST(!runs.apply(ready(FirstRun), Start).has_value());
    runs.onUnlisted("a", Start);
    BOOST_TEST(!runs.apply(ready(FirstRun), Start).has_value());
}

// Guards against an endpoint that restarted under its id, and is never used again because its entries don't name their run.
BOOST_AUTO_TEST_CASE(runsNotTold_readyEntryOutlivesItsExpiry_isConfirmed)
{
    (void)runs.apply(leaving(), Start);
    BOOST_TEST(isLeavingAfter(ready(), Start + 1s));
    BOOST_TEST(isLeavingAfter(ready(), Start + 3s));
    BOOST_TEST(runs.takeConfirmed(Start + 5799ms).empty());
    const auto confirmed = runs.takeConfirmed(Start + 5800ms);
    BOOST_REQUIRE(confirmed.size() == 1U);
    BOOST_TEST(!confirmed.front().isLeaving);
    BOOST_TEST(!isLeavingAfter(ready(), Start + 6s));
}

// Guards against believing a late entry because of the time before the endpoint's next heartbeat or its removal.
BOOST_AUTO_TEST_CASE(runsNotTold_readyEntryIsOverwrittenOrRemoved_isNotConfirmed)
{
    (void)runs.apply(leaving(), Start);
    (void)runs.apply(ready(), Start + 1s);
    (void)runs.apply(leaving(), Start + 2s);
    BOOST_TEST(runs.takeConfirmed(Start + 1h).empty());
    (void)runs.apply(ready(), Start + 3s);
    runs.onUnlisted("a", Start);
    BOOST_TEST(runs.takeConfirmed(Start + 1h).empty());
}

// Guards against a live endpoint that is kept unused because its entry had expired.
BOOST_AUTO_TEST_CASE(readyEndpoint_returnsToTheList_isInForceAtOnce)
{
    (void)runs.apply(ready(FirstRun), Start);
    runs.onUnlisted("a", Start);
    BOOST_TEST(!isLeavingAfter(ready(FirstRun)));
}

// Guards against a late entry that makes entries use an endpoint again that left without a word.
BOOST_AUTO_TEST_CASE(goneEndpoint_entryOfItsRun_isUnproven)
{
    for (const StatedIncarnation &run : {FirstRun, StatedIncarnation()}) {
        runs = ListedRuns({.renewalInterval = 1200ms});
        (void)runs.apply(ready(run), Start);
        leaveTheList();
        BOOST_TEST(isUnprovenAfter(ready(run)));
        BOOST_TEST(isUnprovenAfter(ready(run), Start + 1s));
    }
}

// Guards against asking an endpoint that has ended, or whose address another one has, because of an entry that shows nothing.
BOOST_AUTO_TEST_CASE(goneEndpoint_entryWrittenBeforeAKnownOne_showsNothing)
{
    (void)runs.apply(ready({}, 6), Start);
    leaveTheList();
    for (const auto &[heartbeat, mayRun] : {std::pair(4U, false), std::pair(6U, false), std::pair(7U, true), std::pair(0U, true)}) {
        BOOST_TEST(isUnprovenAfter(ready({}, heartbeat)));
        BOOST_TEST(runs.mayRun("a") == mayRun);
        BOOST_TEST(runs.mayRun("a") == mayRun); // Also when the list is read again.
    }
}

// Guards against an endpoint that was cut off and is kept unused after its return.
BOOST_AUTO_TEST_CASE(goneEndpoint_showsThatItRuns_isInForce)
{
    (void)runs.apply(ready({}, 6), Start);
    BOOST_TEST(!runs.onShownToRun("a").has_value());
    leaveTheList();
    (void)runs.apply(ready({}, 9), Start);
    const auto shown = runs.onShownToRun("a");
    BOOST_REQUIRE(shown.has_value());
    BOOST_TEST((*shown == ready({}, 9)));
    BOOST_TEST(!isUnprovenAfter(ready({}, 10)));
    BOOST_TEST(!runs.onShownToRun("a").has_value());
}

// Guards against an answer that arrives when the entry has been removed again.
BOOST_AUTO_TEST_CASE(goneEndpoint_showsThatItRunsWhenUnlistedAgain_isNotInForce)
{
    (void)runs.apply(ready(), Start);
    leaveTheList();
    (void)runs.apply(ready(), Start);
    runs.onUnlisted("a", Start);
    BOOST_TEST(!runs.onShownToRun("a").has_value());
}

// Guards against an endpoint that has returned, and is never used again because it states no health.
BOOST_AUTO_TEST_CASE(goneEndpoint_entryOutlivesItsExpiry_isConfirmed)
{
    (void)runs.apply(ready(FirstRun), Start);
    leaveTheList();
    (void)runs.apply(ready(FirstRun), Start + 1s);
    BOOST_TEST(runs.takeConfirmed(Start + 5799ms).empty());
    BOOST_TEST(runs.takeConfirmed(Start + 5800ms).size() == 1U);
    BOOST_TEST(!isUnprovenAfter(ready(FirstRun), Start + 6s));
}

// Guards against late entries that replace one another and are taken for one that is renewed.
BOOST_AUTO_TEST_CASE(goneEndpoint_entriesReplaceOneAnother_eachHasToOutliveItsExpiry)
{
    (void)runs.apply(ready(), Start);
    leaveTheList();
    EndpointRecord late = ready();
    late.listedAt = 20;
    (void)runs.apply(late, Start);
    late.listedAt = 21;
    (void)runs.apply(late, Start + 3s);
    BOOST_TEST(runs.takeConfirmed(Start + 5s).empty());
    BOOST_TEST(runs.takeConfirmed(Start + 7800ms).size() == 1U);
}

// Guards against an endpoint that is kept unused after it started anew under its id.
BOOST_AUTO_TEST_CASE(goneEndpoint_entryOfALaterRun_isInForceAtOnce)
{
    (void)runs.apply(ready(FirstRun, 40), Start);
    leaveTheList();
    BOOST_TEST(!isUnprovenAfter(ready(SecondRun, 1)));
}

// Guards against an entry that starts after the removal, knows the late entry only, and uses the endpoint.
BOOST_AUTO_TEST_CASE(peerSaysUnproven_endpointUnknown_isUnproven)
{
    EndpointRecord told = ready();
    told.isUnproven = true;
    BOOST_TEST(isUnprovenAfter(told));
    BOOST_TEST(runs.mayRun("a"));
    BOOST_TEST(isUnprovenAfter(ready()));
    BOOST_TEST(runs.onShownToRun("a").has_value());
}

// Guards against an entry that missed the removal and goes on using the endpoint, and against one that has its proof and drops it.
BOOST_AUTO_TEST_CASE(peerSaysUnproven_endpointInUse_countsForANewerEntryOnly)
{
    EndpointRecord known = ready();
    known.listedAt = 20;
    BOOST_TEST(!isUnprovenAfter(known));
    EndpointRecord told = known;
    told.isUnproven = true;
    BOOST_TEST(!isUnprovenAfter(told));
    told.listedAt = 21;
    BOOST_TEST(isUnprovenAfter(told));
}

// Guards against memory that grows with each endpoint that ever was on the list.
BOOST_AUTO_TEST_CASE(formerEndpoints_many_oldestIsForgotten)
{
    (void)runs.apply(leaving(FirstRun), Start);
    runs.onUnlisted("a", Start);
    for (int i = 0; i < 4000; ++i) {
        EndpointRecord other = ready();
        other.id = std::to_string(i);
        (void)runs.apply(other, Start);
        runs.onUnlisted(other.id, Start);
    }
    BOOST_TEST(!isLeavingAfter(ready(FirstRun)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
