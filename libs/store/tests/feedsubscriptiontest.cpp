#include "store/feedsubscription.h"

#include "http/eventhandles.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

namespace magnolia::store
{

namespace
{

using namespace std::chrono_literals;

/** A feed whose answers are scripted by the test, one per call. */
class ScriptedFeed
{
public:
    explicit ScriptedFeed(event_base *loop) : timer_(loop, [this] { answer(); }) {}

    void readAll(FeedCallback done)
    {
        recordCall("all", std::move(done));
    }
    void pollChanges(std::uint64_t version, Duration /*wait*/, FeedCallback done)
    {
        recordCall("after " + std::to_string(version), std::move(done));
    }
    void dropConnections()
    {
        ++connectionDrops;
    }

    /** Answers the oldest hanging call. */
    void answerOldestHungCall(Result<FeedAnswer> answer)
    {
        const auto done = std::move(hungCalls_.front());
        hungCalls_.pop_front();
        done(std::move(answer));
    }

    std::deque<Result<FeedAnswer>> answers;
    std::vector<std::string> calls;
    int connectionDrops = 0;
    int callsToHang = 0; ///< The number of calls left to hang, after the first `callsBeforeHang`.
    std::size_t callsBeforeHang = 0; ///< The number of calls answered before any hangs.

private:
    void recordCall(std::string call, FeedCallback done)
    {
        calls.push_back(std::move(call));
        if (callsToHang > 0 && calls.size() > callsBeforeHang) {
            --callsToHang;
            hungCalls_.push_back(std::move(done));
            return;
        }
        done_ = std::move(done);
        if (!answers.empty()) {
            timer_.start(Duration(0));
        }
    }

    void answer()
    {
        const auto done = std::exchange(done_, {});
        auto next = std::move(answers.front());
        answers.pop_front();
        done(std::move(next));
    }

    http::Timer timer_;
    FeedCallback done_;
    std::deque<FeedCallback> hungCalls_;
};

FeedAnswer answerOf(std::uint64_t version, std::vector<FeedRow> rows)
{
    return {.rows = std::move(rows), .version = version, .storeTime = 1000ms};
}

struct FeedSubscriptionFixture {
    FeedSubscriptionFixture() : feed(loop.get()) {}

    void subscribe()
    {
        subscription = std::make_unique<FeedSubscription<ScriptedFeed>>(
            loop.get(),
            feed,
            FeedSubscriptionOptions{.name = "t", .wait = 10ms, .minInterval = 1ms, .overdueMargin = 20ms, .initialBackoff = 1ms, .maxBackoff = 2ms},
            FeedSubscription<ScriptedFeed>::Callbacks{
                .onSnapshot = [this](std::span<const FeedRow> rows) { events.push_back("all " + std::to_string(rows.size())); },
                .onDelta = [this](std::span<const FeedRow> rows) { events.push_back("changed " + rows.front().key); },
                .onConfirmed = [this](BootTime) { events.push_back("confirmed"); },
                .onUnreachable = [this] { events.push_back("lost"); },
                .onRecovered = [this] { events.push_back("regained"); }});
        subscription->start();
        const std::size_t expected = feed.answers.size() + feed.callsToHang + 1;
        const BootTime end = BootClock::now() + 5s;
        while (feed.calls.size() < expected && BootClock::now() < end) {
            event_base_loop(loop.get(), EVLOOP_ONCE);
        }
    }

