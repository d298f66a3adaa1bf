#ifndef MAGNOLIA_STORE_FEEDFOLLOWER_H
#define MAGNOLIA_STORE_FEEDFOLLOWER_H

#include "http/timer.h"
#include "observe/log.h"
#include "store/changefeed.h"
#include "store/storeclock.h"

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
    Duration firstRetry{100};
    Duration longestRetry{600}; ///< Below the time within which a change has to be in force.
};

/**
 * Follows one table: reads it whole, then asks for changes; reads it whole again when the history has gone.
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
        : feed_(feed), options_(std::move(options)), callbacks_(std::move(callbacks)), timer_(loop, [this] { ask(); }), retry_(options_.firstRetry)
    {
    }
    FeedFollower(const FeedFollower &) = delete;
    FeedFollower &operator=(const FeedFollower &) = delete;

    void start()
    {
        ask();
    }

private:
    void ask()
    {
        askedAt_ = BootClock::now();
        const auto done = [this, alive = std::weak_ptr<bool>(alive_)](Result<FeedAnswer> answer) {
            if (!alive.expired()) {
                answered(std::move(answer));
            }
        };
        if (needsAll_) {
            feed_.readAll(done);
        } else {
            feed_.changesAfter(version_, options_.wait, done);
        }
    }

    void answered(Result<FeedAnswer> answer)
    {
        if (!answer) {
            failed(answer.error());
            return;
        }
        if (std::exchange(isLost_, false)) {
            const BootTime now = BootClock::now();
            observe::logger("store")->info("Answers again table={} silent_ms={} question_ms={} unanswered={}",
                                           options_.name,
                                           std::chrono::duration_cast<Duration>(now - answeredAt_).count(),
                                           std::chrono::duration_cast<Duration>(now - askedAt_).count(),
                                           unanswered_);
            unanswered_ = 0;
            call(callbacks_.regained);
        }
        retry_ = options_.firstRetry;
        if (answer->isHistoryGone) {
            observe::logger("store")->info("History is gone, all is read table={} version={}", options_.name, version_);
            needsAll_ = true;
            ask();
            return;
        }
        const BootTime now = BootClock::now();
        const bool wasAll = std::exchange(needsAll_, false);
        version_ = answer->version;
        answeredAt_ = now;
        const BootTime asOf = clock_.answered(askedAt_, answer->storeTime, now);
        if (wasAll) {
            callbacks_.all(answer->rows);
        } else if (!answer->rows.empty()) {
            callbacks_.changed(answer->rows);
        }
        callbacks_.confirmed(asOf);
        timer_.start(std::chrono::duration_cast<Duration>(askedAt_ + options_.leastInterval - now));
    }

    void failed(const Failure &failure)
    {
        ++unanswered_;
        if (!std::exchange(isLost_, true)) {
            observe::logger("store")->warn("Does not answer table={} cause={}", options_.name, failure.detail);
            call(callbacks_.lost);
        }
        // A connection that fell silent for good is seen only by the missing answer: the next question goes by a new one.
        feed_.dropConnections();
        timer_.start(retry_);
        retry_ = std::min(2 * retry_, options_.longestRetry);
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
    BootTime askedAt_;
    BootTime answeredAt_; ///< The epoch: not yet.
    int unanswered_ = 0; ///< Questions that failed since the store last answered.
    std::uint64_t version_ = 0;
    bool needsAll_ = true;
    bool isLost_ = false;
    Duration retry_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace magnolia::store

#endif
