#include "loadcheck.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::path;

namespace
{

// A refusal that needs nobody's answer comes at once; the rest is for a busy machine.
constexpr Duration AtOnce{1500};
constexpr Duration ServiceBackLimit{10000};

struct AtMostOnceFixture {
    AtMostOnceFixture()
    {
        deployment.start();
    }

    CallPtr book(const std::string &key, std::size_t entry, Duration timeout = Duration{4000})
    {
        return deployment.caller.start(deployment.entry(entry).work.address(), bookingRequest(key, timeout));
    }

    Call bookAndWait(const std::string &key, std::size_t entry, Duration timeout = Duration{4000})
    {
        const CallPtr call = book(key, entry, timeout);
        waitFor({call});
        return *call;
    }

    void waitFor(const std::vector<CallPtr> &calls)
    {
        const auto hasEnded = [](const CallPtr &call) { return call->isEnded; };
        BOOST_REQUIRE(deployment.loop.runUntil([&] { return std::all_of(calls.begin(), calls.end(), hasEnded); }));
    }

    bool isClaimed()
    {
        const Call rows = deployment.caller.get(deployment.platform().work.address(), "/table/rows?prefix=claim%2F");
        return !Json::parse(rows.body)["rows"].empty();
    }

    int begun(const std::string &key)
    {
        return deployment.runs(key, "begun");
    }

    void restart(Member &member)
    {
        member.process->kill();
        BOOST_REQUIRE(deployment.waitForEnd(member).has_value());
        deployment.startMember(member);
    }

    /** Tries further bookings at both entries until one is answered at each, and says how long that took. */
    void requireServiceBack(const std::string &after)
    {
        const MonoTime from = MonoClock::now();
        int tries = 0;
        for (std::size_t entry = 0; entry < deployment.entryCount(); ++entry) {
            const auto isServed = [&] { return bookAndWait(after + "-back-" + std::to_string(tries++), entry, Duration{1000}).status == 200; };
            BOOST_TEST(deployment.loop.runUntil(isServed, ServiceBackLimit));
        }
        const auto took = std::chrono::duration_cast<Duration>(MonoClock::now() - from);
        BOOST_TEST_MESSAGE("RESULT service-back-after-" << after << " " << took.count() << " ms");
    }

    /** Tries a key again at both entries and expects that nobody is told anything but what is so. */
    void requireStillUndecided(const std::string &key)
    {
        const std::vector<CallPtr> again = {book(key, 0), book(key, 1)};
        waitFor(again);
        for (const CallPtr &call : again) {
            BOOST_TEST(call->status == 409);
            BOOST_TEST(call->error("verdict") == "may-have-run");
        }
    }

