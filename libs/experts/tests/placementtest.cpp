#include "experts/placement.h"
#include "experts/popularity.h"
#include "experts/rankspeed.h"
#include "experts/rebalancedecision.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <numeric>
#include <vector>

using namespace magnolia;
using namespace magnolia::experts;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t Slots = 16;

struct PlacementFixture {
    static constexpr ExpertMap::Shape Shape{.ranks = 12, .layers = 1, .experts = 64};

    std::vector<double> shares = zipf(0);
    std::vector<double> speeds = std::vector<double>(Shape.ranks, 1.0);
    Placement placement{Placement::Options{.slotsPerRank = Slots}};
    ExpertMap even = ExpertMap::roundRobin(Shape, Slots);

    // Expert number `first` is the most popular one.
    static std::vector<double> zipf(std::size_t first)
    {
        std::vector<double> shares(Shape.experts);
        for (std::size_t place = 0; place < shares.size(); ++place) {
            shares[(first + place) % shares.size()] = 1.0 / static_cast<double>(place + 1);
        }
        const double total = std::accumulate(shares.begin(), shares.end(), 0.0);
        for (double &share : shares) {
            share /= total;
        }
        return shares;
    }

    Demand demand() const
    {
        return {.shares = {shares}, .speeds = speeds};
    }

    static void checkLegal(const ExpertMap &map)
    {
        BOOST_TEST(map.isComplete());
        for (Rank rank = 0; rank < Shape.ranks; ++rank) {
            BOOST_TEST(map.expertsOf(0, rank).size() <= Slots);
        }
        for (Expert expert = 0; expert < Shape.experts; ++expert) {
            BOOST_TEST(map.replicas(0, expert).size() >= 2U);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlacementTest, PlacementFixture)

BOOST_AUTO_TEST_CASE(skewedPopularity_packed_isNearlyEvenAndKeepsTwoReplicas)
{
    const ExpertMap packed = placement.pack(Shape, demand());
    checkLegal(packed);
    BOOST_TEST(predictedSkew(even, demand()) > 1.3);
    BOOST_TEST(predictedSkew(packed, demand()) < 1.01);
    BOOST_TEST(packed.replicas(0, 0).size() > packed.replicas(0, 63).size());
}

BOOST_AUTO_TEST_CASE(stragglerRank_packed_getsLessWork)
{
    speeds[3] = 0.5;
    const ExpertMap packed = placement.pack(Shape, demand());
    checkLegal(packed);
    BOOST_TEST(predictedSkew(packed, demand()) < 1.02);
}

BOOST_AUTO_TEST_CASE(unevenMap_improved_getsBetterWithEachStepWithinItsMoves)
{
    double skew = predictedSkew(even, demand());
    const auto steps = placement.improve(even, demand(), 10);
    BOOST_REQUIRE(!steps.empty());
    for (const PlacementStep &step : steps) {
        checkLegal(step.map);
        BOOST_TEST(step.moves <= 10U);
        BOOST_TEST(step.moves == step.map.replicasMissingFrom(even));
        BOOST_TEST(std::abs(step.skew - predictedSkew(step.map, demand())) < 1e-9);
    }
    BOOST_TEST(steps.back().skew < skew - 0.1);
}

BOOST_AUTO_TEST_CASE(scarceSlots_packed_stillHoldEachExpert)
{
    const Placement scarce({.slotsPerRank = 6});
    const ExpertMap packed = scarce.pack(Shape, demand());
    BOOST_TEST(packed.isComplete());
}

BOOST_AUTO_TEST_CASE(shiftedPopularity_observed_isFollowedWithItsHalfLife)
{
    Popularity popularity({.layers = 1, .experts = 2, .halfLife = 10s});
    popularity.observe(0, std::vector<double>{100, 0}, 1s);
    popularity.observe(0, std::vector<double>{0, 7}, 10s);
    BOOST_TEST(std::abs(popularity.shares(0)[0] - 0.5) < 1e-9);
    popularity.observe(0, std::vector<double>{0, 0}, 10s);
    BOOST_TEST(std::abs(popularity.shares(0)[0] - 0.5) < 1e-9);
}

BOOST_AUTO_TEST_CASE(slowRank_observed_hasLowerSpeedWithMeanOne)
{
    RankSpeed speed({.ranks = 3});
    speed.observe(0, 1000, 10ms, 1s);
    speed.observe(1, 1000, 10ms, 1s);
    speed.observe(2, 1000, 20ms, 1s);
    BOOST_TEST(std::abs(speed.speeds()[0] - 1.2) < 1e-9);
    BOOST_TEST(std::abs(speed.speeds()[2] - 0.6) < 1e-9);
}

BOOST_AUTO_TEST_CASE(rebalance_weighedByDifferentDeployments_movesLessWhereMovingCostsMore)
{
    const RebalanceDecision skewFirst({.skewWeight = 4, .rebalanceWeight = 1, .bytesPerExpert = 1e9, .slotsPerRank = Slots});
    const RebalanceDecision costFirst({.skewWeight = 1, .rebalanceWeight = 4, .bytesPerExpert = 1e9, .slotsPerRank = Slots});
    const auto karoo = skewFirst.decide(MonoTime{}, even, demand());
    const auto flue = costFirst.decide(MonoTime{}, even, demand());
    BOOST_REQUIRE(karoo.has_value());
    BOOST_REQUIRE(flue.has_value());
    BOOST_TEST(flue->moves < karoo->moves);
    BOOST_TEST(karoo->skewAfter < flue->skewAfter);
}

BOOST_AUTO_TEST_CASE(rebalance_notWorthItsCost_isLeftAlone)
{
    const RebalanceDecision decision({.skewWeight = 0.001, .rebalanceWeight = 4, .bytesPerExpert = 1e9, .slotsPerRank = Slots});
    BOOST_TEST(!decision.decide(MonoTime{}, even, demand()).has_value());
}

BOOST_AUTO_TEST_CASE(rebalance_tooSoonAfterASwitch_waits)
{
    RebalanceDecision decision({.skewWeight = 4, .bytesPerExpert = 1e6, .slotsPerRank = Slots, .minInterval = 5s});
    decision.noteSwitch(MonoTime{});
    BOOST_TEST(!decision.decide(MonoTime{} + 4s, even, demand()).has_value());
    BOOST_TEST(decision.decide(MonoTime{} + 5s, even, demand()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
