#include "mapcourier.h"
#include "groupcodec.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

/** An agent at the other end of a link. */
struct Agent {
    /** @return true if it understood. */
    bool take(const RankOrder &order, const MapCourier::Form &form)
    {
        wire::RankCommand command = commandOf(order, "g", 1);
        command.mapBase = form.base;
        command.map = form.map;
        const auto read = orderOf(command, known);
        if (read) {
            known = {.version = read->version, .map = read->map};
        }
        return read.has_value();
    }

    KnownMap known;
};

struct CourierFixture {
    static RankOrder order(std::uint64_t version, RankExperts map)
    {
        return {.kind = RankOrderKind::Prepare, .version = version, .map = std::move(map)};
    }

    const RankOrder first = order(5, {{{0, 1}, {2, 3}}, {{0, 1}, {2, 3}}});
    const RankOrder second = order(6, {{{0, 1}, {1, 3}}, {{0, 1}, {2, 3}}});
    MapCourier courier;
    Agent agent;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MapCourierTest, CourierFixture)

BOOST_AUTO_TEST_CASE(nextMap_agentToldTheLast_isToldWhatDiffers)
{
    BOOST_REQUIRE(agent.take(first, courier.formFor(first, 0)));
    const MapCourier::Form form = courier.formFor(second, 5);
    BOOST_TEST(form.base == 5U);
    BOOST_TEST(form.map.size() < encodeMap(second.map).size());
    BOOST_REQUIRE(agent.take(second, form));
    BOOST_TEST((agent.known.map == second.map));
}

BOOST_AUTO_TEST_CASE(nextMap_newLinkOrToldAgain_isWhole)
{
    (void)courier.formFor(first, 0);
    BOOST_TEST(courier.formFor(second, 0).base == 0U); // A new link: the agent may have started anew.
    BOOST_TEST(courier.formFor(second, 6).base == 0U); // Nothing came of the first time.
    BOOST_TEST(courier.formFor(second, 4).base == 0U); // It missed one.
    BOOST_TEST(agent.take(second, courier.formFor(second, 0)));
}

// Symptom: an agent would order a map that the coordinator never made. Sequence: it started anew, and a change of a map came
// that it was never told. Cause: a change applied to whatever is at hand.
BOOST_AUTO_TEST_CASE(change_ofAMapNotTold_isRefused)
{
    (void)courier.formFor(first, 0);
    BOOST_TEST(!agent.take(second, courier.formFor(second, 5)));
    agent.known = {.version = 5, .map = {{{0}}}}; // Of another shape.
    BOOST_TEST(!agent.take(second, courier.formFor(second, 5)));
}

BOOST_AUTO_TEST_CASE(nextMap_ofAnotherShape_isWhole)
{
    (void)courier.formFor(first, 0);
    BOOST_TEST(courier.formFor(order(7, {{{0, 1}, {2, 3}}}), 5).base == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
