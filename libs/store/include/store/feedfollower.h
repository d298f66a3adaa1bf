#ifndef MAGNOLIA_STORE_FEEDFOLLOWER_H
#define MAGNOLIA_STORE_FEEDFOLLOWER_H

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

/** How a table is followed. */
struct FeedFollowerOptions {
    std::string name{}; ///< Of the table, for logs.
    Duration wait{1000}; ///< Of one question: also the longest time for which nothing is proved.
    Duration leastInterval{250}; ///< Between two questions, so that a storm of changes costs few of them.
    Duration overdue{250}; ///< Beyond the wait, then the question is put again: some 50 times what the store takes when it is well.
    Duration firstRetry{100}; ///< After a refusal.
    Duration longestRetry{400}; ///< With it a store that serves again is heard within half a second.
};

/**
 * Follows one table: reads it whole, then asks for changes; reads it whole again when the history has gone.
 *
 * A question that gets no answer in time is put again over a new connection while the first one still hangs, and the first
 * answer counts: what holds a question up for good (a connection that something on the way has forgotten, a packet that
 * was lost while there was no way) would otherwise put off all news by the time until that question is given up.
 *
 * Says after each answer as of when everything that it has told is the newest. Lives on one event loop; destroying it ends
 * all callbacks. F models ChangeFeed and outlives it.
 *
 * @code
 * FeedFollower follower(loop, feed, {.name = "routes"}, {.all = ..., .changed = ..., .confirmed = ...});
 * follower.start();
 * @endcode
 */
template<ChangeFeed F>
class FeedFollower
{
public:
    struct Callbacks {
        std::function<void(std::span<const FeedRow>)> all{}; ///< Every row; what is not among them is gone.
        std::function<void(std::span<const FeedRow>)> changed{};
        std::function<void(BootTime asOf)> confirmed{}; ///< All that was told is the newest as of then.
        std::function<void()> lost{}; ///< The store does not answer.
        std::function<void()> regained{}; ///< Before the first answer after that is told.
    };

    FeedFollower(event_base *loop, F &feed, FeedFollowerOptions options, Callbacks callbacks)
        : feed_(feed), options_(std::move(options)), callbacks_(std::move(callbacks)), timer_(loop, [this] { timerFired(); }), retry_(options_.firstRetry)
    {
    }
    FeedFollower(const FeedFollower &) = delete;
    FeedFollower &operator=(const FeedFollower &) = delete;

    void start()
    {
        answeredAt_ = BootClock::now();
        ask();
    }

    /** Of the store when it gave the last answer; already the new one while that is told. */
    std::uint64_t version() const
    {
        return version_;
    }

private:
    /** Begins a round of questions, which ends with the first answer to any of them. */
    void ask()
    {
        putQuestion(needsAll_ ? Duration(0) : options_.wait);
    }

    void timerFired()
    {
        if (questions_ == 0) {
            ask();
            return;
        }
        feed_.dropConnections(); // Those that are idle may have fallen silent too.
        putQuestion(Duration(0));
    }

    void putQuestion(Duration wait)
    {
        const BootTime askedAt = BootClock::now();
        ++questions_;
        const auto done = [this, askedAt, round = round_, alive = std::weak_ptr<bool>(alive_)](Result<FeedAnswer> answer) {
            if (!alive.expired() && round == round_) {
                answered(std::move(answer), askedAt);
            }
        };
        setNext(askedAt + wait + options_.overdue);
        if (needsAll_) {
            feed_.readAll(done);
        } else {
            feed_.changesAfter(version_, wait, done);
        }
    }

    void setNext(BootTime next)
    {
        next_ = next;
        timer_.start(std::max(std::chrono::ceil<Duration>(next - BootClock::now()), Duration(0)));
    }

    void answered(Result<FeedAnswer> answer, BootTime askedAt)
    {
        if (!answer) {
            failed(answer.error());
            return;
        }
        const BootTime now = BootClock::now();
        logHowLong(askedAt, now);
        ++round_; // What still hangs may tell of an earlier state, and is not heeded.
        questions_ = 0;
        retry_ = options_.firstRetry;
        if (std::exchange(isLost_, false)) {
            call(callbacks_.regained);
        }
        if (answer->isHistoryGone) {
            observe::logger("store")->info("History is gone, all is read table={} version={}", options_.name, version_);
            needsAll_ = true;
            ask();
            return;
        }
        const bool wasAll = std::exchange(needsAll_, false);
        version_ = answer->version;
        answeredAt_ = now;
        const BootTime asOf = clock_.answered(askedAt, answer->storeTime, now);
        if (wasAll) {
            callbacks_.all(answer->rows);
        } else if (!answer->rows.empty()) {
            callbacks_.changed(answer->rows);
        }
        callbacks_.confirmed(asOf);
        setNext(askedAt + options_.leastInterval);
    }

    /** One line if it took more than one question: whoever reads it learns how long nothing was heard, and what hung. */
    void logHowLong(BootTime askedAt, BootTime now) const
    {
        if (questions_ == 1 && !isLost_) {
            return;
        }
        observe::logger("store")->info("Answers again table={} silent_ms={} question_ms={} questions={}",
                                       options_.name,
                                       std::chrono::duration_cast<Duration>(now - answeredAt_).count(),
                                       std::chrono::duration_cast<Duration>(now - askedAt).count(),
                                       questions_);
    }

    void failed(const Failure &failure)
    {
        if (!std::exchange(isLost_, true)) {
            observe::logger("store")->warn("Does not answer table={} cause={}", options_.name, failure.detail);
            call(callbacks_.lost);
        }
        // A refusal comes at once, and the store may take the next question; one that hung has been put again already.
        const BootTime next = BootClock::now() + retry_;
        retry_ = std::min(2 * retry_, options_.longestRetry);
        if (next < next_) {
            setNext(next);
        }
    }

    static void call(const std::function<void()> &callback)
    {
        if (callback) {
            callback();
        }
    }

    F &feed_;
    FeedFollowerOptions options_;
    Callbacks callbacks_;
    http::Timer timer_;
    StoreClock clock_;
    BootTime answeredAt_; ///< The last answer, or the start.
    BootTime next_; ///< When the timer fires.
    std::uint64_t version_ = 0;
    std::uint64_t round_ = 0;
    int questions_ = 0; ///< Put in this round; 0: it has not begun.
    bool needsAll_ = true;
    bool isLost_ = false;
    Duration retry_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace magnolia::store

#endif
