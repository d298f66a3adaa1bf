#ifndef MAGNOLIA_AGENT_ATTEMPTLEDGER_H
#define MAGNOLIA_AGENT_ATTEMPTLEDGER_H

#include "base/clock.h"
#include "base/errorcode.h"
#include "base/verdict.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>

namespace magnolia::agent
{

/** Where an attempt stands. */
enum class AttemptState : std::uint8_t {
    Queued, ///< Taken, not begun at the endpoint.
    Running, ///< It may have begun at the endpoint.
    Ended, ///< Over, with a verdict. A tombstone is an attempt that ended as NotRun before it came.
};

/** The answer to a Dispatch. */
enum class LedgerAnswer : std::uint8_t {
    Accepted, ///< New, and queued from now on.
    Duplicate, ///< Already queued or running; its answer is on the way.
    Ended, ///< Ended before: never runs again. Its verdict is in the record.
    StaleIncarnation, ///< Addressed to another incarnation; never runs here.
    Full, ///< No memory to remember it by; never runs here.
};

/**
 * What this incarnation of the agent knows of each attempt.
 *
 * Only this ledger lets "not run" be said: a verdict NotRun stands for a record that refuses each later copy of the
 * attempt. Records of ended attempts outlast the longest deadline, counted in the time that the process was awake, since
 * a frozen process may find old copies in its sockets when it wakes. When memory is used up nothing is forgotten early;
 * new attempts are refused instead. Pure; one thread calls it; lives as long as the incarnation.
 *
 * @code
 * if (ledger.dispatch(dispatch, now) == LedgerAnswer::Accepted) { ... }
 * ledger.begin(id);
 * ledger.end(id, Verdict::Ran, now);
 * @endcode
 */
class AttemptLedger
{
public:
    struct Options {
        wire::Incarnation incarnation = 0; ///< Of this process.
        Duration retention{900000}; ///< How long ended attempts are remembered; longer than any deadline.
        Duration longestTick{5000}; ///< A gap between two calls longer than this was a pause, and counts as this much.
        std::size_t maxRecords = 200000; ///< About 150 bytes each.
    };

    struct Record {
        AttemptState state = AttemptState::Queued;
        Verdict verdict = Verdict::NotRun; ///< Of an ended attempt; else what would be true if it were given up now.
    };

    explicit AttemptLedger(const Options &options);

    /** A Dispatch arrived. Only Accepted may be queued. */
    LedgerAnswer dispatch(const wire::Dispatch &dispatch, MonoTime now);

    /** The attempt is about to be sent to the endpoint. @return false if it must not be, since it isn't queued. */
    bool begin(const wire::AttemptId &id);

    /** The attempt is over. The first end stands; a later one changes nothing. */
    void end(const wire::AttemptId &id, Verdict verdict, MonoTime now);

    /** A Cancel arrived. An unknown attempt gets a tombstone. @return what was known before. */
    Record cancel(const wire::AttemptId &id, MonoTime now);

    /** A Query arrived. An unknown attempt of this incarnation gets a tombstone, so that "not run" stays true. */
    wire::QueryAnswer query(const wire::Query &query, MonoTime now);

    /** @return the record, or nullptr. Valid until the next call. */
    const Record *find(const wire::AttemptId &id) const;

    std::size_t size() const;

private:
    struct Entry {
        Record record;
        Duration endedAt{0}; ///< In awake time.
    };

    void advance(MonoTime now);
    void forgetOld();
    bool insertTombstone(const wire::AttemptId &id);

    Options options_;
    std::map<wire::AttemptId, Entry> entries_;
    std::list<wire::AttemptId> ended_; ///< In the order of their ends.
    Duration awake_{0};
    MonoTime lastCall_;
    bool started_ = false;
};

} // namespace magnolia::agent

#endif
