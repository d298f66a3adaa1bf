#include "routing/listedruns.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

const BootTime Start = BootTime(1h);
const StatedIncarnation FirstRun(1000);
const StatedIncarnation SecondRun(2000);

struct ListedRunsFixture {
    static EndpointRecord ready(StatedIncarnation incarnation = {})
    {
        return {.id = "a", .service = "s", .address = "10.0.0.9:80", .dataCentre = "north", .slots = 4, .isLeaving = false, .incarnation = incarnation};
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