    Deployment deployment{{.entries = 2, .engines = 1, .hasRelays = true}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AtMostOncePath, AtMostOnceFixture)

// The other side of the promise: a guard that refuses too much would pass every other test here.
BOOST_AUTO_TEST_CASE(bookings_withoutFailures_allRunOnceAndNoneIsRefused)
{
    constexpr std::size_t Bookings = 200;
    std::vector<CallPtr> calls;
    calls.reserve(Bookings);
    for (std::size_t i = 0; i < Bookings; ++i) {
        calls.push_back(book("plain-" + std::to_string(i), i % 2, Duration{10000}));
    }
    waitFor(calls);
    const auto runs = deployment.timesBegun();
    for (std::size_t i = 0; i < Bookings; ++i) {
        BOOST_TEST(calls[i]->status == 200);
        BOOST_TEST(runs.at("plain-" + std::to_string(i)) == 1);
    }
}

// Symptom: two trucks at one door, after a caller's app has sent its booking twice.
// Sequence: the same key arrives at two entries at the same moment, for many keys.
// Cause: two entries cannot see each other; only the claim's conditional insert decides between them.
BOOST_AUTO_TEST_CASE(manyKeys_eachSentToBothEntriesAtOnce_eachRunsOnce)
{
    constexpr std::size_t Keys = 60;
    std::vector<CallPtr> calls;
    calls.reserve(2 * Keys);
    for (std::size_t i = 0; i < 2 * Keys; ++i) {
        calls.push_back(book("pair-" + std::to_string(i / 2), i % 2, Duration{10000}));
    }
    waitFor(calls);
    const auto runs = deployment.timesBegun();
    for (std::size_t i = 0; i < Keys; ++i) {
        const Call &left = *calls[2 * i];
        const Call &right = *calls[2 * i + 1];
        BOOST_TEST((left.status == 200 || right.status == 200));
        for (const Call *call : {&left, &right}) {
            BOOST_TEST((call->status == 200 || (call->status == 409 && call->error("verdict") == "may-have-run")));
        }
        BOOST_TEST(runs.at("pair-" + std::to_string(i)) == 1);
    }
}

// Symptom: a booking is made twice after its agent died.
// Sequence: the agent writes the claim, its call to the service is lost on the way, the agent is killed and restarted
// empty; the caller tries again at both entries.
// Cause: a new agent knows nothing of the old one's call and could run it again; the claim outlives both.
BOOST_AUTO_TEST_CASE(agent_killedBetweenClaimAndRun_neverRunsTheKeyTwice)
{
    deployment.booking().relay->faults().drop_to_target = true;
    const CallPtr call = book("claimed", 0);
    BOOST_REQUIRE(deployment.loop.runUntil([this] { return isClaimed(); }, Duration{4000}));
    restart(deployment.bookingAgent());
    deployment.booking().relay->faults().drop_to_target = false;
    waitFor({call});
    BOOST_TEST(verdictOf(*call) == "may-have-run");
    requireServiceBack("agent-kill");
    requireStillUndecided("claimed");
    BOOST_TEST(begun("claimed") == 0);
}

// Symptom: a booking is made twice after its agent died.
// Sequence: the service has made the booking, the agent is killed before it has the answer; the caller tries again.
// Cause: that nothing was stored does not say that nothing ran; the claim without an answer has to stop a second run.
BOOST_AUTO_TEST_CASE(agent_killedBetweenRunAndRecord_neverRunsTheKeyTwice)
{
    deployment.setFaults(deployment.booking(), {{"answer_delay_ms", 1500}});
    const CallPtr call = book("made", 0);
    BOOST_REQUIRE(deployment.loop.runUntil([this] { return begun("made") == 1; }, Duration{4000}));
    restart(deployment.bookingAgent());
    deployment.setFaults(deployment.booking(), {{"answer_delay_ms", 0}});
    waitFor({call});
    BOOST_TEST(verdictOf(*call) == "may-have-run");
    requireServiceBack("agent-kill");
    requireStillUndecided("made");
    BOOST_TEST(begun("made") == 1);
}

// Symptom: as above.
// Sequence: the booking is made and its answer is back at the agent, but the table does not take the record; the agent is
// killed meanwhile, and the table comes back.
// Cause: as above, with the answer lost together with the agent's memory.
BOOST_AUTO_TEST_CASE(agent_killedWhileTheTableDoesNotTakeTheRecord_neverRunsTheKeyTwice)
{
    deployment.setFaults(deployment.booking(), {{"answer_delay_ms", 300}});
    const CallPtr call = book("unrecorded", 0);
    BOOST_REQUIRE(deployment.loop.runUntil([this] { return begun("unrecorded") == 1; }, Duration{4000}));
    deployment.setFaults(deployment.platform(), {{"table_silent", true}});
    deployment.loop.runFor(Duration{500});
    restart(deployment.bookingAgent());
    deployment.setFaults(deployment.booking(), {{"answer_delay_ms", 0}});
    deployment.setFaults(deployment.platform(), {{"table_silent", false}});
    waitFor({call});
    // Whether the caller has the answer depends on who was first; nobody may be told that it did not run.
    BOOST_TEST(verdictOf(*call) != "not-run");
    requireServiceBack("agent-kill");
    requireStillUndecided("unrecorded");
    BOOST_TEST(begun("unrecorded") == 1);
}

// Symptom: bookings are doubled or lost while the table's replies are lost.
// Sequence: many claims are written and their replies lost, others are dropped on the way; callers try again.
// Cause: a lost reply says nothing of whether the write took effect; only reading the row back does.
BOOST_AUTO_TEST_CASE(repliesToClaims_lostUnderLoad_eachKeyRunsAtMostOnceAndTheTruthIsTold)
{
    MixedLoad load(deployment, {.payingStreams = 0, .trialStreams = 0, .bookings = 12});
    for (int round = 0; round < 10; ++round) {
        deployment.setFaults(deployment.platform(), {{"lose_replies", 2}, {"drop_writes", round % 2}});
        deployment.loop.runFor(Duration{200});
    }
    const int before = load.answeredBookings();
    BOOST_TEST(deployment.loop.runUntil([&] { return load.answeredBookings() > before + 20; }, ServiceBackLimit));
    requirePromisesKept(load);
}

// Symptom: bookings hang, or are made without protection, while the platform's table is down.
// Sequence: the table answers 503, later nothing at all; then it is back.
// Cause: without a claim nothing may run, and a caller who waits hangs up; the refusal has to come at once and be true.
BOOST_AUTO_TEST_CASE(tableOutage_bookings_areRefusedAtOnceAsNotRunAndServedAgainByThemselves)
{
    deployment.setFaults(deployment.platform(), {{"table_down", true}});
    for (int i = 0; i < 5; ++i) {
        const std::string key = "outage-" + std::to_string(i);
        const MonoTime from = MonoClock::now();
        const Call refused = bookAndWait(key, static_cast<std::size_t>(i % 2));
        BOOST_TEST((MonoClock::now() - from < AtOnce));
        BOOST_TEST(refused.status == 503);
        BOOST_TEST(refused.error("verdict") == "not-run");
        BOOST_TEST(!refused.header("retry-after").empty());
        BOOST_TEST(begun(key) == 0);
    }
    deployment.setFaults(deployment.platform(), {{"table_down", false}});
    requireServiceBack("table-outage");
    BOOST_TEST(bookAndWait("outage-0", 1).status == 200);
    BOOST_TEST(begun("outage-0") == 1);
}

// Symptom: a booking that its caller has given up on, and made again, is made a second time minutes later.
// Sequence: the agent is frozen before it has read the call, the deadline passes, the caller tries again at the other
// entry, the agent wakes with both calls before it.
// Cause: the agent's clock stood still for it; old work is still in its sockets and has to be measured against the claim.
BOOST_AUTO_TEST_CASE(agent_frozenPastTheDeadlineAndContinued_neverRunsTheKeyTwice)
{
    deployment.bookingAgent().process->freeze();
    std::vector<CallPtr> calls = {book("asleep", 0, Duration{1000})};
    waitFor(calls);
    calls.push_back(book("asleep", 1, Duration{1000}));
    waitFor({calls.back()});
    deployment.bookingAgent().process->thaw();
    requireServiceBack("agent-freeze");
    const int beforeRetry = begun("asleep");
    const auto isToldNotRun = [](const CallPtr &call) { return verdictOf(*call) == "not-run"; };
    if (std::all_of(calls.begin(), calls.end(), isToldNotRun)) {
        BOOST_TEST(beforeRetry == 0);
    }
    const Call again = bookAndWait("asleep", 0);
    BOOST_TEST((again.status == 200 || again.status == 409));
    deployment.loop.runFor(Duration{500});
    BOOST_TEST(begun("asleep") <= 1);
}

// Symptom: as above, and the caller was told that it did not run.
// Sequence: the agent's claim is on its way to a slow table when the agent is frozen; the deadline passes; it wakes, and
// finds the claim its own.
// Cause: a claim that was granted an hour ago is still granted; the call's deadline is not.
BOOST_AUTO_TEST_CASE(agent_frozenWhileItClaims_keepsToTheTruthAndRunsTheKeyAtMostOnce)
{
    deployment.setFaults(deployment.platform(), {{"slow_ms", 300}});
    const CallPtr call = book("granted", 0, Duration{1200});
    deployment.loop.runFor(Duration{150});
    deployment.bookingAgent().process->freeze();
    waitFor({call});
    deployment.setFaults(deployment.platform(), {{"slow_ms", 0}});
    deployment.loop.runFor(Duration{500});
    deployment.bookingAgent().process->thaw();
    requireServiceBack("agent-freeze");
    deployment.loop.runFor(Duration{500});
    const int times = begun("granted");
    BOOST_TEST(times <= 1);
    if (verdictOf(*call) == "not-run") {
        BOOST_TEST(times == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
