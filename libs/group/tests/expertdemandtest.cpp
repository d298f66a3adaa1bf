#include "group/expertdemand.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

namespace magnolia::group
{

namespace
{

using namespace std::chrono_literals;

constexpr int Ranks = 12;
constexpr std::uint64_t ChoicesOfReport = 1000;
constexpr Duration ReportInterval = 100ms;

/** Twelve ranks that each report every 100 ms, evenly staggered. */
struct ExpertDemandFixture {
    /** Reports for the given time in which all choices fall on one of two experts. */
    void reportFor(Duration time, std::size_t expert)
    {
        const BootTime end = now + time;
        while (now < end) {
            std::array<std::uint64_t, 2> counts{};
            counts.at(expert) = ChoicesOfReport;
            demand.addCounts(counts, now);
            now += BootClock::duration(ReportInterval) / Ranks;
        }
    }

    double shareOf(std::size_t expert) const
    {
        return demand.shares(1).at(0).at(expert);
    }

    BootTime now = BootTime(1h);
    ExpertDemand demand{ExpertDemand::Options{}};
};

/**
 * 72 ranks that report once in 0.8 s each, at random times, which is the most that a coordinator's link carries with 12 sets of 144 experts. The requests of a
 * rank are about few topics at a time, and each topic has its own experts.
 */
struct LargeGroupFixture {
    static constexpr std::size_t Experts = 1728;
    static constexpr std::size_t Topics = 8;
    static constexpr std::size_t ExpertsOfTopic = Experts / Topics;
    static constexpr std::size_t RequestsOfRank = 5;

    static constexpr double CommonShare = 0.6; ///< Of choices that fall on any expert.
    static constexpr double ReportsPerSecond = 90;

    void reportFor(Duration time)
    {
        const BootTime end = now + time;
        std::exponential_distribution<double> gap(ReportsPerSecond);
        while (now < end) {
            std::vector<std::uint64_t> counts(Experts);
            for (std::size_t request = 0; request < RequestsOfRank; ++request) {
                addRequest(counts);
            }
            demand.addCounts(counts, now);
            now += std::chrono::duration_cast<BootClock::duration>(std::chrono::duration<double>(gap(random)));
        }
    }

    /** @return one of the experts of a topic, which are scattered over all sets. */
    static std::size_t expertOf(std::size_t topic, std::size_t place)
    {
        constexpr std::uint32_t Multiplier = 2654435761U; // A multiplicative hash.
        constexpr std::uint32_t DiscardedBits = 7;
        return (static_cast<std::uint32_t>(topic * Experts + place) * Multiplier >> DiscardedBits) % Experts;
    }

    void addRequest(std::vector<std::uint64_t> &counts)
    {
        const std::size_t topic = firstTopic + std::uniform_int_distribution<std::size_t>(0, Topics - 1)(random);
        std::uniform_int_distribution<std::size_t> anyExpert(0, Experts - 1);
        std::uniform_int_distribution<std::size_t> anyOfTopic(0, ExpertsOfTopic - 1);
        std::bernoulli_distribution isCommon(CommonShare);
        for (std::size_t choice = 0; choice < choicesOfRequest; ++choice) {
            ++counts[isCommon(random) ? anyExpert(random) : expertOf(topic, anyOfTopic(random))];
        }
    }

    std::mt19937 random{7};
    std::size_t choicesOfRequest = 4800; ///< Between two reads of the counts.
    std::size_t firstTopic = 0; ///< A shift of demand changes all topics.
    BootTime now = BootTime(1h);
    ExpertDemand demand{ExpertDemand::Options{}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ExpertDemandTest, ExpertDemandFixture)

BOOST_AUTO_TEST_CASE(choices_allOfOneExpert_giveItTheWholeShare)
{
    reportFor(1s, 0);
    BOOST_TEST(shareOf(0) == 1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(shareOf(1) == 0.0);
}

BOOST_AUTO_TEST_CASE(oneRanksReport_differsFromTheOthers_isWeightedAsOneOfThem)
{
    reportFor(1s, 0);
    demand.addCounts(std::array<std::uint64_t, 2>{0, ChoicesOfReport}, now);
    BOOST_TEST(shareOf(1) < 1.0 / Ranks);
    BOOST_TEST(!demand.shiftedAt().has_value());
}

BOOST_AUTO_TEST_CASE(ranks_noneHasReported_demandIsEmpty)
{
    BOOST_TEST(demand.isEmpty());
}

// Guards against maps that fit neither the demand before a shift nor that after it.
BOOST_AUTO_TEST_CASE(demand_shifts_choicesFromBeforeWeighLittleSoon)
{
    reportFor(3s, 0);
    reportFor(150ms, 1);
    BOOST_TEST(demand.shiftedAt().has_value());
    BOOST_TEST(shareOf(0) < 0.3);
    reportFor(150ms, 1);
    BOOST_TEST(shareOf(0) < 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ExpertDemandOfLargeGroupTest, LargeGroupFixture)

// Guards against changes of map for noise in the estimate while demand is constant.
BOOST_AUTO_TEST_CASE(demand_constant_noShiftIsFound)
{
    reportFor(10s);
    BOOST_TEST(!demand.shiftedAt().has_value());
}

// Guards against an estimate that is never steady because few choices differ as much as a shift of demand.
BOOST_AUTO_TEST_CASE(choices_tooFewToCompare_noShiftIsFoundAfterAWhile)
{
    choicesOfRequest = 100;
    reportFor(10s);
    const BootTime learntAt = now;
    reportFor(10s);
    BOOST_TEST((!demand.shiftedAt() || *demand.shiftedAt() < learntAt));
}

BOOST_AUTO_TEST_CASE(demand_shifts_isFoundWithinAFifthOfASecond)
{
    reportFor(5s);
    for (int shift = 0; shift < 10; ++shift) {
        firstTopic += Topics;
        const BootTime shiftedAt = now;
        reportFor(200ms);
        BOOST_TEST((demand.shiftedAt() && *demand.shiftedAt() >= shiftedAt));
        reportFor(2s);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
