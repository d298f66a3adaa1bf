#include "wire/dialpolicy.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace magnolia::wire
{

namespace
{

using namespace std::chrono_literals;

struct DialPolicyFixture {
    Random random{11};
    DialPolicy policy{DialPolicy::Options{}};
    MonoTime now{1h};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DialPolicyTest, DialPolicyFixture)

// Symptom: an agent that works is given up on, and its requests go elsewhere.
// Sequence: its open connection goes silent while new ones work.
// Cause: a lost connection taken for a lost peer.
BOOST_AUTO_TEST_CASE(lastingLink_lost_isReplacedAtOnceWithoutReport)
{
    policy.noteUp(now);
    const auto decision = policy.noteDown(now + 10s, random);
    BOOST_TEST((decision.delay == 0ms));
    BOOST_TEST(!decision.peerLost);
}

BOOST_AUTO_TEST_CASE(failedAttempts_ofOneOutage_reportTheLossOnce)
{
    policy.noteUp(now);
    policy.noteDown(now + 10s, random);
    BOOST_TEST(policy.noteFailedAttempt(random).peerLost);
    BOOST_TEST(!policy.noteFailedAttempt(random).peerLost);
    policy.noteUp(now + 20s);
    policy.noteDown(now + 30s, random);
    BOOST_TEST(policy.noteFailedAttempt(random).peerLost);
}

BOOST_AUTO_TEST_CASE(failedAttempts_inARow_backOffWithJitterUpToTheMaximum)
{
    std::set<Duration> delays;
    Duration whole = 100ms;
    for (int i = 0; i < 40; ++i) {
        const Duration delay = policy.noteFailedAttempt(random).delay;
        BOOST_TEST((delay >= whole / 2 && delay <= whole), "attempt " << i);
        delays.insert(delay);
        whole = std::min<Duration>(whole * 2, 3s);
    }
    BOOST_TEST(delays.size() > 20U);
}

// Symptom: two processes use all their time to open links to each other.
// Sequence: a link gets ready, one side breaks it at once for a message, the other one dials at once; and again.
// Cause: a link that was ready for a moment took the backoff away.
BOOST_AUTO_TEST_CASE(shortLivedLinks_lostInARow_backOff)
{
    Duration longest = 0ms;
    for (int i = 0; i < 10; ++i) {
        policy.noteUp(now);
        now += 10ms;
        const Duration delay = policy.noteDown(now, random).delay;
        BOOST_TEST((delay > 0ms));
        longest = std::max(longest, delay);
    }
    BOOST_TEST((longest >= 1500ms));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::wire
