#include "groupcodec.h"
#include "mapcodec.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>

namespace magnolia::group
{

BOOST_AUTO_TEST_SUITE(GroupCodecTest)

BOOST_AUTO_TEST_CASE(state_allFieldsSet_roundTripsThroughAReport)
{
    const RankState state{.group = "g",
                          .epoch = 3,
                          .rank = 4,
                          .size = 12,
                          .isOpen = true,
                          .step = 99,
                          .mapVersion = 7,
                          .preparedVersion = 8,
                          .armed = ArmedMap{.version = 8, .step = 101},
                          .heldStep = 101,
                          .runningRequests = 5,
                          .waitingRequests = 6,
                          .pace = 1.25};
    BOOST_TEST((toRankState(toReport(state)) == state));
}

BOOST_AUTO_TEST_CASE(state_heldAtPassZero_isNotReadAsNotHeld)
{
    const RankState state{.group = "g", .heldStep = 0};
    BOOST_TEST((toRankState(toReport(state)) == state));
}

BOOST_AUTO_TEST_CASE(order_withItsMap_roundTripsThroughACommand)
{
    const RankOrder order{.kind = RankOrderKind::Prepare, .epoch = 1, .version = 2, .step = 0, .map = ExpertMap{{{1, 2}, {3}}}};
    wire::RankCommand command = toCommand(order, "g", 9);
    command.map = encodeMap(*order.map);
    const auto read = toOrder(command, {});
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read->map == *order.map));
    BOOST_TEST(read->version == 2U);
}

BOOST_AUTO_TEST_CASE(command_ofUnknownKind_isRejected)
{
    BOOST_TEST(!toOrder({.group = "g", .term = 1, .kind = 99, .map = {}}, {}).has_value());
}

BOOST_AUTO_TEST_CASE(command_mapTruncated_isRejected)
{
    wire::RankCommand command = toCommand({.kind = RankOrderKind::Prepare}, "g", 9);
    command.map = encodeMap({{{1, 2}, {3}}});
    command.map.pop_back();
    BOOST_TEST(!toOrder(command, {}).has_value());
}

BOOST_AUTO_TEST_CASE(counts_notPacked_areRejected)
{
    BOOST_TEST(!decodeCounts("\xff\xff").has_value());
    // Counts are rounded to multiples of a quarter of the mean count: the error is at most half a unit.
    constexpr std::uint64_t HalfUnit = 70001 / (3 * 4) / 2;
    const std::uint64_t read = decodeCounts(encodeCounts({1, 0, 70000})).value().at(2);
    BOOST_TEST(std::max<std::uint64_t>(read, 70000) - std::min<std::uint64_t>(read, 70000) <= HalfUnit);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
