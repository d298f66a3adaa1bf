#include "routing/coldendpoints.h"
#include "base/random.h"
#include "routing/endpointsnapshot.h"
#include "routing/endpointtable.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration ColdTime{3000};

/** One entry, alone, in front of endpoints of a service whose endpoints are cold after a start. */
struct ColdEndpointsFixture {
    ColdEndpointsFixture()
    {
        table.coldEndpoints().setServices(std::vector<Service>{{.name = "s", .coldStart = {.time = ColdTime, .perSecond = 2}}, {.name = "plain"}});
        table.coldEndpoints().setInstances("entry", {});
    }

    static EndpointRecord record(const std::string &id)
    {
        return {.id = id, .service = "s", .address = "10.0.0.1:" + id, .dataCentre = "north", .slots = 10, .incarnation = StatedIncarnation(1000)};
    }

    /** Adds an endpoint, and applies its registration like the task. */
    EndpointPointer list(const EndpointRecord &record)
    {
        table.put(record);
        EndpointPointer endpoint = table.find(record.id);
        source = table.coldEndpoints().onListed(
            {.service = endpoint->record.service, .coldUntil = record.coldUntil, .version = record.listedAt}, endpoint->stated->cold, now);
        return endpoint;
    }

    bool isCold(const EndpointPointer &endpoint) const
    {
        return table.coldEndpoints().isCold(endpoint->record.service, endpoint->stated->cold, now);
    }

    /** @return the requests sent in that time by an entry that has one at any time. */
    int sendAll(Duration time)
    {
        int sent = 0;
        for (const BootTime end = now + time; now < end; now += 10ms) {
            while (const EndpointPointer endpoint = table.choose({.service = "s"}, now, random)) {
                if (!isCold(endpoint)) {
                    return sent;
                }
                table.onDispatch(*endpoint, now, random);
                ++sent;
            }
        }
        return sent;
    }

    BootTime now{1h};
    Random random{7};
    EndpointTable table{{.dataCentre = "north", .coldBound = ColdBound{.overshoot = 1.5, .slack = 5}}};
    std::optional<ColdSource> source;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ColdEndpointsTest, ColdEndpointsFixture)

BOOST_AUTO_TEST_CASE(registration_statesATime_endpointIsColdUntilThen)
{
    auto cold = record("1");
    cold.coldUntil = now + 500ms;
    const auto endpoint = list(cold);
    BOOST_TEST((source == ColdSource::Registration));
    BOOST_TEST(isCold(endpoint));
    now += 500ms;
    BOOST_TEST(!isCold(endpoint));
}

// Load: one entry that always has a request, three endpoints that all start at once. Guards against a data centre that returns being overrun.
BOOST_AUTO_TEST_CASE(endpoints_allStartAtOnce_getTheirRateOnly)
{
    table.coldEndpoints().onFirstListComplete();
    for (const char *id : {"1", "2", "3"}) {
        BOOST_TEST(isCold(list(record(id))));
    }
    const int sent = sendAll(ColdTime - Duration(20));
    BOOST_TEST(sent <= 3 * (3 * 2 + 1));
    BOOST_TEST(sent >= 3 * 4);
}

BOOST_AUTO_TEST_CASE(endpoint_inTheFirstList_isTakenForWarm)
{
    const auto endpoint = list(record("1"));
    table.coldEndpoints().onFirstListComplete();
    BOOST_TEST(!isCold(endpoint));
    BOOST_TEST(!isCold(list(record("1"))));
}

// Guards against a registration that is older than the start of its endpoint.
BOOST_AUTO_TEST_CASE(endpoint_listedLaterAsWarm_isCold)
{
    table.coldEndpoints().onFirstListComplete();
    const auto endpoint = list(record("1"));
    BOOST_TEST((source == ColdSource::Start));
    now += ColdTime - Duration(1);
    BOOST_TEST(isCold(endpoint));
    now += 1ms;
    BOOST_TEST(!isCold(endpoint));
}

// Guards against a successor under the old id and address being taken for the endpoint that was warm.
BOOST_AUTO_TEST_CASE(endpoint_laterRunUnderTheSameId_isCold)
{
    list(record("1"));
    table.coldEndpoints().onFirstListComplete();
    auto later = record("1");
    later.incarnation = StatedIncarnation(2000);
    BOOST_TEST(isCold(list(later)));
    BOOST_TEST((source == ColdSource::Start));
}

// Guards against a lapse of the list making all endpoints cold.
BOOST_AUTO_TEST_CASE(endpoint_registrationOfTheSameRunLapsesAndReturns_staysWarm)
{
    list(record("1"));
    table.coldEndpoints().onFirstListComplete();
    table.remove("1");
    BOOST_TEST(!isCold(list(record("1"))));
    table.remove("1");
    auto unknown = record("1");
    unknown.incarnation = {};
    BOOST_TEST(!isCold(list(unknown)));
}

