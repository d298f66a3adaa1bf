#include "mapencoder.h"
#include "groupcodec.h"
#include "knownmaps.h"
#include "mapcodec.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

/** An agent at the other end of a link. */
struct Agent {
    /** @return true if it understood. */
    bool take(const RankOrder &order, const MapEncoder::Encoding &encoding)
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

BOOST_AUTO_TEST_CASE(nextMap_agentKnowsTheOneInUse_isToldWhatDiffers)
{
    BOOST_REQUIRE(agent.take(first, encoder.encode(first, 0)));
    encoder.setBase(5, *first.map);
    const MapEncoder::Encoding encoding = encoder.encode(second, 5);
    BOOST_TEST(encoding.base == 5U);
    BOOST_TEST(encoding.map.size() < encodeMap(*second.map).size());
    BOOST_REQUIRE(agent.take(second, encoding));
    BOOST_TEST((*agent.known.find(6) == *second.map));
}

BOOST_AUTO_TEST_CASE(nextMap_agentKnowsAnotherOrNone_isWhole)
{
    encoder.setBase(5, *first.map);
    BOOST_TEST(encoder.encode(second, 0).base == 0U); // It has just started.
    BOOST_TEST(encoder.encode(second, 6).base == 0U); // It knows the next one only.
    BOOST_TEST(encoder.encode(second, 4).base == 0U); // It missed one.
    BOOST_TEST(agent.take(second, encoder.encode(second, 0)));
}

// Symptom: each retry of a change sent the whole map to each agent, more than the link carried before the next retry. Sequence: a map was told, no
// agent reported it prepared in time, the same map was told again. Cause: what an agent knew was judged by what was sent to it last.
BOOST_AUTO_TEST_CASE(sameMap_toldAgain_isToldAsAChangeAgain)
{
    BOOST_REQUIRE(agent.take(first, encoder.encode(first, 0)));
    agent.inUse = 5;
    encoder.setBase(5, *first.map);
    BOOST_REQUIRE(agent.take(second, encoder.encode(second, 5)));
    const MapEncoder::Encoding again = encoder.encode(second, 5);
    BOOST_TEST(again.base == 5U);
    BOOST_TEST(agent.take(second, again));
}

BOOST_AUTO_TEST_CASE(map_afterOneThatWasGivenUp_isToldAsAChangeOfTheOneInUse)
{
    BOOST_REQUIRE(agent.take(first, encoder.encode(first, 0)));
    agent.inUse = 5;
    encoder.setBase(5, *first.map);
    BOOST_REQUIRE(agent.take(second, encoder.encode(second, 5)));
    const RankOrder third = order(7, {{{0, 1}, {2, 3}}, {{0, 1}, {0, 3}}});
    const MapEncoder::Encoding encoding = encoder.encode(third, 5);
    BOOST_TEST(encoding.base == 5U);
    BOOST_REQUIRE(agent.take(third, encoding));
    BOOST_TEST((*agent.known.find(7) == *third.map));
}

// Symptom: an agent would order a map that the coordinator never made. Sequence: it started anew, and a change of a map came
// that it was never told. Cause: a change applied to whatever is at hand.
BOOST_AUTO_TEST_CASE(change_ofAMapNotTold_isRefused)
{
    encoder.setBase(5, *first.map);
    BOOST_TEST(!agent.take(second, encoder.encode(second, 5)));
    agent.known.add(5, ExpertMap{{{0}}}, 0); // Of another shape.
    BOOST_TEST(!agent.take(second, encoder.encode(second, 5)));
}

BOOST_AUTO_TEST_CASE(nextMap_ofAnotherShape_isWhole)
{
    encoder.setBase(5, *first.map);
    BOOST_TEST(encoder.encode(order(7, {{{0, 1}, {2, 3}}}), 5).base == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
