#include "countsschedule.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <vector>

namespace magnolia::group
{

namespace
{

using namespace std::chrono_literals;

/** Agents of 72 ranks with 12 sets of 144 experts, which read their engines' counts every 100 ms at their own times. */
struct CountsScheduleFixture {
    static constexpr std::size_t Ranks = 72;
    static constexpr std::size_t CountsOfGroup = Ranks * 12 * 144;
    static constexpr Duration PollInterval = 100ms;

    /** @return the times of all reports of the group, in order. */
    std::vector<BootTime> reportsFor(Duration time)
    {
        std::vector<BootTime> reports;
        for (const BootTime end = now + time; now < end; now += 1ms) {
            for (std::size_t rank = 0; rank < Ranks; ++rank) {
                const bool isPolled = (now.time_since_epoch() + std::chrono::milliseconds(rank * 29)) % PollInterval < 1ms;
                if (isPolled && schedules.at(rank).isDue(CountsOfGroup, now)) {
                    schedules.at(rank).onSent(random, now);
                    reports.push_back(now);
                }
            }
        }
        return reports;
    }

    static Duration longestGap(const std::vector<BootTime> &reports)
    {
        Duration longest{0};
        for (std::size_t index = 1; index < reports.size(); ++index) {
            longest = std::max(longest, std::chrono::duration_cast<Duration>(reports[index] - reports[index - 1]));
        }
        return longest;
    }

    Random random{7};
    BootTime now = BootTime(1h);
    std::array<CountsSchedule, Ranks> schedules;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CountsScheduleTest, CountsScheduleFixture)

// Guards against ranks that all report at the same time, so that a shift of demand in between is noticed late.
BOOST_AUTO_TEST_CASE(ranks_beganTogether_reportsAreSpread)
{
    reportsFor(3s);
    BOOST_TEST(longestGap(reportsFor(20s)).count() < 130);
}

BOOST_AUTO_TEST_CASE(reports_ofAllRanks_keepWithinTheLimit)
{
    reportsFor(3s);
    constexpr std::size_t CountsOfReport = CountsOfGroup / Ranks;
    const double perSecond = static_cast<double>(reportsFor(20s).size() * CountsOfReport) / 20.0;
    BOOST_TEST(perSecond < 160'000 * 1.1);
    BOOST_TEST(perSecond > 160'000 * 0.8);
}

BOOST_AUTO_TEST_CASE(agent_justStarted_reportsAtOnce)
{
    BOOST_TEST(CountsSchedule().isDue(CountsOfGroup, now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
