#ifndef MAGNOLIA_STORE_TESTING_MEMORYTABLE_H
#define MAGNOLIA_STORE_TESTING_MEMORYTABLE_H

#include "store/tablestore.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace magnolia::store::testing
{

/**
 * In-memory table with injectable faults, for tests. Models TableStore.
 *
 * A call is only queued; deliver() applies it and calls back, so a test controls when each message arrives.
 *
 * @code
 * MemoryTable table;
 * table.failNextWrite(MemoryTable::Fault::LoseReply);
 * table.insert("claim/a", "mine", callback);
 * table.deliver(); // The row exists; the callback received MayHaveRun.
 * @endcode
 */
class MemoryTable
{
public:
    enum class Fault {
        LoseReply, ///< The write takes effect, but the caller receives MayHaveRun.
        LoseRequest, ///< The write has no effect; the caller receives the same MayHaveRun.
        DelayEffect, ///< The caller receives MayHaveRun; the write takes effect in releaseHeld().
        Hold, ///< The write takes effect and calls back in releaseHeld().
    };

    /** Injects a fault into the next write delivered; faults of several calls apply to successive writes. */
    void failNextWrite(Fault fault)
    {
        faults_.push_back(fault);
    }

    /** While the table is down, calls fail with Unavailable. @param verdict NotRun, as for a refused connection, or MayHaveRun. */
    void setDown(bool isDown, Verdict verdict = Verdict::NotRun)
    {
        isDown_ = isDown;
        downVerdict_ = verdict;
    }

    /** Delivers queued calls, including those made by their callbacks, until none is left. @return the number of calls delivered. */
    std::size_t deliver()
    {
        std::size_t count = 0;
        while (deliverOne()) {
            ++count;
        }
        return count;
    }

    /** Delivers the oldest queued call. @return false if there is none. */
    bool deliverOne()
    {
        if (queue_.empty()) {
            return false;
        }
        const std::function<void()> call = std::move(queue_.front());
        queue_.pop_front();
        call();
        return true;
    }

    /** Applies held calls and delayed effects, oldest first. */
    void releaseHeld()
    {
        for (const std::function<void()> &call : std::exchange(held_, {})) {
            call();
        }
    }

    /** Reads a row directly, bypassing the queue and faults. */
    std::optional<Row> peek(const std::string &key) const
    {
        const auto found = rows_.find(key);
        return found == rows_.end() ? std::nullopt : std::optional<Row>(found->second);
    }

    /** Writes a row directly, bypassing the queue and faults, as a concurrent writer. */
    void overwrite(const std::string &key, std::string value)
    {
        rows_[key] = {.value = std::move(value), .revision = ++lastRevision_};
    }

    std::uint64_t writesApplied() const
    {
        return lastRevision_;
    }

    void read(const std::string &key, ReadCallback done)
    {
        queue_.push_back([this, key, done = std::move(done)] { isDown_ ? done(downFailure()) : done(peek(key)); });
    }

    void list(const std::string &prefix, RowsCallback done)
    {
        queue_.push_back([this, prefix, done = std::move(done)] { isDown_ ? done(downFailure()) : done(rowsWith(prefix)); });
    }

    void insert(const std::string &key, std::string value, WriteCallback done)
    {
        enqueueWrite({.key = key, .ifRevision = NoRow, .value = std::move(value), .done = std::move(done)});
    }

    void replace(const std::string &key, std::uint64_t revision, std::string value, WriteCallback done)
    {
        enqueueWrite({.key = key, .ifRevision = revision, .value = std::move(value), .done = std::move(done)});
    }

    void remove(const std::string &key, std::uint64_t revision, WriteCallback done)
    {
        enqueueWrite({.key = key, .ifRevision = revision, .value = std::nullopt, .done = std::move(done)});
    }

private:
    static constexpr std::uint64_t NoRow = 0;

    struct Write {
        std::string key;
        std::uint64_t ifRevision = NoRow;
        std::optional<std::string> value; ///< nullopt removes the row.
        WriteCallback done;
    };

    tl::unexpected<Failure> downFailure() const
    {
        return fail(ErrorCode::Unavailable, downVerdict_, "the table is down");
    }

    static tl::unexpected<Failure> lostReply()
    {
        return fail(ErrorCode::ConnectionLost, Verdict::MayHaveRun, "the reply was lost");
    }

    std::map<std::string, Row> rowsWith(const std::string &prefix) const
    {
        std::map<std::string, Row> rows;
        for (auto row = rows_.lower_bound(prefix); row != rows_.end() && row->first.starts_with(prefix); ++row) {
            rows.insert(*row);
        }
        return rows;
    }

    void enqueueWrite(Write write)
    {
        queue_.push_back([this, write = std::move(write)] { deliverWrite(write); });
    }

    void deliverWrite(const Write &write)
    {
        if (isDown_) {
            write.done(downFailure());
            return;
        }
        if (faults_.empty()) {
            write.done(apply(write));
            return;
        }
        const Fault fault = faults_.front();
        faults_.pop_front();
        switch (fault) {
        case Fault::LoseReply:
            apply(write);
            write.done(lostReply());
            break;
        case Fault::LoseRequest:
            write.done(lostReply());
            break;
        case Fault::DelayEffect:
            held_.push_back([this, write] { apply(write); });
            write.done(lostReply());
            break;
        case Fault::Hold:
            held_.push_back([this, write] { write.done(apply(write)); });
            break;
        }
    }

    WriteOutcome apply(const Write &write)
    {
        const std::optional<Row> current = peek(write.key);
        const bool isConditionMet = (current ? current->revision : NoRow) == write.ifRevision;
        if (isConditionMet && write.value) {
            overwrite(write.key, *write.value);
        } else if (isConditionMet) {
            rows_.erase(write.key);
        }
        return {.applied = isConditionMet, .current = peek(write.key)};
    }

    std::map<std::string, Row> rows_;
    std::uint64_t lastRevision_ = 0;
    std::deque<Fault> faults_;
    std::deque<std::function<void()>> queue_;
    std::deque<std::function<void()>> held_;
    bool isDown_ = false;
    Verdict downVerdict_ = Verdict::NotRun;
};

static_assert(TableStore<MemoryTable>);

} // namespace magnolia::store::testing

#endif
