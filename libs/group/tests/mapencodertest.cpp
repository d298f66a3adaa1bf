#include "mapencoder.h"
#include "groupcodec.h"
#include "knownmaps.h"
#include "mapcodec.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

/** An agent that receives orders. */
struct Agent {
    /** @return whether the order was decoded. */
    bool receive(const RankOrder &order, const MapEncoder::Encoding &encoding)
    {
        wire::RankCommand command = toCommand(order, "g", 1);
        command.mapBase = encoding.base;
        command.map = encoding.map;
        const auto read = toOrder(command, known);
        if (read) {
            known.add(read->version, read->map, inUse);
        }
        return read.has_value();
    }

    KnownMaps known;
    std::uint64_t inUse = 0;
};

struct MapEncoderFixture {
    static RankOrder order(std::uint64_t version, ExpertMap map)
    {
        return {.kind = RankOrderKind::Prepare, .version = version, .map = SharedMap(std::move(map))};
    }

    const RankOrder first = order(5, {{{0, 1}, {2, 3}}, {{0, 1}, {2, 3}}});
    const RankOrder second = order(6, {{{0, 1}, {1, 3}}, {{0, 1}, {2, 3}}});
    MapEncoder encoder;
    Agent agent;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MapEncoderTest, MapEncoderFixture)

BOOST_AUTO_TEST_CASE(nextMap_agentHasTheOneInUse_isADelta)
{
    BOOST_REQUIRE(agent.receive(first, encoder.encode(first, 0)));
    encoder.setBase(5, *first.map);
    const MapEncoder::Encoding encoding = encoder.encode(second, 5);
    BOOST_TEST(encoding.base == 5U);
    BOOST_TEST(encoding.map.size() < encodeMap(*second.map).size());
    BOOST_REQUIRE(agent.receive(second, encoding));
    BOOST_TEST((*agent.known.find(6) == *second.map));
}

BOOST_AUTO_TEST_CASE(nextMap_agentHasAnotherOrNone_isFull)
{
    encoder.setBase(5, *first.map);
    BOOST_TEST(encoder.encode(second, 0).base == 0U); // The agent has just started.
    BOOST_TEST(encoder.encode(second, 6).base == 0U); // It has only the next map.
    BOOST_TEST(encoder.encode(second, 4).base == 0U); // It missed a map.
    BOOST_TEST(agent.receive(second, encoder.encode(second, 0)));
}

// Guards against retries that send the full map: the known map of an agent was derived from the last message sent to it. When a map was not reported as
// prepared in time, every retry sent it in full, which took longer than the retry interval.
BOOST_AUTO_TEST_CASE(sameMap_sentAgain_isADeltaAgain)
{
    BOOST_REQUIRE(agent.receive(first, encoder.encode(first, 0)));
    agent.inUse = 5;
    encoder.setBase(5, *first.map);
    BOOST_REQUIRE(agent.receive(second, encoder.encode(second, 5)));
    const MapEncoder::Encoding again = encoder.encode(second, 5);
    BOOST_TEST(again.base == 5U);
    BOOST_TEST(agent.receive(second, again));
}

BOOST_AUTO_TEST_CASE(map_afterAnAbandonedOne_isADeltaToTheOneInUse)
{
    BOOST_REQUIRE(agent.receive(first, encoder.encode(first, 0)));
    agent.inUse = 5;
    encoder.setBase(5, *first.map);
    BOOST_REQUIRE(agent.receive(second, encoder.encode(second, 5)));
    const RankOrder third = order(7, {{{0, 1}, {2, 3}}, {{0, 1}, {0, 3}}});
    const MapEncoder::Encoding encoding = encoder.encode(third, 5);
    BOOST_TEST(encoding.base == 5U);
    BOOST_REQUIRE(agent.receive(third, encoding));
    BOOST_TEST((*agent.known.find(7) == *third.map));
}

// Guards against a delta applied to the wrong base: an agent that has restarted gets a delta to a map that it never received and would order a map that the
// coordinator never created.
BOOST_AUTO_TEST_CASE(delta_toAnUnknownMap_isRejected)
{
    encoder.setBase(5, *first.map);
    BOOST_TEST(!agent.receive(second, encoder.encode(second, 5)));
    agent.known.add(5, ExpertMap{{{0}}}, 0); // A map of another shape.
    BOOST_TEST(!agent.receive(second, encoder.encode(second, 5)));
}

BOOST_AUTO_TEST_CASE(nextMap_ofAnotherShape_isFull)
{
    encoder.setBase(5, *first.map);
    BOOST_TEST(encoder.encode(order(7, {{{0, 1}, {2, 3}}}), 5).base == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
