#include "routing/quarantine.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;
using Kind = Quarantine::Admission::Kind;

struct QuarantineFixture {
    /** Advances the time, dispatches the request and reports a crash of its endpoint. */
    bool sendAndCrash(const std::string &fingerprint, Duration later = 1s)
    {
        now += later;
        return quarantine.addReport({.fingerprint = fingerprint, .ordinal = quarantine.nextOrdinal(fingerprint), .endedAt = now}, now);
    }
    bool isQuarantined(const std::string &fingerprint) const
    {
        return quarantine.timeLeft(fingerprint, now).has_value();
    }

    /** @return the causes that a request like no other carries. */
    CrashCauses withParts(std::vector<std::string_view> parts)
    {
        return crashCausesOf("request " + std::to_string(++requestCount), "s", parts);
    }
    /** Advances the time, dispatches a request and reports the crash of its endpoint. */
    void dispatchAndCrash(const CrashCauses &causes)
    {
        now += 1s;
        (void)quarantine.onCrash(quarantine.suspectsOf(causes, now - 500ms), now);
    }
    Kind kindOf(const CrashCauses &causes)
    {
        return quarantine.admit({.causes = causes}, now, random).kind;
    }
    /** Sends requests with the parts for 20 s until one is allowed as a trial. */
    bool isTriedWithin20Seconds(const std::vector<std::string_view> &parts)
    {
        for (const BootTime end = now + 20s; now < end; now += 100ms) {
            if (kindOf(withParts(parts)) == Kind::Trial) {
                return true;
            }
        }
        return false;
    }

