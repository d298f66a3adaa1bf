#ifndef MAGNOLIA_STORE_ROWWRITER_H
#define MAGNOLIA_STORE_ROWWRITER_H

#include "base/clock.h"
#include "base/failure.h"
#include "http/timer.h"
#include "observe/log.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::store
{

/** A row to be written, or removed. */
struct RowChange {
    std::string key;
    std::optional<std::string> value; ///< Nothing: the row is removed.
};

using RowsWritten = std::function<void(Result<void>)>;

/** A table whose rows may be written without a condition. Calls back exactly once, on the loop's thread, never from within the call. */
template<typename T>
concept WritableTable = requires(T &table, const std::vector<RowChange> &changes, RowsWritten done)
{
    table.write(changes, done);
};

struct RowWriterOptions {
    std::string name{}; ///< Of the table, for logs.
    Duration gathering{20}; ///< Changes of so long go in one call.
    Duration retryInterval{250};
    std::size_t mostInCall = 100;
    std::size_t mostPending = 2000; ///< Beyond that changes are dropped, and logged.
};

/**
 * Writes rows as soon as the store takes them.
 *
 * A change stays until the store has acknowledged it; a later one of the same row replaces it. What may have been written
 * is written again, so rows must bear that. Lives on one event loop. T models WritableTable and outlives it.
 *
 * @code
 * RowWriter writer(loop, table, {.name = "crashes"});
 * writer.put("a.1", "{}");
 * writer.remove("a.1");
 * @endcode
 */
template<WritableTable T>
class RowWriter
{
public:
    RowWriter(event_base *loop, T &table, RowWriterOptions options) : table_(table), options_(std::move(options)), timer_(loop, [this] { flush(); }) {}
    RowWriter(const RowWriter &) = delete;
    RowWriter &operator=(const RowWriter &) = delete;

    void put(const std::string &key, std::string value)
    {
        change(key, std::move(value));
    }

    void remove(const std::string &key)
    {
        change(key, std::nullopt);
    }

private:
    using Changes = std::map<std::string, std::optional<std::string>>;

    void change(const std::string &key, std::optional<std::string> value)
    {
        if (pending_.size() >= options_.mostPending && !pending_.contains(key)) {
            observe::logger("store")->error("A change is dropped, too many wait table={} key={}", options_.name, key);
            return;
        }
        pending_.insert_or_assign(key, std::move(value));
        if (!isWaiting_ && inFlight_.empty()) {
            startTimer(options_.gathering);
        }
    }

    void startTimer(Duration delay)
    {
        isWaiting_ = true;
        timer_.start(delay);
    }

    void flush()
    {
        isWaiting_ = false;
        std::vector<RowChange> changes;
        while (!pending_.empty() && changes.size() < options_.mostInCall) {
            auto node = pending_.extract(pending_.begin());
            changes.push_back({.key = node.key(), .value = node.mapped()});
            inFlight_.insert(std::move(node));
        }
        table_.write(changes, [this, alive = std::weak_ptr<bool>(alive_)](const Result<void> &done) {
            if (!alive.expired()) {
                written(done);
            }
        });
    }

    void written(const Result<void> &done)
    {
        Changes sent = std::exchange(inFlight_, {});
        if (!done) {
            if (!std::exchange(isFailing_, true)) {
                observe::logger("store")->warn("Not written, it is tried again table={} rows={} cause={}", options_.name, sent.size(), done.error().detail);
            }
            pending_.merge(sent); // Later changes of the same rows stand.
            startTimer(options_.retryInterval);
            return;
        }
        if (std::exchange(isFailing_, false)) {
            observe::logger("store")->info("Written again table={} rows={}", options_.name, sent.size());
        }
        if (!pending_.empty()) {
            startTimer(options_.gathering);
        }
    }

    T &table_;
    RowWriterOptions options_;
    http::Timer timer_;
    Changes pending_;
    Changes inFlight_;
    bool isWaiting_ = false; ///< For the next call.
    bool isFailing_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace magnolia::store

#endif