    http::EventBasePtr loop{event_base_new()};
    ScriptedFeed feed;
    std::vector<std::string> events;
    std::unique_ptr<FeedSubscription<ScriptedFeed>> subscription;
};

using Texts = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(FeedSubscriptionTest, FeedSubscriptionFixture)

BOOST_AUTO_TEST_CASE(start_rowsPresent_readsSnapshotThenPollsAfterItsVersion)
{
    feed.answers.push_back(answerOf(7, {{.key = "a", .value = "1"}}));
    feed.answers.push_back(answerOf(9, {{.key = "b", .value = "2"}}));
    subscribe();
    BOOST_TEST(feed.calls == (Texts{"all", "after 7", "after 9"}), boost::test_tools::per_element());
    BOOST_TEST(events == (Texts{"all 1", "confirmed", "changed b", "confirmed"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(longPoll_nothingChanged_confirms)
{
    feed.answers.push_back(answerOf(7, {}));
    feed.answers.push_back(answerOf(7, {}));
    subscribe();
    BOOST_TEST(events == (Texts{"all 0", "confirmed", "confirmed"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(history_gone_readsSnapshotAgain)
{
    // Guards against serving by an outdated configuration: a poll after a version that the store has truncated from its
    // history never returns the changes in between.
    feed.answers.push_back(answerOf(7, {}));
    feed.answers.push_back(FeedAnswer{.isHistoryUnavailable = true});
    feed.answers.push_back(answerOf(20, {{.key = "a", .value = "1"}}));
    subscribe();
    BOOST_TEST(feed.calls == (Texts{"all", "after 7", "all", "after 20"}), boost::test_tools::per_element());
    BOOST_TEST(events == (Texts{"all 0", "confirmed", "all 1", "confirmed"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(store_failing_isRetriedOverNewConnectionAfterTheSameVersion)
{
    feed.answers.push_back(answerOf(7, {}));
    feed.answers.push_back(fail(ErrorCode::DeadlineExceeded, Verdict::MayHaveRun, "no answer"));
    feed.answers.push_back(fail(ErrorCode::DeadlineExceeded, Verdict::MayHaveRun, "no answer"));
    feed.answers.push_back(answerOf(8, {{.key = "a", .value = "1"}}));
    subscribe();
    BOOST_TEST(feed.connectionDrops == 2);
    BOOST_TEST(feed.calls == (Texts{"all", "after 7", "after 7", "after 7", "after 8"}), boost::test_tools::per_element());
    BOOST_TEST(events == (Texts{"all 0", "confirmed", "lost", "regained", "changed a", "confirmed"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(poll_hangs_isRepeatedOverNewConnectionAndFirstAnswerIsUsed)
{
    // Guards against delayed changes (up to 1.9 s, and 1.4 s after a network outage): a middlebox had dropped the connection of a poll, and the next
    // poll waited until that one timed out.
    feed.answers.push_back(answerOf(7, {}));
    feed.callsBeforeHang = 1;
    feed.callsToHang = 2;
    feed.answers.push_back(answerOf(8, {{.key = "a", .value = "1"}}));
    subscribe();
    BOOST_TEST(feed.calls == (Texts{"all", "after 7", "after 7", "after 7", "after 8"}), boost::test_tools::per_element());
    BOOST_TEST(feed.connectionDrops == 2);
    BOOST_TEST(events == (Texts{"all 0", "confirmed", "changed a", "confirmed"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(hungPoll_answeredAfterItsRepetition_isIgnored)
{
    // Its answer may be older than the one delivered already.
    feed.answers.push_back(answerOf(7, {}));
    feed.callsBeforeHang = 1;
    feed.callsToHang = 1;
    feed.answers.push_back(answerOf(9, {{.key = "a", .value = "2"}}));
    subscribe();
    const std::vector<std::string> before = events;
    feed.answerOldestHungCall(answerOf(8, {{.key = "a", .value = "1"}}));
    BOOST_TEST(events == before, boost::test_tools::per_element());
    BOOST_TEST(subscription->version() == 9U);
}

BOOST_AUTO_TEST_CASE(hungPoll_failsAfterItsRepetition_isNotReportedAsOutage)
{
    feed.answers.push_back(answerOf(7, {}));
    feed.callsBeforeHang = 1;
    feed.callsToHang = 1;
    feed.answers.push_back(answerOf(8, {}));
    subscribe();
    feed.answerOldestHungCall(fail(ErrorCode::DeadlineExceeded, Verdict::MayHaveRun, "no answer"));
    BOOST_TEST(!std::any_of(events.begin(), events.end(), [](const std::string &text) { return text == "lost"; }));
}

BOOST_AUTO_TEST_CASE(store_unresponsive_isPolledAtAConstantRate)
{
    feed.callsBeforeHang = 0;
    feed.callsToHang = 1000;
    subscription = std::make_unique<FeedSubscription<ScriptedFeed>>(
        loop.get(), feed, FeedSubscriptionOptions{.wait = 10ms, .overdueMargin = 20ms}, FeedSubscription<ScriptedFeed>::Callbacks{});
    subscription->start();
    const timeval pause{.tv_sec = 0, .tv_usec = 200'000};
    event_base_loopexit(loop.get(), &pause);
    event_base_dispatch(loop.get());
    BOOST_TEST(feed.calls.size() >= 5U);
    BOOST_TEST(feed.calls.size() <= 11U);
}

BOOST_AUTO_TEST_CASE(subscription_destroyedDuringACall_isNotCalledBack)
{
    feed.answers.push_back(answerOf(7, {}));
    subscription = std::make_unique<FeedSubscription<ScriptedFeed>>(loop.get(), feed, FeedSubscriptionOptions{}, FeedSubscription<ScriptedFeed>::Callbacks{});
    subscription->start();
    subscription.reset();
    event_base_loop(loop.get(), EVLOOP_ONCE);
    BOOST_TEST(events.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::store
