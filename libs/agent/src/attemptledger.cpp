#include "agent/attemptledger.h"

#include <algorithm>

namespace magnolia::agent
{

AttemptLedger::AttemptLedger(const Options &options) : options_(options) {}

LedgerAnswer AttemptLedger::dispatch(const wire::Dispatch &dispatch, MonoTime now)
{
    advance(now);
    // A request addressed to an earlier incarnation may have run there, so what is said about it here must be about this
    // copy only: the entry asked the earlier one, or will, and this copy never runs.
    if (dispatch.incarnation != options_.incarnation) {
        return LedgerAnswer::StaleIncarnation;
    }
    const auto found = entries_.find(dispatch.id);
    if (found != entries_.end()) {
        return found->second.record.state == AttemptState::Ended ? LedgerAnswer::Ended : LedgerAnswer::Duplicate;
    }
    if (entries_.size() >= options_.maxRecords) {
        return LedgerAnswer::Full;
    }
    entries_.emplace(dispatch.id, Entry{});
    return LedgerAnswer::Accepted;
}

bool AttemptLedger::begin(const wire::AttemptId &id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.record.state != AttemptState::Queued) {
        return false;
    }
    found->second.record = {.state = AttemptState::Running, .verdict = Verdict::MayHaveRun};
    return true;
}

void AttemptLedger::end(const wire::AttemptId &id, Verdict verdict, MonoTime now)
{
    advance(now);
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.record.state == AttemptState::Ended) {
        return;
    }
    found->second = {.record = {.state = AttemptState::Ended, .verdict = verdict}, .endedAt = awake_};
    ended_.push_back(id);
}

AttemptLedger::Record AttemptLedger::cancel(const wire::AttemptId &id, MonoTime now)
{
    advance(now);
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        return found->second.record;
    }
    const bool remembered = insertTombstone(id);
    return {.state = AttemptState::Ended, .verdict = remembered ? Verdict::NotRun : Verdict::MayHaveRun};
}

wire::QueryAnswer AttemptLedger::query(const wire::Query &query, MonoTime now)
{
    advance(now);
    wire::QueryAnswer answer{.id = query.id, .incarnation = options_.incarnation};
    if (query.incarnation != options_.incarnation) {
        // The earlier incarnation may have run it, and its memory is gone.
        answer.verdict = Verdict::MayHaveRun;
        return answer;
    }
    const auto found = entries_.find(query.id);
    if (found != entries_.end()) {
        answer.verdict = found->second.record.verdict;
        answer.running = found->second.record.state != AttemptState::Ended;
        // A queued attempt may still run after this answer has been read.
        if (answer.running) {
            answer.verdict = Verdict::MayHaveRun;
        }
        return answer;
    }
    answer.verdict = insertTombstone(query.id) ? Verdict::NotRun : Verdict::MayHaveRun;
    return answer;
}

const AttemptLedger::Record *AttemptLedger::find(const wire::AttemptId &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.record;
}

std::size_t AttemptLedger::size() const
{
    return entries_.size();
}

void AttemptLedger::advance(MonoTime now)
{
    if (started_) {
        const auto gap = std::chrono::duration_cast<Duration>(now - lastCall_);
        awake_ += std::clamp(gap, Duration(0), options_.longestTick);
    }
    started_ = true;
    lastCall_ = std::max(now, lastCall_);
    forgetOld();
}

void AttemptLedger::forgetOld()
{
    while (!ended_.empty()) {
        const auto found = entries_.find(ended_.front());
        if (awake_ - found->second.endedAt < options_.retention) {
            return;
        }
        entries_.erase(found);
        ended_.pop_front();
    }
}

bool AttemptLedger::insertTombstone(const wire::AttemptId &id)
{
    if (entries_.size() >= options_.maxRecords) {
        return false;
    }
    entries_.emplace(id, Entry{.record = {.state = AttemptState::Ended, .verdict = Verdict::NotRun}, .endedAt = awake_});
    ended_.push_back(id);
    return true;
}

} // namespace magnolia::agent
