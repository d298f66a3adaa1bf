#include "entry/requesttracker.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::entry;
using namespace std::chrono_literals;

namespace
{

constexpr RequestId Id{.high = 1, .low = 2};
constexpr wire::Incarnation FirstIncarnation = 10;
constexpr wire::Incarnation SecondIncarnation = 11;
constexpr LinkId FirstLink = 100;
constexpr LinkId FreshLink = 101;
constexpr LinkId OtherLink = 200;

/** Drives one tracker by hand and keeps what it gave out. */
struct Fixture {
    explicit Fixture(RequestTracker::Options options = {.id = Id, .deadline = MonoTime{} + 30s}) : tracker(options)
    {
        tracker.start(actions);
    }

    void dispatch(const std::string &endpoint = "engine-1", wire::Incarnation incarnation = FirstIncarnation, LinkId link = FirstLink)
    {
        tracker.dispatched({.agent = endpoint, .incarnation = incarnation, .link = link});
    }

    void chunk(std::uint32_t index, LinkId link = FirstLink, std::uint32_t attempt = 1)
    {
        tracker.chunk(link, {.id = {Id, attempt}, .index = index, .data = std::to_string(index)}, now, actions);
    }

    void whole(std::uint32_t chunks, LinkId link = FirstLink, std::uint32_t attempt = 1)
    {
        wire::Finish finish;
        finish.id = {Id, attempt};
        finish.verdict = Verdict::Ran;
        finish.status = 200;
        finish.chunks = chunks;
        tracker.finish(link, finish, now, actions);
    }

    void refuse(Verdict verdict, const std::string &code, LinkId link = FirstLink, std::uint32_t attempt = 1, std::uint32_t status = 0)
    {
        wire::Finish finish;
        finish.id = {Id, attempt};
        finish.verdict = verdict;
        finish.status = status;
        finish.errorCode = code;
        finish.retryAfter = 2000ms;
        tracker.finish(link, finish, now, actions);
    }

    void breakLinkAndReturnAs(wire::Incarnation incarnation)
    {
        tracker.linkDown(FirstLink);
        tracker.linkUp({.agent = "engine-1", .incarnation = incarnation, .link = FreshLink}, now, actions);
    }

    void answerQuery(Verdict verdict, bool running, wire::Incarnation incarnation = FirstIncarnation)
    {
        tracker.queryAnswer(FreshLink, {.id = {Id, 1}, .incarnation = incarnation, .verdict = verdict, .running = running}, now, actions);
    }