    BootTime now{1h};
    Random random{1};
    int requestCount = 0;
    Quarantine quarantine{{.reportThreshold = 3, .initialQuarantineTime = 10min, .answerRetention = 1min, .maxAnswered = 10, .maxReported = 5}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(QuarantineTest, QuarantineFixture)

BOOST_AUTO_TEST_CASE(request_crashedAsManyEndpointsAsTheLimit_isQuarantined)
{
    BOOST_TEST(sendAndCrash("a"));
    BOOST_TEST(sendAndCrash("a"));
    BOOST_TEST(!isQuarantined("a"));
    BOOST_TEST(sendAndCrash("a"));
    BOOST_TEST(isQuarantined("a"));
    BOOST_TEST(!isQuarantined("b"));
    BOOST_TEST((quarantine.timeLeft("a", now) == Duration(10min)));
}

// Guards against a common request being quarantined because several endpoints that ran it went down at once, e.g. with their rack.
BOOST_AUTO_TEST_CASE(request_concurrentCrashes_countOnce)
{
    const std::uint32_t ordinal = quarantine.nextOrdinal("a");
    for (int endpoint = 0; endpoint < 10; ++endpoint) {
        (void)quarantine.addReport({.fingerprint = "a", .ordinal = ordinal, .endedAt = now}, now);
    }
    BOOST_TEST(!isQuarantined("a"));
    BOOST_TEST(quarantine.nextOrdinal("a") == 2U);
}

// Guards against requests that ran next to the cause being quarantined with it.
BOOST_AUTO_TEST_CASE(request_answeredBetweenCrashes_isCleared)
{
    (void)sendAndCrash("a");
    (void)sendAndCrash("a");
    std::vector<std::uint32_t> cleared;
    for (const CrashReport &report : quarantine.onAnswered({.request = "a"}, now)) {
        cleared.push_back(report.ordinal);
    }
    BOOST_TEST(cleared == (std::vector<std::uint32_t>{1, 2}), boost::test_tools::per_element());
    BOOST_TEST(quarantine.size() == 0U);
    BOOST_TEST(quarantine.nextOrdinal("a") == 1U);
}

// Guards against a common request being quarantined while endpoints crash for other reasons.
BOOST_AUTO_TEST_CASE(request_answeredRecently_isNotReported)
{
    (void)quarantine.onAnswered({.request = "a"}, now);
    for (int end = 0; end < 5; ++end) {
        BOOST_TEST(!sendAndCrash("a"));
    }
    BOOST_TEST(!isQuarantined("a"));
}

// Guards against a request being exempt from reports for ever, e.g. one that crashes endpoints only since their last release.
BOOST_AUTO_TEST_CASE(request_answeredLongAgo_isReported)
{
    (void)quarantine.onAnswered({.request = "a"}, now);
    for (int minute = 0; minute < 3; ++minute) {
        now += 1min;
        (void)quarantine.onAnswered({.request = "b"}, now);
    }
    BOOST_TEST(sendAndCrash("a"));
}

BOOST_AUTO_TEST_CASE(quarantine_expired_nextCrashQuarantinesForLonger)
{
    for (int end = 0; end < 3; ++end) {
        (void)sendAndCrash("a");
    }
    now += 10min;
    BOOST_TEST(!isQuarantined("a"));
    BOOST_TEST(sendAndCrash("a"));
    BOOST_TEST((quarantine.timeLeft("a", now) == Duration(20min)));
}

BOOST_AUTO_TEST_CASE(reports_belowTheLimitAndOld_expire)
{
    (void)sendAndCrash("a");
    (void)sendAndCrash("a");
    (void)sendAndCrash("a", 10min);
    BOOST_TEST(!isQuarantined("a"));
}

BOOST_AUTO_TEST_CASE(reports_oldOrAlreadyKnown_changeNothing)
{
    BOOST_TEST(!quarantine.addReport({.fingerprint = "a", .ordinal = 1, .endedAt = now - 10min}, now));
    BOOST_TEST(quarantine.addReport({.fingerprint = "a", .ordinal = 1, .endedAt = now}, now));
    BOOST_TEST(!quarantine.addReport({.fingerprint = "a", .ordinal = 1, .endedAt = now}, now));
}

BOOST_AUTO_TEST_CASE(report_withdrawnByPeer_isRemoved)
{
    for (int end = 0; end < 3; ++end) {
        (void)sendAndCrash("a");
    }
    quarantine.withdraw("a", 2);
    BOOST_TEST(!isQuarantined("a"));
    quarantine.withdraw("a", 1);
    quarantine.withdraw("a", 3);
    quarantine.withdraw("unknown", 1);
    BOOST_TEST(quarantine.size() == 0U);
}

// Guards against unbounded memory use by a caller that sends ever new crashing requests.
BOOST_AUTO_TEST_CASE(reports_ofTooManyRequests_evictTheOldest)
{
    for (int request = 0; request < 20; ++request) {
        (void)sendAndCrash("request " + std::to_string(request));
        (void)quarantine.onAnswered({.request = "answered " + std::to_string(request)}, now);
    }
    BOOST_TEST(quarantine.size() == 5U);
    BOOST_TEST(quarantine.nextOrdinal("request 19") == 2U);
    BOOST_TEST(quarantine.nextOrdinal("request 0") == 1U);
}

// Guards against requests that differ in all but one part of their prompts being counted one by one.
BOOST_AUTO_TEST_CASE(part_crashedAsManyEndpointsAsTheLimitInDifferentRequests_isQuarantined)
{
    (void)quarantine.onAnswered(withParts({"common"}), now);
    for (int crash = 0; crash < 3; ++crash) {
        BOOST_TEST((kindOf(withParts({"common", "dead"})) == Kind::Allowed));
        dispatchAndCrash(withParts({"common", "dead"}));
    }
    const auto admission = quarantine.admit({.causes = withParts({"dead", "other"})}, now, random);
    BOOST_TEST((admission.kind == Kind::Rejected));
    BOOST_TEST((admission.retryAfter == Duration(10min)));
    BOOST_TEST((kindOf(withParts({"common", "other"})) == Kind::Allowed));
    BOOST_TEST((kindOf(crashCausesOf("r", "another service", std::vector<std::string_view>{"dead"})) == Kind::Allowed));
}

// Guards against a part that a release of the endpoints made harmful being trusted for its earlier answers.
BOOST_AUTO_TEST_CASE(part_answeredShortlyBeforeSeveralCrashes_isQuarantinedAfterMoreThanOthers)
{
    (void)quarantine.onAnswered(withParts({"dead"}), now);
    for (int crash = 0; crash < 5; ++crash) {
        dispatchAndCrash(withParts({"dead"}));
        BOOST_TEST((kindOf(withParts({"dead"})) == Kind::Allowed));
    }
    for (int crash = 0; crash < 3; ++crash) {
        dispatchAndCrash(withParts({"dead"}));
    }
    BOOST_TEST((kindOf(withParts({"dead"})) == Kind::Rejected));
}

// Guards against a harmless part being quarantined for ever because the part that crashes endpoints always accompanied it.
BOOST_AUTO_TEST_CASE(part_alwaysAccompaniedTheCause_isTriedAloneAndCleared)
{
    for (int crash = 0; crash < 3; ++crash) {
        dispatchAndCrash(withParts({"rare", "dead"}));
    }
    BOOST_TEST((kindOf(withParts({"rare", "dead"})) == Kind::Rejected));
    BOOST_REQUIRE(isTriedWithin20Seconds({"rare"}));
    (void)quarantine.onAnswered(withParts({"rare"}), now);
    BOOST_TEST((kindOf(withParts({"rare"})) == Kind::Allowed));
    BOOST_TEST((kindOf(withParts({"dead"})) == Kind::Rejected));
}

// Guards against trials of the part that crashes endpoints going on although they have shown that it is the cause.
BOOST_AUTO_TEST_CASE(part_crashedAsManyEndpointsAsTheLimitInTrials_isNotTriedAgainAndTheOtherIs)
{
    for (int crash = 0; crash < 3; ++crash) {
        dispatchAndCrash(withParts({"rare", "dead"}));
    }
    for (int trial = 0; trial < 3; ++trial) {
        BOOST_REQUIRE(isTriedWithin20Seconds({"dead"}));
        dispatchAndCrash(withParts({"dead"}));
    }
    BOOST_TEST(!isTriedWithin20Seconds({"dead"}));
    BOOST_TEST(isTriedWithin20Seconds({"rare"}));
}

// Guards against a harmless part being taken for the cause because an endpoint crashed for another reason during its trial.
BOOST_AUTO_TEST_CASE(part_endpointCrashedInOneTrial_isTriedAgain)
{
    for (int crash = 0; crash < 3; ++crash) {
        dispatchAndCrash(withParts({"rare", "dead"}));
    }
    BOOST_REQUIRE(isTriedWithin20Seconds({"rare"}));
    dispatchAndCrash(withParts({"rare"}));
    BOOST_TEST(isTriedWithin20Seconds({"rare"}));
}

// Guards against trusting earlier answers to a part for long, although many requests without it have been answered since.
BOOST_AUTO_TEST_CASE(part_itsAnswersStoppedWhileOthersGoOn_isReportedFromTheNextCrash)
{
    for (int request = 0; request < 20; ++request) {
        (void)quarantine.onAnswered(withParts({"common"}), now);
        (void)quarantine.onAnswered(withParts({"dead"}), now);
    }
    dispatchAndCrash(withParts({"dead"}));
    BOOST_TEST(!quarantine.hasReports(withParts({"dead"})));
    for (int request = 0; request < 20; ++request) {
        (void)quarantine.onAnswered(withParts({"common"}), now);
    }
    dispatchAndCrash(withParts({"dead"}));
    BOOST_TEST(quarantine.hasReports(withParts({"dead"})));
}

// Guards against all callers whose prompts have the part returning at the moment in which its quarantine ends.
BOOST_AUTO_TEST_CASE(part_quarantineEnded_oneRequestAtATimeIsTried)
{
    for (int crash = 0; crash < 3; ++crash) {
        dispatchAndCrash(withParts({"dead"}));
    }
    now += 10min;
    int allowed = 0;
    for (int request = 0; request < 1000; ++request) {
        allowed += kindOf(withParts({"dead"})) == Kind::Rejected ? 0 : 1;
    }
    BOOST_TEST(allowed <= 1);
    BOOST_TEST(isTriedWithin20Seconds({"dead"}));
}

// Guards against a part that most requests share being quarantined when endpoints of a group that answers nothing crash for other reasons: the other
// endpoints of the group cut what they were running, and live.
BOOST_AUTO_TEST_CASE(part_brokeOffAtLivingEndpointsToo_isNotQuarantined)
{
    for (int crash = 0; crash < 3; ++crash) {
        dispatchAndCrash(withParts({"common"}));
        for (int stream = 0; stream < 2; ++stream) {
            quarantine.onBrokenOffAtLiveEndpoint(quarantine.suspectsOf(withParts({"common"}), now));
        }
    }
    BOOST_TEST((kindOf(withParts({"common"})) == Kind::Allowed));
}

// Guards against many harmless requests that ran beside causes of crashes pushing the causes out of memory.
BOOST_AUTO_TEST_CASE(part_quarantinedBeforeManyOtherReports_staysQuarantined)
{
    for (int crash = 0; crash < 3; ++crash) {
        dispatchAndCrash(withParts({"dead"}));
    }
    for (int request = 0; request < 20; ++request) {
        dispatchAndCrash(withParts({}));
    }
    BOOST_TEST(quarantine.size() == 5U);
    BOOST_TEST((kindOf(withParts({"dead"})) == Kind::Rejected));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
