#ifndef MAGNOLIA_STORE_FEEDSUBSCRIPTION_H
#define MAGNOLIA_STORE_FEEDSUBSCRIPTION_H

#include "http/timer.h"
#include "observe/log.h"
#include "store/changefeed.h"
#include "store/storeclock.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <utility>

namespace magnolia::store
{

/** Options of a FeedSubscription. */
struct FeedSubscriptionOptions {
    std::string name{}; ///< Name of the table in logs.
    Duration wait{1000}; ///< Long-poll timeout; also the longest time between two confirmations while the store is reachable.
    Duration minInterval{250}; ///< Minimum time between two polls, so that a burst of changes takes few of them.
    Duration overdueMargin{250}; ///< A poll is repeated once unanswered for this long after its wait; about 50 times a healthy store's latency.
    Duration initialBackoff{100}; ///< Delay before the first retry after a failure.
    Duration maxBackoff{400}; ///< Keeps the time to notice a store's recovery below half a second.
};

/**
 * Subscription to one table: reads a snapshot, then polls for changes, and reads a new snapshot if the store no longer has
 * the history of changes.
 *
 * An overdue poll is repeated over a new connection while the first one is still open, and the first answer is used.
 * Otherwise a poll that hangs for good (its connection was dropped by a middlebox, or a packet was lost during a network
 * outage) would delay all changes until that poll times out.
 *
 * After each answer, reports the time as of which the delivered rows were the newest. Not thread-safe: all calls are made on
 * the event loop. No callback is called after destruction. F models ChangeFeed and must outlive the subscription.
 *
 * @code
 * FeedSubscription subscription(loop, feed, {.name = "routes"}, {.onSnapshot = ..., .onDelta = ..., .onConfirmed = ...});
 * subscription.start();
 * @endcode
 */
template<ChangeFeed F>
class FeedSubscription
{
public:
    struct Callbacks {
        std::function<void(std::span<const FeedRow>)> onSnapshot{}; ///< Receives all rows of the table; rows not among them have been removed.
        std::function<void(std::span<const FeedRow>)> onDelta{}; ///< Receives the changed and removed rows.
        std::function<void(BootTime asOf)> onConfirmed{}; ///< The rows delivered so far were the newest at this time.
        std::function<void()> onUnreachable{}; ///< A call to the store failed; called once per outage.
        std::function<void()> onRecovered{}; ///< The store answered after an outage; called before the answer's rows are delivered.
    };

    FeedSubscription(event_base *loop, F &feed, FeedSubscriptionOptions options, Callbacks callbacks)
        : feed_(feed), options_(std::move(options)), callbacks_(std::move(callbacks)), timer_(loop, [this] { onTimer(); }), backoff_(options_.initialBackoff)
    {
    }
    FeedSubscription(const FeedSubscription &) = delete;
    FeedSubscription &operator=(const FeedSubscription &) = delete;

    void start()
    {
        lastAnswerAt_ = BootClock::now();
        startRound();
    }

    /** Version of the last answer; inside the callbacks, that of the answer being delivered. */
    std::uint64_t version() const
    {
        return version_;
    }

private:
    /** Starts a round: a poll and its repetitions, until one of them is answered. */
    void startRound()
    {
        sendPoll(needsSnapshot_ ? Duration(0) : options_.wait);
    }

    void onTimer()
    {
        if (pollsInRound_ == 0) {
            startRound();
            return;
        }
        feed_.dropConnections(); // Idle connections may be dead as well.
        sendPoll(Duration(0));
    }

    void sendPoll(Duration wait)
    {
        const BootTime sentAt = BootClock::now();
        ++pollsInRound_;
        const auto done = [this, sentAt, round = round_, alive = std::weak_ptr<bool>(alive_)](Result<FeedAnswer> answer) {
            if (!alive.expired() && round == round_) {
                onAnswer(std::move(answer), sentAt);
            }
        };
        scheduleTimer(sentAt + wait + options_.overdueMargin);
        if (needsSnapshot_) {
            feed_.readAll(done);
        } else {
            feed_.pollChanges(version_, wait, done);
        }
    }

    void scheduleTimer(BootTime dueAt)
    {
        timerDueAt_ = dueAt;
        timer_.start(std::max(std::chrono::ceil<Duration>(dueAt - BootClock::now()), Duration(0)));
    }

    void onAnswer(Result<FeedAnswer> answer, BootTime sentAt)
    {
        if (!answer) {
            onFailure(answer.error());
            return;
        }
        const BootTime now = BootClock::now();
        logRecovery(sentAt, now);
        ++round_; // Ignores later answers to polls of this round, which may be outdated.
        pollsInRound_ = 0;
        backoff_ = options_.initialBackoff;
        if (std::exchange(isUnreachable_, false)) {
            invokeIfSet(callbacks_.onRecovered);
        }
        if (answer->isHistoryUnavailable) {
            observe::logger("store")->info("Change history is gone, reading a snapshot table={} version={}", options_.name, version_);
            needsSnapshot_ = true;
            startRound();
            return;
        }
        const bool wasSnapshot = std::exchange(needsSnapshot_, false);
        version_ = answer->version;
        lastAnswerAt_ = now;
        const BootTime asOf = clock_.estimateAnswerTime(sentAt, answer->storeTime, now);
        if (wasSnapshot) {
            callbacks_.onSnapshot(answer->rows);
        } else if (!answer->rows.empty()) {
            callbacks_.onDelta(answer->rows);
        }
        callbacks_.onConfirmed(asOf);
        scheduleTimer(sentAt + options_.minInterval);
    }

    /** Logs the length of the gap if the answer took more than one poll or followed an outage. */
    void logRecovery(BootTime sentAt, BootTime now) const
    {
        if (pollsInRound_ == 1 && !isUnreachable_) {
            return;
        }
        observe::logger("store")->info("Store answers again table={} silent_ms={} question_ms={} questions={}",
                                       options_.name,
                                       std::chrono::duration_cast<Duration>(now - lastAnswerAt_).count(),
                                       std::chrono::duration_cast<Duration>(now - sentAt).count(),
                                       pollsInRound_);
    }

    void onFailure(const Failure &failure)
    {
        if (!std::exchange(isUnreachable_, true)) {
            observe::logger("store")->warn("Store does not answer table={} cause={}", options_.name, failure.detail);
            invokeIfSet(callbacks_.onUnreachable);
        }
        // A refusal arrives at once, so the poll is retried after the backoff. A poll that hung has been repeated already, by the timer.
        const BootTime dueAt = BootClock::now() + backoff_;
        backoff_ = std::min(2 * backoff_, options_.maxBackoff);
        if (dueAt < timerDueAt_) {
            scheduleTimer(dueAt);
        }
    }

    static void invokeIfSet(const std::function<void()> &callback)
    {
        if (callback) {
            callback();
        }
    }

    F &feed_;
    FeedSubscriptionOptions options_;
    Callbacks callbacks_;
    http::Timer timer_;
    StoreClock clock_;
    BootTime lastAnswerAt_; ///< Time of the last answer, or of the start.
    BootTime timerDueAt_;
    std::uint64_t version_ = 0;
    std::uint64_t round_ = 0;
    int pollsInRound_ = 0; ///< Polls sent in this round; 0 if it has not started.
    bool needsSnapshot_ = true;
    bool isUnreachable_ = false;
    Duration backoff_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace magnolia::store

#endif
