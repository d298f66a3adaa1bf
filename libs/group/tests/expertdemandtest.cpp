#include "group/expertdemand.h"
#include "group/grouptask.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdint>

namespace magnolia::group
{

namespace
{

using namespace std::chrono_literals;

constexpr int Ranks = 12;
constexpr std::uint64_t ChoicesOfReport = 1000;

/** Twelve ranks that each report every 100 ms, evenly staggered. */
struct ExpertDemandFixture {
    /** Reports for the given time in which all choices fall on one of two experts. */
    void reportFor(Duration time, std::size_t expert)
    {
        constexpr Duration Interval = 100ms;
        const BootTime end = now + time;
        while (now < end) {
            std::array<std::uint64_t, 2> counts{};
            counts.at(expert) = ChoicesOfReport;
            demand.addCounts(counts, now);
            now += BootClock::duration(Interval) / Ranks;
        }
    }

    double shareOf(std::size_t expert) const
    {
        return demand.shares(1).at(0).at(expert);
    }

    BootTime now = BootTime(1h);
    ExpertDemand demand{GroupOptions{}.demandHalfLife};
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
}

BOOST_AUTO_TEST_CASE(ranks_noneHasReported_demandIsEmpty)
{
    BOOST_TEST(demand.isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
