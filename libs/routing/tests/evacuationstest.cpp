#include "routing/endpointtable.h"
#include "routing/evacuationroster.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;
using DataCentres = EvacuationRoster::DataCentres;

const BootTime Now = BootTime(1h);
constexpr Duration Retention{30000};

struct RosterFixture {
    RosterFixture()
    {
        BOOST_REQUIRE(roster.apply(EvacuationSnapshot{.version = 10, .dataCentres = {"east"}}, Now));
    }

    bool isInForce(const DataCentres &expected) const
    {
        return roster.dataCentres() == expected;
    }

    EvacuationRoster roster{{.retention = Retention}};
};

/** Two endpoints of the service "s" in each of three data centres. */
struct EvacuatedTableFixture {
    EvacuatedTableFixture()
    {
        for (const std::string dataCentre : {"east", "north", "west"}) {
            for (const std::string number : {"1", "2"}) {
                const std::string id = dataCentre + number;
                table.put({.id = id, .service = "s", .address = id + ":80", .dataCentre = dataCentre, .slots = 4});
            }
        }
    }

    void evacuate(DataCentres dataCentres)
    {
        table.setEvacuations({.version = ++version, .dataCentres = std::move(dataCentres)});
    }

    /** @return the data centres of the endpoints chosen for 200 requests. */
    DataCentres chosenDataCentres()
    {
        DataCentres chosen;
        for (int count = 0; count < 200; ++count) {
            const EndpointPointer endpoint = table.choose({.service = "s"}, Now, random);
            chosen.insert(endpoint == nullptr ? "none" : endpoint->record.dataCentre);
        }
        return chosen;
    }

    EndpointTable table{{.dataCentre = "north"}};
    Random random{42};
    std::uint64_t version = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationRosterTest, RosterFixture)

BOOST_AUTO_TEST_CASE(changes_twoDataCentresOneAfterTheOther_bothAreInForce)
{
    BOOST_TEST(roster.apply(EvacuationChanges{.version = 11, .begun = {"west"}}));
    BOOST_TEST(isInForce({"east", "west"}));
    BOOST_TEST(roster.apply(EvacuationChanges{.version = 12, .ended = {"east"}}));
    BOOST_TEST(isInForce({"west"}));
    BOOST_TEST(roster.version() == 12U);
}

BOOST_AUTO_TEST_CASE(changes_takenBackAndAskedForAgain_isInForce)
{
    roster.apply(EvacuationChanges{.version = 11, .ended = {"east"}});
    BOOST_TEST(isInForce({}));
    roster.apply(EvacuationChanges{.version = 12, .begun = {"east"}});
    BOOST_TEST(isInForce({"east"}));
}

BOOST_AUTO_TEST_CASE(list_inFull_replacesAll)
{
    BOOST_TEST(roster.apply(EvacuationSnapshot{.version = 20, .dataCentres = {"west"}}, Now));
    BOOST_TEST(isInForce({"west"}));
}

// Guards against an answer of the store that arrives late and undoes what a peer has passed on.
BOOST_AUTO_TEST_CASE(answers_olderThanTheKnownVersion_changeNothing)
{
    roster.apply(EvacuationSnapshot{.version = 20, .dataCentres = {"east", "west"}}, Now);
    BOOST_TEST(!roster.apply(EvacuationChanges{.version = 19, .ended = {"east"}}));
    BOOST_TEST(!roster.apply(EvacuationSnapshot{.version = 15}, Now));
    BOOST_TEST(isInForce({"east", "west"}));
    BOOST_TEST(roster.version() == 20U);
}

// Guards against requests to an evacuated data centre because the store was restored from a copy without the operator's row.
BOOST_AUTO_TEST_CASE(storeRestored_rowIsMissing_evacuationIsRetainedForAWhile)
{
    roster.onStoreRestored(Now);
    roster.apply(EvacuationSnapshot{.version = 1000}, Now);
    BOOST_TEST(isInForce({"east"}));
    BOOST_TEST((roster.nextExpiryAt() == Now + Retention));
    BOOST_TEST(roster.takeExpired(Now + Retention - 1ms).empty());
    roster.apply(EvacuationSnapshot{.version = 1001}, Now + 10s); // Another list does not end it.
    BOOST_TEST(isInForce({"east"}));
    BOOST_TEST((roster.takeExpired(Now + Retention) == DataCentres{"east"}));
    BOOST_TEST(isInForce({}));
    BOOST_TEST(!roster.nextExpiryAt());
}

BOOST_AUTO_TEST_CASE(storeRestored_rowIsWrittenAgain_evacuationLasts)
{
    roster.onStoreRestored(Now);
    roster.apply(EvacuationSnapshot{.version = 1000}, Now);
    roster.apply(EvacuationChanges{.version = 1001, .begun = {"east"}});
    BOOST_TEST(roster.takeExpired(Now + 2 * Retention).empty());
    BOOST_TEST(isInForce({"east"}));
}

BOOST_AUTO_TEST_CASE(storeRestored_takenBack_evacuationEndsAtOnce)
{
    roster.onStoreRestored(Now);
    roster.apply(EvacuationSnapshot{.version = 1000}, Now);
    roster.apply(EvacuationChanges{.version = 1001, .ended = {"east"}});
    BOOST_TEST(isInForce({}));
}

// Guards against a second restore, e.g. a drill that is repeated, that prolongs a retained evacuation each time.
BOOST_AUTO_TEST_CASE(storeRestored_twice_retentionIsNotProlonged)
{
    roster.onStoreRestored(Now);
    roster.onStoreRestored(Now + 20s);
    BOOST_TEST((roster.nextExpiryAt() == Now + Retention));
}

