#include "agent/claimprotocol.h"

#include <utility>

namespace magnolia::agent
{

namespace
{

Failure failureOf(ErrorCode code, Verdict verdict, std::string detail, std::optional<Duration> retryAfter = {})
{
    return {.code = code, .verdict = verdict, .detail = std::move(detail), .retryAfter = retryAfter};
}

} // namespace

ClaimProtocol::ClaimProtocol(Options options, Random &random) : options_(std::move(options)), random_(random), backoff_(options_.backoff) {}

bool ClaimProtocol::hasBegun() const
{
    return begun_;
}

bool ClaimProtocol::isSettled() const
{
    return phase_ == Phase::Settled;
}

ClaimProtocol::Actions ClaimProtocol::start(MonoTime now)
{
    if (now >= options_.deadline) {
        return refuse(failureOf(ErrorCode::DeadlineExceeded, Verdict::NotRun, "the deadline passed before the claim"));
    }
    return tryAgain(InsertClaim{.value = encoded(ClaimState::Claimed)});
}

ClaimProtocol::Actions ClaimProtocol::onWrite(const Result<store::WriteOutcome> &result, MonoTime now)
{
    pending_ = false;
    if (!result) {
        if (result.error().verdict != Verdict::NotRun) {
            mayTakeEffect_ = true;
        }
        if (phase_ == Phase::Settling) {
            return waitToSettle();
        }
        if (!mayTakeEffect_) {
            return refuse(failureOf(ErrorCode::Unavailable, Verdict::NotRun, "the table service does not answer", options_.retryAfter));
        }
        // The reply was lost, so the claim may stand or may not. Whoever took it as refused would block the caller's
        // retries; whoever took it as standing could run beside a rival. Only the row itself can tell.
        pending_ = true;
        return {ReadClaim{}};
    }
    if (result->applied) {
        if (phase_ == Phase::Settling) {
            return onAppliedWhileSettling(*result, now);
        }
        if (result->current) {
            revision_ = result->current->revision;
        }
        return onClaimed(now);
    }
    if (!result->current) {
        return whenAbsent();
    }
    return judge(*result->current, now);
}

ClaimProtocol::Actions ClaimProtocol::onAppliedWhileSettling(const store::WriteOutcome &outcome, MonoTime now)
{
    if (revision_) {
        phase_ = Phase::Settled;
        return {};
    }
    // It may have been the claim, whose attempt was given up in the meantime: that one is to be freed.
    if (outcome.current) {
        return judge(*outcome.current, now);
    }
    pending_ = true;
    return {ReadClaim{}};
}

ClaimProtocol::Actions ClaimProtocol::onRead(const Result<std::optional<store::Row>> &result, MonoTime now)
{
    pending_ = false;
    if (!result) {
        if (phase_ == Phase::Settling) {
            return waitToSettle();
        }
        return refuse(failureOf(ErrorCode::Unavailable, Verdict::NotRun, "the table service does not answer", options_.retryAfter));
    }
    if (!*result) {
        return whenAbsent();
    }
    return judge(**result, now);
}

ClaimProtocol::Actions ClaimProtocol::whenAbsent()
{
    revision_.reset();
    if (phase_ == Phase::Settling) {
        // The claim may still be on its way. A row that says "not run" in its place makes it fail when it arrives.
        return writeOutcome();
    }
    return tryAgain(InsertClaim{.value = encoded(ClaimState::Claimed)});
}

ClaimProtocol::Actions ClaimProtocol::judge(const store::Row &row, MonoTime now)
{
    const auto record = ClaimRecord::decode(row.value);
    if (!record) {
        if (phase_ == Phase::Settling) {
            phase_ = Phase::Settled;
            return {};
        }
        phase_ = Phase::Settled;
        return {RefuseCall{failureOf(ErrorCode::Internal, Verdict::MayHaveRun, record.error().detail)}};
    }
    return phase_ == Phase::Settling ? judgeWhileSettling(row, *record) : judgeWhileClaiming(row, *record, now);
}

ClaimProtocol::Actions ClaimProtocol::judgeWhileClaiming(const store::Row &row, const ClaimRecord &record, MonoTime now)
{
    if (record.isOf(options_.attempt, options_.incarnation)) {
        revision_ = row.revision;
        return onClaimed(now);
    }
    if (record.state == ClaimState::NotRun) {
        return tryAgain(ReplaceClaim{.revision = row.revision, .value = encoded(ClaimState::Claimed)});
    }
    // A rival's claim stands, so that no write of ours can take effect any more: there is nothing to free.
    phase_ = Phase::Settled;
    if (record.digest != options_.digest) {
        return {RefuseCall{failureOf(ErrorCode::Conflict, Verdict::NotRun, "the idempotency key was used with another request")}};
    }
    if (record.state == ClaimState::Claimed) {
        return {
            RefuseCall{failureOf(ErrorCode::Conflict, Verdict::MayHaveRun, "another attempt holds the claim of this idempotency key", options_.retryAfter)}};
    }
    if (!record.answer.bodyKept) {
        return {RefuseCall{failureOf(ErrorCode::TooLarge, Verdict::Ran, "the call has run; its answer was too large to be kept")}};
    }
    return {ReplayAnswer{record.answer}};
}

ClaimProtocol::Actions ClaimProtocol::judgeWhileSettling(const store::Row &row, const ClaimRecord &record)
{
    const bool isOurClaim = record.isOf(options_.attempt, options_.incarnation) && record.state == ClaimState::Claimed;
    if (!isOurClaim) {
        phase_ = Phase::Settled;
        return {};
    }
    revision_ = row.revision;
    return writeOutcome();
}

ClaimProtocol::Actions ClaimProtocol::onClaimed(MonoTime now)
{
    // The process may have been frozen while the table answered. The caller has long been told that nobody knows, or that
    // it may try again; a run now would be one that nobody waits for.
    if (now >= options_.deadline) {
        return refuse(failureOf(ErrorCode::DeadlineExceeded, Verdict::NotRun, "the deadline passed before the call was begun"));
    }
    phase_ = Phase::Running;
    begun_ = true;
    return {RunCall{}};
}

ClaimProtocol::Actions ClaimProtocol::tryAgain(ClaimAction action)
{
    if (rounds_ >= options_.maxRounds) {
        return refuse(failureOf(ErrorCode::Unavailable, Verdict::NotRun, "the claim could not be settled", options_.retryAfter));
    }
    ++rounds_;
    pending_ = true;
    return {std::move(action)};
}

ClaimProtocol::Actions ClaimProtocol::refuse(Failure failure)
{
    Actions actions = {RefuseCall{std::move(failure)}};
    for (ClaimAction &action : settle(ClaimState::NotRun)) {
        actions.push_back(std::move(action));
    }
    return actions;
}

ClaimProtocol::Actions ClaimProtocol::onCallEnded(Result<StoredAnswer> result)
{
    if (phase_ != Phase::Running) {
        return {};
    }
    if (result) {
        answer_ = std::move(*result);
        if (answer_.body.size() > options_.maxStoredBytes) {
            answer_.body.clear();
            answer_.bodyKept = false;
        }
        return settle(ClaimState::Done);
    }
    if (result.error().verdict == Verdict::NotRun) {
        return settle(ClaimState::NotRun);
    }
    // It may have run: the claim stays, so that nobody ever runs it again.
    phase_ = Phase::Settled;
    return {};
}

ClaimProtocol::Actions ClaimProtocol::giveUp(ErrorCode code)
{
    if (phase_ != Phase::Claiming) {
        return {};
    }
    return refuse(failureOf(code, Verdict::NotRun, "given up before the call was begun"));
}

ClaimProtocol::Actions ClaimProtocol::settle(ClaimState outcome)
{
    const bool nothingWritten = !revision_ && !mayTakeEffect_ && !pending_ && phase_ == Phase::Claiming;
    outcome_ = outcome;
    if (nothingWritten) {
        phase_ = Phase::Settled;
        return {};
    }
    phase_ = Phase::Settling;
    if (pending_) {
        return {};
    }
    if (!revision_) {
        pending_ = true;
        return {ReadClaim{}};
    }
    return writeOutcome();
}

ClaimProtocol::Actions ClaimProtocol::writeOutcome()
{
    pending_ = true;
    if (revision_) {
        return {ReplaceClaim{.revision = *revision_, .value = encoded(outcome_)}};
    }
    return {InsertClaim{.value = encoded(outcome_)}};
}

ClaimProtocol::Actions ClaimProtocol::waitToSettle()
{
    // Counted in tries, not in time: a process that was frozen for long still owes the row its outcome.
    if (backoff_.attempts() >= options_.maxSettleTries) {
        phase_ = Phase::Settled;
        return {};
    }
    return {WaitForClaim{.delay = backoff_.next(random_)}};
}

ClaimProtocol::Actions ClaimProtocol::onTimer()
{
    if (phase_ != Phase::Settling || pending_) {
        return {};
    }
    pending_ = true;
    return {ReadClaim{}};
}

std::string ClaimProtocol::encoded(ClaimState state) const
{
    const ClaimRecord record{
        .state = state,
        .digest = options_.digest,
        .attempt = options_.attempt,
        .incarnation = options_.incarnation,
        .answer = state == ClaimState::Done ? answer_ : StoredAnswer{},
    };
    return record.encode();
}

} // namespace magnolia::agent