// Guards against a list that is read again prolonging what its rows state.
BOOST_AUTO_TEST_CASE(registration_sameVersionReceivedAgain_doesNotProlong)
{
    auto cold = record("1");
    cold.listedAt = 9;
    cold.coldUntil = now + 500ms;
    const auto endpoint = list(cold);
    now += 400ms;
    cold.coldUntil = now + 500ms;
    list(cold);
    now += 100ms;
    BOOST_TEST(!isCold(endpoint));
    cold.listedAt = 10;
    cold.coldUntil = now + 500ms;
    list(cold);
    BOOST_TEST(isCold(endpoint));
}

BOOST_AUTO_TEST_CASE(endpoint_ofAServiceWithoutColdStarts_isNeverCold)
{
    table.coldEndpoints().onFirstListComplete();
    auto plain = record("1");
    plain.service = "plain";
    plain.coldUntil = now + 500ms;
    const auto endpoint = list(plain);
    BOOST_TEST(!source.has_value());
    BOOST_TEST(!isCold(endpoint));
    BOOST_TEST(!table.coldEndpoints().assumeCold("plain", endpoint->stated->cold, now));
    BOOST_TEST(table.slotsOf("plain", now) == 10U);
    BOOST_TEST((table.choose({.service = "plain"}, now, random) == endpoint));
}

BOOST_AUTO_TEST_CASE(table_noBound_noEndpointIsCold)
{
    EndpointTable unbounded({.dataCentre = "north"});
    unbounded.coldEndpoints().setServices(std::vector<Service>{{.name = "s", .coldStart = {.time = ColdTime, .perSecond = 2}}});
    unbounded.put(record("1"));
    const auto endpoint = unbounded.find("1");
    endpoint->stated->cold.extend(now + 1s, now);
    BOOST_TEST((unbounded.choose({.service = "s"}, now, random) == endpoint));
}

BOOST_AUTO_TEST_CASE(table_oneOfTwoIsCold_otherTakesTheRestAndSlotsAreFewer)
{
    list(record("1"));
    auto cold = record("2");
    cold.coldUntil = now + 2s;
    list(cold);
    BOOST_TEST(table.slotsOf("s", now) == 12U); // Two requests a second of the cold one.
    for (int request = 0; request < 20; ++request) {
        const auto endpoint = table.choose({.service = "s"}, now, random);
        BOOST_REQUIRE(endpoint != nullptr);
        table.onDispatch(*endpoint, now, random);
        BOOST_TEST((endpoint->record.id == "1" || request == 0));
    }
}

BOOST_AUTO_TEST_CASE(table_onlyColdOnesWithoutATurn_tellsWhenTheNextTurnComes)
{
    auto cold = record("1");
    cold.coldUntil = now + 5s;
    const auto endpoint = list(cold);
    BOOST_TEST((table.choose({.service = "s"}, now, random) == nullptr)); // The phase of its turns is drawn.
    now += 1s;
    BOOST_TEST((table.choose({.service = "s"}, now, random) == endpoint));
    table.onDispatch(*endpoint, now, random);
    BOOST_TEST((table.choose({.service = "s"}, now, random) == nullptr));
    const auto next = table.nextRestEnd({.service = "s"}, now);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST((*next > now + 400ms)); // Nine tenths of two a second, less what the last turn was late.
    BOOST_TEST((*next < now + 600ms));
    BOOST_TEST((table.choose({.service = "s"}, *next, random) == endpoint));
}

// Guards against streams that wait for a turn that this entry doesn't hold.
BOOST_AUTO_TEST_CASE(table_entryHoldsNoTurns_streamsAreNotMadeToWait)
{
    EndpointTable stranger({.dataCentre = "north", .coldBound = ColdBound{.overshoot = 1.5, .slack = 5}}); // It knows no instances.
    stranger.coldEndpoints().setServices(std::vector<Service>{{.name = "s", .coldStart = {.time = ColdTime, .perSecond = 2}}});
    stranger.put(record("1"));
    const auto endpoint = stranger.find("1");
    endpoint->stated->cold.extend(now + 1s, now);
    BOOST_TEST((stranger.choose({.service = "s"}, now, random) == nullptr));
    BOOST_TEST(stranger.canAdmitStream("s", now, random));
    BOOST_TEST((stranger.nextRestEnd({.service = "s"}, now) == now + 1s));
}

BOOST_AUTO_TEST_CASE(snapshot_coldEndpoint_peerLearnsTheTimeLeft)
{
    EndpointSnapshot snapshot{.version = 3, .endpoints = {record("1"), record("2")}};
    snapshot.endpoints.front().coldUntil = now + 900ms;
    const BootTime peersNow = now + 2h;
    const auto decoded = decodeSnapshot(encodeSnapshot(snapshot, now + 200ms), peersNow);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->endpoints.front().coldUntil == peersNow + 700ms));
    BOOST_TEST((decoded->endpoints.back().coldUntil == BootTime()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