BOOST_AUTO_TEST_CASE(snapshot_passedToAPeer_hasTheSameInForce)
{
    roster.onStoreRestored(Now);
    roster.apply(EvacuationSnapshot{.version = 1000, .dataCentres = {"west"}}, Now);
    const auto document = decodeEvacuations(encodeEvacuations(roster.snapshot(Now + 10s)));
    BOOST_REQUIRE(document.has_value());
    EvacuationRoster peer({.retention = Retention});
    BOOST_TEST(peer.apply(*document, Now + 10s));
    BOOST_TEST((peer.dataCentres() == DataCentres{"east", "west"}));
    BOOST_TEST((peer.nextExpiryAt() == Now + Retention));
    BOOST_TEST(peer.version() == 1000U);
}

BOOST_AUTO_TEST_CASE(document_unreadable_isAnError)
{
    BOOST_TEST(!decodeEvacuations("").has_value());
    BOOST_TEST(!decodeEvacuations("not cbor").has_value());
    const std::string whole = encodeEvacuations({.version = 5, .dataCentres = {"east"}});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        BOOST_TEST(!decodeEvacuations(std::string_view(whole).substr(0, length)).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(EvacuatedTableTest, EvacuatedTableFixture)

BOOST_AUTO_TEST_CASE(evacuation_ofOneAndThenAnother_onlyTheRestIsChosen)
{
    evacuate({"north"});
    BOOST_TEST((chosenDataCentres() == DataCentres{"east", "west"}));
    evacuate({"north", "west"});
    BOOST_TEST((chosenDataCentres() == DataCentres{"east"}));
}

BOOST_AUTO_TEST_CASE(evacuation_takenBackAndAskedForAgain_followsTheLast)
{
    evacuate({"north"});
    evacuate({});
    BOOST_TEST(chosenDataCentres().contains("north"));
    evacuate({"north"});
    BOOST_TEST(!chosenDataCentres().contains("north"));
}

BOOST_AUTO_TEST_CASE(evacuation_ofTheLastDataCentre_nothingIsChosen)
{
    evacuate({"east", "north"});
    BOOST_TEST(!table.isEvacuated("s"));
    evacuate({"east", "north", "west"});
    BOOST_TEST((chosenDataCentres() == DataCentres{"none"}));
    BOOST_TEST(table.isEvacuated("s"));
    BOOST_TEST(!table.isEvacuated("other"));
    BOOST_TEST(table.canAdmitStream("s", Now, random)); // Waiting would not help.
}

// Guards against admission that counts on slots of a group's ranks which get no requests although they go on in lock-step.
BOOST_AUTO_TEST_CASE(groupSpansDataCentres_oneIsEvacuated_roomIsReduced)
{
    BOOST_TEST(table.slotsOf("s", Now) == 24U);
    evacuate({"east"});
    BOOST_TEST(table.slotsOf("s", Now) == 16U);
    evacuate({"east", "north", "west"});
    BOOST_TEST(table.slotsOf("s", Now) == 0U);
    evacuate({});
    BOOST_TEST(table.slotsOf("s", Now) == 24U);
}

// Guards against requests to an endpoint that registers while its data centre is evacuated, and to one that moves there.
BOOST_AUTO_TEST_CASE(endpoint_putDuringTheEvacuation_isNotChosen)
{
    evacuate({"south"});
    table.put({.id = "south1", .service = "other", .address = "south1:80", .dataCentre = "south", .slots = 4});
    BOOST_TEST((table.choose({.service = "other"}, Now, random) == nullptr));
    table.put({.id = "south1", .service = "other", .address = "south1:80", .dataCentre = "north", .slots = 4});
    BOOST_TEST((table.choose({.service = "other"}, Now, random) != nullptr));
    table.put({.id = "south1", .service = "other", .address = "south1:80", .dataCentre = "south", .slots = 4});
    BOOST_TEST((table.choose({.service = "other"}, Now, random) == nullptr));
}

// Guards against waiting for an endpoint that gets no requests after its rest either.
BOOST_AUTO_TEST_CASE(endpoints_restAndAreEvacuated_areNotWaitedFor)
{
    for (const EndpointPointer &endpoint : table.endpointsOf("s")) {
        endpoint->stated->availability.onRestStated(1000ms, Now, random);
    }
    BOOST_TEST(table.nextRestEnd({.service = "s"}, Now).has_value());
    BOOST_TEST(!table.isEvacuated("s"));
    evacuate({"east", "north", "west"});
    BOOST_TEST(!table.nextRestEnd({.service = "s"}, Now).has_value());
}

BOOST_AUTO_TEST_CASE(evacuations_set_newlyEvacuatedEndpointsAreReturned)
{
    BOOST_TEST(table.setEvacuations({.version = 1, .dataCentres = {"east"}}).size() == 2U);
    BOOST_TEST(table.setEvacuations({.version = 2, .dataCentres = {"east", "west", "unknown"}}).size() == 2U);
    BOOST_TEST(table.setEvacuations({.version = 3, .dataCentres = {}}).empty());
}

// Guards against dispatching to an evacuated endpoint that was chosen before, e.g. the last one that the route allows.
BOOST_AUTO_TEST_CASE(endpoint_chosenBefore_mayNotBeSentARequest)
{
    const EndpointPointer endpoint = table.find("east1");
    BOOST_TEST(table.mayDispatch(*endpoint, Now, random));
    evacuate({"east"});
    BOOST_TEST(!table.mayDispatch(*endpoint, Now, random));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
