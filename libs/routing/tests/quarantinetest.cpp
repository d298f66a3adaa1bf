#include "routing/quarantine.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

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

    BootTime now{1h};
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
    const std::vector<std::uint32_t> cleared = quarantine.onAnswered("a", now);
    BOOST_TEST(cleared == (std::vector<std::uint32_t>{1, 2}), boost::test_tools::per_element());
    BOOST_TEST(quarantine.size() == 0U);
    BOOST_TEST(quarantine.nextOrdinal("a") == 1U);
}

// Guards against a common request being quarantined while endpoints crash for other reasons.
BOOST_AUTO_TEST_CASE(request_answeredRecently_isNotReported)
{
    (void)quarantine.onAnswered("a", now);
    for (int end = 0; end < 5; ++end) {
        BOOST_TEST(!sendAndCrash("a"));
    }
    BOOST_TEST(!isQuarantined("a"));
}

// Guards against a request being exempt from reports for ever, e.g. one that crashes endpoints only since their last release.
BOOST_AUTO_TEST_CASE(request_answeredLongAgo_isReported)
{
    (void)quarantine.onAnswered("a", now);
    for (int minute = 0; minute < 3; ++minute) {
        now += 1min;
        (void)quarantine.onAnswered("b", now);
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
        (void)quarantine.onAnswered("answered " + std::to_string(request), now);
    }
    BOOST_TEST(quarantine.size() == 5U);
    BOOST_TEST(quarantine.nextOrdinal("request 19") == 2U);
    BOOST_TEST(quarantine.nextOrdinal("request 0") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