    template<typename T>
    std::vector<T> all() const
    {
        std::vector<T> found;
        for (const TrackerAction &action : actions) {
            if (const T *match = std::get_if<T>(&action)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    std::string delivered() const
    {
        std::string text;
        for (const DeliverChunk &piece : all<DeliverChunk>()) {
            text += piece.data;
        }
        return text;
    }

    const Conclude &end() const
    {
        const auto isEnd = [](const TrackerAction &action) { return std::holds_alternative<Conclude>(action); };
        BOOST_REQUIRE_EQUAL(std::count_if(actions.begin(), actions.end(), isEnd), 1);
        return std::get<Conclude>(*std::find_if(actions.begin(), actions.end(), isEnd));
    }

    bool ended() const
    {
        return !all<Conclude>().empty();
    }

    RequestTracker tracker;
    TrackerActions actions;
    MonoTime now;
};

/** A call that may not be run twice. */
struct BookingFixture : Fixture {
    BookingFixture() : Fixture({.id = Id, .deadline = MonoTime{} + 30s, .idempotent = false, .resumable = false}) {}
};

} // namespace

BOOST_AUTO_TEST_SUITE(RequestTrackerTest)

BOOST_FIXTURE_TEST_CASE(answer_inOrder_isDeliveredWhole, Fixture)
{
    dispatch();
    chunk(0);
    chunk(1);
    whole(2);
    BOOST_TEST(delivered() == "01");
    BOOST_TEST(!end().failure);
    BOOST_TEST(end().status == 200U);
    BOOST_TEST((end().verdict == Verdict::Ran));
}

// Guards against an answer with a piece missing, twice or in the wrong place, when pieces come in any order and twice.
BOOST_AUTO_TEST_CASE(answer_chunksAndFinishInAnyOrderAndDoubled_isDeliveredOnceInOrder)
{
    std::mt19937 random(7);
    for (int round = 0; round < 500; ++round) {
        std::vector<int> events{0, 1, 2, 3, 4, 5, 0, 1, 2, 3, 4, 5};
        std::shuffle(events.begin(), events.end(), random);
        Fixture fixture;
        fixture.dispatch();
        for (const int event : events) {
            if (event == 5) {
                fixture.whole(5);
            } else {
                fixture.chunk(static_cast<std::uint32_t>(event));
            }
        }
        BOOST_REQUIRE_EQUAL(fixture.delivered(), "01234");
        BOOST_REQUIRE(!fixture.end().failure);
        BOOST_REQUIRE_LE(fixture.all<SendAttach>().size(), 1U);
    }
}

BOOST_FIXTURE_TEST_CASE(refusal_notRun_goesToNextCandidateWithNextAttempt, Fixture)
{
    dispatch();
    refuse(Verdict::NotRun, "overloaded");
    const auto choices = all<ChooseEndpoint>();
    BOOST_REQUIRE_EQUAL(choices.size(), 2U);
    BOOST_TEST((choices[0].reason == RetryReason::First));
    BOOST_TEST((choices[1].reason == RetryReason::Refused));
    BOOST_TEST(choices[1].id.attempt == 2U);
    dispatch("engine-2", 5, OtherLink);
    chunk(0, OtherLink, 2);
    whole(1, OtherLink, 2);
    BOOST_TEST(!end().failure);
}

BOOST_FIXTURE_TEST_CASE(refusal_noCandidateLeft_endsWithTheAgentsReasonAndNotRun, Fixture)
{
    dispatch();
    refuse(Verdict::NotRun, "overloaded");
    tracker.noEndpoint({.code = ErrorCode::Unavailable, .verdict = Verdict::NotRun, .detail = "", .retryAfter = {}}, actions);
    BOOST_REQUIRE(end().failure);
    BOOST_TEST((end().failure->code == ErrorCode::Overloaded));
    BOOST_TEST((end().failure->retryAfter == 2000ms));
    BOOST_TEST((end().verdict == Verdict::NotRun));
}

BOOST_FIXTURE_TEST_CASE(send_neverLeftProcess_goesOnWithoutRetryBudget, Fixture)
{
    tracker.notSent(now, actions);
    BOOST_REQUIRE_EQUAL(all<ChooseEndpoint>().size(), 2U);
    BOOST_TEST((all<ChooseEndpoint>()[1].reason == RetryReason::Unsent));
    BOOST_TEST((tracker.verdict() == Verdict::NotRun));
}

BOOST_FIXTURE_TEST_CASE(attempts_atTheirLimit_endAsNotRun, Fixture)
{
    for (std::uint32_t attempt = 1; attempt <= 4; ++attempt) {
        dispatch();
        refuse(Verdict::NotRun, "leaving", FirstLink, attempt);
    }
    BOOST_TEST(all<ChooseEndpoint>().size() == 4U);
    BOOST_TEST((end().verdict == Verdict::NotRun));
}

// Guards against a booking that is made twice, since a failure without proof is taken for "not run".
BOOST_FIXTURE_TEST_CASE(booking_mayHaveRun_isNeverDispatchedAgain, BookingFixture)
{
    for (const char *code : {"connection_lost", "endpoint_error", "unavailable", "internal", "a code from a newer version"}) {
        BookingFixture fixture;
        fixture.dispatch();
        fixture.refuse(Verdict::MayHaveRun, code);
        BOOST_TEST(fixture.all<ChooseEndpoint>().size() == 1U);
        BOOST_TEST((fixture.end().verdict == Verdict::MayHaveRun));
    }
}

BOOST_FIXTURE_TEST_CASE(booking_notRun_isDispatchedAgain, BookingFixture)
{
    dispatch();
    refuse(Verdict::NotRun, "leaving");
    BOOST_REQUIRE_EQUAL(all<ChooseEndpoint>().size(), 2U);
    BOOST_TEST((all<ChooseEndpoint>()[1].reason == RetryReason::Moved));
}

// Guards against a piece that comes twice or is missing after a failover, by a rerun from elsewhere or late chunks of the dead attempt.
BOOST_FIXTURE_TEST_CASE(stream_engineDied_resumesAfterLastChunkGivenOut, Fixture)
{
    dispatch();
    chunk(0);
    chunk(1);
    chunk(3);
    refuse(Verdict::Ran, "connection_lost");
    BOOST_REQUIRE_EQUAL(all<ChooseEndpoint>().size(), 2U);
    BOOST_TEST(all<ChooseEndpoint>()[1].resumeAfter == 2U);
    BOOST_TEST((all<ChooseEndpoint>()[1].reason == RetryReason::Lost));
    dispatch("engine-2", 5, OtherLink);
    chunk(2);
    BOOST_TEST(delivered() == "01");
    chunk(2, OtherLink, 2);
    whole(3, OtherLink, 2);
    BOOST_TEST(delivered() == "012");
    BOOST_TEST(!end().failure);
}

BOOST_FIXTURE_TEST_CASE(link_broken_asksOverTheFreshLinkAndGoesOn, Fixture)
{
    dispatch();
    chunk(0);
    breakLinkAndReturnAs(FirstIncarnation);
    BOOST_REQUIRE_EQUAL(all<SendQuery>().size(), 1U);
    answerQuery(Verdict::MayHaveRun, true);
    BOOST_REQUIRE_EQUAL(all<SendAttach>().size(), 1U);
    BOOST_TEST(all<SendAttach>()[0].attach.fromChunk == 1U);
    chunk(1); // Late, over the link that broke.
    BOOST_TEST(delivered() == "0");
    chunk(1, FreshLink);
    whole(2, FreshLink);
    BOOST_TEST(delivered() == "01");
    BOOST_TEST(!end().failure);
}

BOOST_FIXTURE_TEST_CASE(booking_linkBrokenAndAgentSaysNotRun_isDispatchedAgain, BookingFixture)
{
    dispatch();
    breakLinkAndReturnAs(FirstIncarnation);
    BOOST_TEST((tracker.verdict() == Verdict::MayHaveRun));
    answerQuery(Verdict::NotRun, false);
    BOOST_TEST(all<ChooseEndpoint>().size() == 2U);
    BOOST_TEST((tracker.verdict() == Verdict::NotRun));
}

// Guards against "not run" being told for a booking that ran, since the agent's new incarnation knows nothing of it.
BOOST_FIXTURE_TEST_CASE(booking_agentRestarted_isMayHaveRun, BookingFixture)
{
    dispatch();
    breakLinkAndReturnAs(SecondIncarnation);
    BOOST_TEST(all<SendQuery>().empty());
    BOOST_TEST(all<ChooseEndpoint>().size() == 1U);
    BOOST_TEST((end().verdict == Verdict::MayHaveRun));
}

BOOST_FIXTURE_TEST_CASE(booking_queryAnsweredByAnotherIncarnation_isMayHaveRun, BookingFixture)
{
    dispatch();
    breakLinkAndReturnAs(FirstIncarnation);
    answerQuery(Verdict::NotRun, false, SecondIncarnation);
    BOOST_TEST((end().verdict == Verdict::MayHaveRun));
}

BOOST_FIXTURE_TEST_CASE(booking_peerLost_isAnsweredAtOnceAndCancelled, BookingFixture)
{
    dispatch();
    tracker.linkDown(FirstLink);
    BOOST_TEST(!ended());
    tracker.peerLost("engine-1", now, actions);
    BOOST_TEST((end().verdict == Verdict::MayHaveRun));
    BOOST_TEST(all<ChooseEndpoint>().size() == 1U);
}

// Guards against an agent that was only cut off working on for a caller that has its final answer.
BOOST_FIXTURE_TEST_CASE(booking_peerLost_cancelIsOwedToItsAgent, BookingFixture)
{
    dispatch();
    tracker.linkDown(FirstLink);
    tracker.peerLost("engine-1", now, actions);
    BOOST_TEST(ended());
    BOOST_TEST(all<SendCancel>().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(stream_peerLost_resumesElsewhereAndCancelsTheOldAttempt, Fixture)
{
    dispatch();
    chunk(0);
    tracker.linkDown(FirstLink);
    tracker.peerLost("engine-1", now, actions);
    BOOST_REQUIRE_EQUAL(all<SendCancel>().size(), 1U);
    BOOST_TEST(all<SendCancel>()[0].cancel.id.attempt == 1U);
    BOOST_REQUIRE_EQUAL(all<ChooseEndpoint>().size(), 2U);
    BOOST_TEST(all<ChooseEndpoint>()[1].resumeAfter == 1U);
}

BOOST_FIXTURE_TEST_CASE(verdict_chunkSeenThenAgentSaysNotRun_staysRan, BookingFixture)
{
    dispatch();
    chunk(0);
    refuse(Verdict::NotRun, "overloaded");
    BOOST_TEST((end().verdict == Verdict::Ran));
}

BOOST_FIXTURE_TEST_CASE(verdict_oneAttemptUnproved_isNotNotRun, Fixture)
{
    dispatch();
    refuse(Verdict::MayHaveRun, "connection_lost");
    dispatch("engine-2", 5, OtherLink);
    refuse(Verdict::NotRun, "overloaded", OtherLink, 2);
    tracker.noEndpoint({.code = ErrorCode::Unavailable, .verdict = Verdict::NotRun, .detail = "", .retryAfter = {}}, actions);
    BOOST_TEST((end().verdict == Verdict::MayHaveRun));
}

BOOST_FIXTURE_TEST_CASE(deadline_whileRunning_endsAtOnceAndCancels, Fixture)
{
    dispatch();
    tracker.deadlinePassed(actions);
    BOOST_TEST((end().failure->code == ErrorCode::DeadlineExceeded));
    BOOST_TEST((end().verdict == Verdict::MayHaveRun));
    BOOST_TEST(all<SendCancel>().size() == 1U);
    whole(0);
    BOOST_TEST(all<Conclude>().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(deadline_passedBeforeRetry_isNotRetried, Fixture)
{
    dispatch();
    now += 31s;
    refuse(Verdict::NotRun, "overloaded");
    BOOST_TEST(all<ChooseEndpoint>().size() == 1U);
    BOOST_TEST((end().verdict == Verdict::NotRun));
}

BOOST_FIXTURE_TEST_CASE(caller_hungUp_cancelsAndNothingFollows, Fixture)
{
    dispatch();
    tracker.callerGone(actions);
    BOOST_TEST(all<SendCancel>().size() == 1U);
    chunk(0);
    whole(1);
    refuse(Verdict::NotRun, "overloaded");
    BOOST_TEST(actions.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(endpointsOwnAnswer_clientError_isNotRetried, Fixture)
{
    dispatch();
    refuse(Verdict::Ran, "endpoint_error", FirstLink, 1, 404);
    BOOST_TEST(all<ChooseEndpoint>().size() == 1U);
    BOOST_TEST((end().verdict == Verdict::Ran));
}

BOOST_FIXTURE_TEST_CASE(chunks_gapBeyondHeldBytes_triesElsewhere, Fixture)
{
    dispatch();
    tracker.chunk(FirstLink, {.id = {Id, 1}, .index = 1, .data = std::string(2U << 20U, 'x')}, now, actions);
    BOOST_TEST(all<SendCancel>().size() == 1U);
    BOOST_TEST(all<ChooseEndpoint>().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
