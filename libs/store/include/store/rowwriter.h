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

/** A row to be written or removed. */
struct RowChange {
    std::string key;
    std::optional<std::string> value; ///< nullopt removes the row.
};

using WriteRowsCallback = std::function<void(Result<void>)>;

/** A table with unconditional writes. A write calls back exactly once, on the loop's thread, and never from within the call. */
template<typename T>
concept WritableTable = requires(T &table, const std::vector<RowChange> &changes, WriteRowsCallback done)
{
    table.write(changes, done);
};

struct RowWriterOptions {
    std::string name{}; ///< Name of the table in logs.
    Duration batchDelay{20}; ///< How long a change waits for others to join its batch.
    Duration retryInterval{250};
    std::size_t maxBatch = 100;
    std::size_t maxPending = 2000; ///< Changes beyond this are dropped and logged.
};

/**
 * Writes rows to a store in the background and retries until the store has acknowledged them.
 *
 * A change of a row replaces a pending one of the same row. A write whose outcome is unknown is repeated, so writes must be
 * idempotent. Not thread-safe: all calls are made on the event loop. T models WritableTable and must outlive the writer.
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
        enqueue(key, std::move(value));
    }

    void remove(const std::string &key)
    {
        enqueue(key, std::nullopt);
    }

private:
    using Changes = std::map<std::string, std::optional<std::string>>;

    void enqueue(const std::string &key, std::optional<std::string> value)
    {
        if (pending_.size() >= options_.maxPending && !pending_.contains(key)) {
            observe::logger("store")->error("Too many pending changes, dropping one table={} key={}", options_.name, key);
            return;
        }
        pending_.insert_or_assign(key, std::move(value));
        if (!isFlushScheduled_ && inFlight_.empty()) {
            scheduleFlush(options_.batchDelay);
        }
    }

    void scheduleFlush(Duration delay)
    {
        isFlushScheduled_ = true;
        timer_.start(delay);
    }

    void flush()
    {
        isFlushScheduled_ = false;
        std::vector<RowChange> changes;
        while (!pending_.empty() && changes.size() < options_.maxBatch) {
            auto node = pending_.extract(pending_.begin());
            changes.push_back({.key = node.key(), .value = node.mapped()});
            inFlight_.insert(std::move(node));
        }
        table_.write(changes, [this, alive = std::weak_ptr<bool>(alive_)](const Result<void> &result) {
            if (!alive.expired()) {
                onWritten(result);
            }
        });
    }

    void onWritten(const Result<void> &result)
    {
        Changes sent = std::exchange(inFlight_, {});
        if (!result) {
            if (!std::exchange(isFailing_, true)) {
                observe::logger("store")->warn("Write failed, retrying table={} rows={} cause={}", options_.name, sent.size(), result.error().detail);
            }
            pending_.merge(sent); // Keeps later changes of the same rows: merge() does not overwrite.
            scheduleFlush(options_.retryInterval);
            return;
        }
        if (std::exchange(isFailing_, false)) {
            observe::logger("store")->info("Writes succeed again table={} rows={}", options_.name, sent.size());
        }
        if (!pending_.empty()) {
            scheduleFlush(options_.batchDelay);
        }
    }

    T &table_;
    RowWriterOptions options_;
    http::Timer timer_;
    Changes pending_;
    Changes inFlight_;
    bool isFlushScheduled_ = false;
    bool isFailing_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace magnolia::store

#endif
