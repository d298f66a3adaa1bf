#include "agent/reportschedule.h"
#include "wire/linkpacing.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::agent
{

namespace
{

using namespace std::chrono_literals;

struct ReportScheduleFixture {
    /** Reports sent in a minute, looked at every 10 ms. */
    int countInMinute(ReportSchedule &measured, const ReportSchedule::Pace &pace, bool isLoadChanging)
    {
        int sent = 0;
        for (const MonoTime end = now + 1min; now < end; now += 10ms) {
            changes.load += isLoadChanging ? 1 : 0;
            if (measured.isDue(now, changes, pace)) {
                measured.noteSent(now, changes, random);
                ++sent;
            }
        }
        return sent;
    }

    MonoTime now{1h};
    Random random{7};
    ReportSchedule::Changes changes;
    ReportSchedule schedule{ReportSchedule::Options{}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReportScheduleTest, ReportScheduleFixture)

BOOST_AUTO_TEST_CASE(freshLink_firstReport_isDueAtOnce)
{
    BOOST_TEST(schedule.isDue(now, changes, {}));
}

BOOST_AUTO_TEST_CASE(quietLink_regularReports_comeAboutOnceASecond)
{
    const int sent = countInMinute(schedule, {}, false);
    BOOST_TEST(sent >= 60);
    BOOST_TEST(sent <= 80);
}

// Symptom: on a link with hundreds beside it the budget is spent twice, on reports and on heartbeats.
// Sequence: the report comes just after the peer's own heartbeat, again and again.
// Cause: reports that are due at the same time as heartbeats or later.
BOOST_AUTO_TEST_CASE(slowLink_regularReport_comesBeforeAHeartbeatIsDue)
{
    const ReportSchedule::Pace pace{.heartbeatInterval = 4000ms, .spacing = 4000ms};
    for (int i = 0; i < 1000; ++i) {
        schedule.noteSent(now, changes, random);
        BOOST_TEST(!schedule.isDue(now + 2990ms, changes, pace));
        BOOST_TEST(schedule.isDue(now + 3800ms, changes, pace));
    }
}

// Symptom: under a surge of short requests the reports alone break the budget for control.
// Sequence: the load changes with each request, hundreds of times a second, and each change goes to all links.
// Cause: reports on change without a limit.
BOOST_AUTO_TEST_CASE(loadThatAlwaysChanges_manyLinks_keepsTheBudget)
{
    constexpr std::size_t Budget = 22'000;
    for (const std::size_t links : {3U, 27U, 130U, 420U}) {
        wire::LinkPacing pacing({.bytesPerSecond = Budget});
        for (std::size_t link = 0; link < links; ++link) {
            pacing.noteOpened();
        }
        const Duration spacing = pacing.spacing();
        ReportSchedule one{ReportSchedule::Options{}};
        const int sent = countInMinute(one, {.heartbeatInterval = std::max(Duration(500), spacing), .spacing = spacing}, true);
        const double bytesPerSecond = static_cast<double>(sent) / 60 * static_cast<double>(links * wire::LinkPacing::ExchangeBytes);
        BOOST_TEST(bytesPerSecond < 25'000, links << " links: " << bytesPerSecond << " B/s");
    }
}

BOOST_AUTO_TEST_CASE(changedLoad_afterTheSpacing_isDueBeforeTheRegularReport)
{
    const ReportSchedule::Pace pace{.heartbeatInterval = 500ms, .spacing = 300ms};
    schedule.noteSent(now, changes, random);
    ++changes.load;
    BOOST_TEST(!schedule.isDue(now + 299ms, changes, pace));
    BOOST_TEST(schedule.isDue(now + 300ms, changes, pace));
    schedule.noteSent(now + 300ms, changes, random);
    BOOST_TEST(!schedule.isDue(now + 600ms, changes, pace));
}

// Symptom: entries go on sending requests for a model that an endpoint no longer serves, for seconds.
// Sequence: an agent with hundreds of links reports its load; right after, its engine loses a model.
// Cause: all changes held back by the same spacing.
BOOST_AUTO_TEST_CASE(changedState_onASlowLink_isDueSoon)
{
    const ReportSchedule::Pace pace{.heartbeatInterval = 4000ms, .spacing = 4000ms};
    schedule.noteSent(now, changes, random);
    ++changes.state;
    BOOST_TEST(!schedule.isDue(now + 49ms, changes, pace));
    BOOST_TEST(schedule.isDue(now + 50ms, changes, pace));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::agent
