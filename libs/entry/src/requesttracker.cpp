#include "entry/requesttracker.h"

#include "entry/erroranswer.h"

#include <algorithm>
#include <utility>

namespace magnolia::entry
{

namespace
{

constexpr std::uint32_t FirstServerError = 500;

Failure failureOf(const wire::Finish &finish)
{
    Failure failure{.code = errorCodeNamed(finish.errorCode), .verdict = finish.verdict, .detail = finish.detail, .retryAfter = {}};
    if (finish.retryAfter.count() > 0) {
        failure.retryAfter = finish.retryAfter;
    }
    return failure;
}

/** Faults of the request itself: every other endpoint would answer the same. */
bool isFaultOfRequest(const std::error_code &code)
{
    return code == ErrorCode::BadInput || code == ErrorCode::TooLarge || code == ErrorCode::Unauthorised || code == ErrorCode::Forbidden
        || code == ErrorCode::Conflict || code == ErrorCode::DeadlineExceeded;
}

RetryReason retryReasonOf(const Failure &failure)
{
    // What a silent link swallowed met no overload, although it did not run: the budget of refusals, which is a small share
    // of the traffic, would turn most of a burst of them away while other endpoints are well.
    if (failure.verdict != Verdict::NotRun || failure.code == ErrorCode::ConnectionLost) {
        return RetryReason::Lost;
    }
    const bool hasMoved = failure.code == ErrorCode::Leaving || failure.code == ErrorCode::StaleIncarnation || failure.code == ErrorCode::Unavailable;
    return hasMoved ? RetryReason::Moved : RetryReason::Refused;
}

} // namespace

RequestTracker::RequestTracker(Options options) : options_(options) {}

wire::AttemptId RequestTracker::attemptId() const
{
    return {.request = options_.id, .attempt = static_cast<std::uint32_t>(attempts_.size())};
}

RequestTracker::Attempt &RequestTracker::present()
{
    return attempts_.back();
}

bool RequestTracker::isPresent(LinkId link, const wire::AttemptId &id) const
{
    // Answers are matched by request, attempt and link. A chunk of an earlier attempt, or of this one over a link that was
    // given up, would otherwise be mixed into the answer when it arrives late.
    const bool isOut = state_ == State::Sent || state_ == State::Querying;
    return isOut && !attempts_.empty() && id == attemptId() && attempts_.back().target.link == link;
}

void RequestTracker::start(TrackerActions &actions)
{
    if (state_ == State::Idle) {
        choose(RetryReason::First, actions);
    }
}

void RequestTracker::choose(RetryReason reason, TrackerActions &actions)
{
    attempts_.emplace_back();
    held_.clear();
    heldBytes_ = 0;
    success_.reset();
    attachedForGap_ = false;
    state_ = State::Choosing;
    actions.emplace_back(ChooseEndpoint{.id = attemptId(), .resumeAfter = nextChunk_, .reason = reason});
}

void RequestTracker::dispatched(AttemptTarget target)
{
    if (state_ != State::Choosing) {
        return;
    }
    // From here on nothing is proved until the agent says so.
    present().target = std::move(target);
    present().verdict = Verdict::MayHaveRun;
    state_ = State::Sent;
}

void RequestTracker::notSent(MonoTime now, TrackerActions &actions)
{
    if (state_ != State::Choosing) {
        return;
    }
    attemptFailed({.code = ErrorCode::Unavailable, .verdict = Verdict::NotRun, .detail = "the endpoint's link is down", .retryAfter = {}}, 0, now, actions);
}

void RequestTracker::noEndpoint(Failure reason, TrackerActions &actions)
{
    if (state_ != State::Choosing) {
        return;
    }
    conclude(refusal_ ? *refusal_ : std::move(reason), actions);
}

void RequestTracker::chunk(LinkId link, wire::Chunk &&chunk, MonoTime now, TrackerActions &actions)
{
    if (!isPresent(link, chunk.id)) {
        return;
    }
    present().verdict = Verdict::Ran;
    if (chunk.index < nextChunk_) {
        return; // A double: the caller has it.
    }
    if (chunk.index == nextChunk_) {
        actions.emplace_back(DeliverChunk{.index = nextChunk_, .data = std::move(chunk.data)});
        ++nextChunk_;
        deliverInOrder(actions);
        concludeIfWhole(actions);
        return;
    }
    const std::size_t size = chunk.data.size();
    if (held_.emplace(chunk.index, std::move(chunk.data)).second) {
        heldBytes_ += size;
    }
    if (heldBytes_ > options_.maxHeldBytes) {
        cancelPresent(actions);
        attemptFailed(
            {.code = ErrorCode::ProtocolError, .verdict = Verdict::Ran, .detail = "a chunk of the answer is missing", .retryAfter = {}}, 0, now, actions);
    }
}

void RequestTracker::deliverInOrder(TrackerActions &actions)
{
    for (auto next = held_.find(nextChunk_); next != held_.end(); next = held_.find(nextChunk_)) {
        heldBytes_ -= next->second.size();
        actions.emplace_back(DeliverChunk{.index = nextChunk_, .data = std::move(next->second)});
        held_.erase(next);
        ++nextChunk_;
    }
}

void RequestTracker::concludeIfWhole(TrackerActions &actions)
{
    if (!success_ || nextChunk_ != success_->chunks) {
        return;
    }
    state_ = State::Done;
    actions.emplace_back(Conclude{
        .failure = {},
        .verdict = Verdict::Ran,
        .status = success_->status,
        .contentType = success_->contentType,
        .replayed = success_->replayed,
    });
}

void RequestTracker::finish(LinkId link, const wire::Finish &finish, MonoTime now, TrackerActions &actions)
{
    if (!isPresent(link, finish.id)) {
        learnOfEarlierAttempt(finish);
        return;
    }
    if (finish.errorCode.empty()) {
        present().verdict = Verdict::Ran;
        const bool countsBackwards = finish.chunks < nextChunk_;
        if (countsBackwards) {
            attemptFailed({.code = ErrorCode::ProtocolError, .verdict = Verdict::Ran, .detail = "the answer ended before its last chunk", .retryAfter = {}},
                          0,
                          now,
                          actions);
            return;
        }
        success_ = finish;
        concludeIfWhole(actions);
        if (state_ != State::Done && !attachedForGap_) {
            // A link keeps order, so a gap here means that chunks were lost. Ask for them once; if they are only late, the
            // doubles are dropped.
            attachedForGap_ = true;
            actions.emplace_back(SendAttach{.agent = present().target.agent, .attach = {.id = attemptId(), .fromChunk = nextChunk_}});
        }
        return;
    }
    // An agent that has sent chunks of this attempt cannot take that back.
    Failure failure = failureOf(finish);
    if (present().verdict == Verdict::Ran) {
        failure.verdict = Verdict::Ran;
    }
    attemptFailed(std::move(failure), finish.status, now, actions);
}

void RequestTracker::learnOfEarlierAttempt(const wire::Finish &finish)
{
    // An attempt that was given up as MayHaveRun can still turn out not to have run. That only helps the verdict.
    const bool isOurs = finish.id.request == options_.id && finish.id.attempt >= 1 && finish.id.attempt < attempts_.size();
    if (!isOurs || finish.verdict != Verdict::NotRun) {
        return;
    }
    Attempt &earlier = attempts_[finish.id.attempt - 1];
    if (earlier.verdict == Verdict::MayHaveRun) {
        earlier.verdict = Verdict::NotRun;
    }
}

void RequestTracker::queryAnswer(LinkId link, const wire::QueryAnswer &answer, MonoTime now, TrackerActions &actions)
{
    if (state_ != State::Querying || !isPresent(link, answer.id)) {
        return;
    }
    if (answer.incarnation != present().target.incarnation) {
        // A new incarnation knows nothing of the old one's requests, so its "not run" proves nothing about them. The old
        // process is gone, so the request can't start any more, but it may have run.
        attemptFailed({.code = ErrorCode::ConnectionLost, .verdict = present().verdict, .detail = "the endpoint's agent was restarted", .retryAfter = {}},
                      0,
                      now,
                      actions);
        return;
    }
    if (answer.running || answer.verdict == Verdict::Ran) {
        state_ = State::Sent;
        if (answer.verdict == Verdict::Ran) {
            present().verdict = Verdict::Ran;
        }
        actions.emplace_back(SendAttach{.agent = present().target.agent, .attach = {.id = attemptId(), .fromChunk = nextChunk_}});
        return;
    }
    const Verdict verdict = present().verdict == Verdict::Ran ? Verdict::Ran : answer.verdict;
    attemptFailed({.code = ErrorCode::ConnectionLost, .verdict = verdict, .detail = "the link to the endpoint broke", .retryAfter = {}}, 0, now, actions);
}

void RequestTracker::linkDown(LinkId link)
{
    const bool isOut = state_ == State::Sent || state_ == State::Querying;
    if (isOut && present().target.link == link) {
        state_ = State::Stranded;
    }
}

void RequestTracker::linkUp(const AttemptTarget &fresh, MonoTime now, TrackerActions &actions)
{
    if (state_ != State::Stranded || present().target.agent != fresh.agent) {
        return;
    }
    if (fresh.incarnation != present().target.incarnation) {
        attemptFailed({.code = ErrorCode::ConnectionLost, .verdict = present().verdict, .detail = "the endpoint's agent was restarted", .retryAfter = {}},
                      0,
                      now,
                      actions);
        return;
    }
    present().target.link = fresh.link;
    held_.clear();
    heldBytes_ = 0;
    success_.reset();
    attachedForGap_ = false;
    state_ = State::Querying;
    actions.emplace_back(SendQuery{.agent = fresh.agent, .query = {.id = attemptId(), .incarnation = fresh.incarnation}});
}

void RequestTracker::peerLost(std::string_view agent, MonoTime now, TrackerActions &actions)
{
    if (state_ != State::Stranded || present().target.agent != agent) {
        return;
    }
    attemptFailed({.code = ErrorCode::ConnectionLost, .verdict = present().verdict, .detail = "the endpoint's agent can't be reached", .retryAfter = {}},
                  0,
                  now,
                  actions);
}

void RequestTracker::attemptFailed(Failure failure, std::uint32_t status, MonoTime now, TrackerActions &actions)
{
    const RetryReason reason = state_ == State::Choosing ? RetryReason::Unsent : retryReasonOf(failure);
    present().verdict = failure.verdict;
    rememberRefusal(failure);
    if (failure.verdict != Verdict::NotRun && state_ == State::Stranded) {
        // The attempt may go on at an agent that is only cut off from here; tell it once it can be reached.
        cancelPresent(actions);
    }
    if (!mayTryAgain(failure, status, now)) {
        conclude(std::move(failure), actions);
        return;
    }
    choose(reason, actions);
}

bool RequestTracker::mayTryAgain(const Failure &failure, std::uint32_t status, MonoTime now) const
{
    if (now >= options_.deadline || attempts_.size() >= options_.maxAttempts || isFaultOfRequest(failure.code)) {
        return false;
    }
    const bool fromEndpoint = status != 0;
    if (fromEndpoint && status < FirstServerError) {
        return false; // The endpoint's own answer to this request.
    }
    if (verdict() == Verdict::NotRun) {
        return true;
    }
    // What may have run runs again only if that does no harm, and only from where the caller's answer stands.
    return options_.idempotent && (options_.resumable || nextChunk_ == 0);
}

void RequestTracker::rememberRefusal(const Failure &failure)
{
    if (failure.verdict != Verdict::NotRun) {
        return;
    }
    // "Overloaded, try in 2 s" tells a caller more than "a link is down"; of several, the shortest wait counts.
    const bool isBetter = !refusal_ || refusal_->code == ErrorCode::Unavailable
        || (failure.code == refusal_->code && failure.retryAfter && (!refusal_->retryAfter || *failure.retryAfter < *refusal_->retryAfter));
    if (isBetter) {
        refusal_ = failure;
    }
}

void RequestTracker::cancelPresent(TrackerActions &actions)
{
    const Attempt &attempt = present();
    actions.emplace_back(SendCancel{.agent = attempt.target.agent, .incarnation = attempt.target.incarnation, .cancel = {.id = attemptId()}});
}

void RequestTracker::deadlinePassed(TrackerActions &actions)
{
    giveUp({.code = ErrorCode::DeadlineExceeded, .verdict = Verdict::MayHaveRun, .detail = "the deadline passed", .retryAfter = {}}, actions);
}

void RequestTracker::giveUp(Failure reason, TrackerActions &actions)
{
    if (state_ == State::Done) {
        return;
    }
    if (state_ != State::Idle && state_ != State::Choosing) {
        cancelPresent(actions);
    }
    conclude(std::move(reason), actions);
}

void RequestTracker::callerGone(TrackerActions &actions)
{
    if (state_ == State::Sent || state_ == State::Stranded || state_ == State::Querying) {
        cancelPresent(actions);
    }
    state_ = State::Done;
}

void RequestTracker::conclude(Failure failure, TrackerActions &actions)
{
    state_ = State::Done;
    failure.verdict = verdict();
    const Verdict all = failure.verdict;
    actions.emplace_back(Conclude{.failure = std::move(failure), .verdict = all, .status = 0, .contentType = {}, .replayed = false});
}

Verdict RequestTracker::verdict() const
{
    Verdict worst = Verdict::NotRun;
    for (const Attempt &attempt : attempts_) {
        worst = std::max(worst, attempt.verdict);
    }
    return worst;
}

} // namespace magnolia::entry
