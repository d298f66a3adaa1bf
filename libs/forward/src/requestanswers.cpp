// Answers to the attempts of a ForwardedRequest, and what they mean for it.
#include "forwardedrequest.h"

#include "headervalues.h"
#include "retryafter.h"
#include "statuscodes.h"

#include <algorithm>
#include <utility>

namespace magnolia::forward
{

namespace
{

using routing::AttemptOutcome;
using routing::RouteKind;

// With more bytes than this queued for the caller, reading from the endpoint is paused.
constexpr std::size_t MaxPendingBytes = 256U << 10U;

// An answer that is not a stream is buffered in memory until it is complete. A larger one counts as an answer without end.
constexpr std::size_t MaxAnswerBytes = 16U << 20U;

// Limit on what a stream may send without an event that is relayed: an event in progress, and those that the caller already has.
constexpr std::size_t MaxBytesWithoutEvent = 1U << 20U;

// Limit on the time for which one event may be received. A retransmission of its end takes less.
constexpr Duration MaxEventTime{800};

// If no other endpoint began a successful answer for this long, the whole service may not be running. Requests at a group that lost a rank stall for longer
// than that before they are rejected.
constexpr Duration ServingPeriod{1000};

// An answer that may be whole isn't held back for longer. A probe of an endpoint in the same region takes a few milliseconds.
constexpr Duration MaxEndHold{250};

constexpr std::string_view EventStream = "text/event-stream";

/** @return what the end of an attempt without a valid answer indicates about the endpoint. */
AttemptOutcome outcomeOf(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Withdrawn:
        return AttemptOutcome::Refused;
    case AttemptEnd::NotSent:
        return AttemptOutcome::Unreachable;
    default:
        return AttemptOutcome::Failed;
    }
}

/** @return what a rejection indicates about the endpoint. */
AttemptOutcome outcomeOf(AnswerKind rejection)
{
    switch (rejection) {
    case AnswerKind::AddressTaken:
        return AttemptOutcome::Unreachable;
    case AnswerKind::Declined:
        return AttemptOutcome::Failed;
    default:
        return AttemptOutcome::Refused;
    }
}

bool isSuccess(int status)
{
    return status >= StatusOk && status < FirstRedirect;
}

} // namespace

void ForwardedRequest::onAnswerHead(http::MessageHead &head)
{
    const auto self = shared_from_this();
    lastReceivedAt_ = BootClock::now();
    context_.endpoints.onDataReceived(*endpoint_, lastReceivedAt_);
    if (const auto load = context_.statements.read(*endpoint_, {.status = head.status, .headers = head.headers}, lastReceivedAt_)) {
        slots_->limit().onLoadReport(*load, lastReceivedAt_);
        slots_->classes().onLoadReport(*load, lastReceivedAt_);
    }
    if (!isTurnedAway(head.status) && head.status != StatusMisdirected) {
        endpoint_->stated->availability.onAnswer(sentAt_);
    }
    incoming_.head = head;
    context_.metrics.unnamedAnswers.add(attempt_->isAnswerNamed() ? 0 : 1);
    releaseUnstarted();
    context_.endpoints.onAnswerStarted(*endpoint_, sentAt_);
    if (isSuccess(head.status)) {
        endpoint_->servedAt = lastReceivedAt_;
        context_.endpoints.onGroupAnswer(*endpoint_);
        context_.recordGoodAnswer(service_);
    }
    const bool isEvents = head.headers.value("content-type").starts_with(EventStream);
    isStreamAnswer_ = route_->kind == RouteKind::Stream && isSuccess(head.status) && isEvents;
    if (isStreamAnswer_ && classifyAnswer(head, attempt_->isAnswerNamed(), context_.options.protocol, {.endpoint = *endpoint_}) != AnswerKind::Success) {
        onAttemptEnd(AttemptEnd::Invalid);
    } else if (isStreamAnswer_) {
        if (lastReceivedAt_ < answerDue()) { // Otherwise this process was late, not the service.
            context_.endpoints.onStreamStarted(service_, lastReceivedAt_ - sentAt_, lastReceivedAt_);
        }
    } else if (isOverLimit(head)) {
        onAttemptEnd(AttemptEnd::Endless);
    }
}

void ForwardedRequest::onAnswerSkipped(const http::MessageHead &head)
{
    context_.metrics.skippedAnswers.add();
    const std::string_view id = head.headers.value(context_.options.protocol.requestId);
    context_.log.logSkippedAnswer({.requestId = requestId_, .endpoint = endpoint_->record.id, .answerId = id, .status = head.status});
}

/** Whether the answer states a body that is larger than any that is buffered. */
bool ForwardedRequest::isOverLimit(const http::MessageHead &head) const
{
    const auto length = parseNumber<std::uint64_t>(head.headers.value("content-length"));
    return length && *length > MaxAnswerBytes && request_.head.method != "HEAD";
}

void ForwardedRequest::onAnswerBody(std::string_view piece)
{
    const auto self = shared_from_this();
    lastReceivedAt_ = BootClock::now();
    context_.endpoints.onDataReceived(*endpoint_, lastReceivedAt_);
    if (isStreamAnswer_) {
        relayEvents(piece);
        return;
    }
    incoming_.body.append(piece);
    if (incoming_.body.size() > MaxAnswerBytes) {
        onAttemptEnd(AttemptEnd::Endless);
        return;
    }
    updateHeldAnswers();
}

/** Accounts for the bytes that are held. May end the attempt. */
void ForwardedRequest::updateHeldAnswers()
{
    heldAnswers_.resize(incoming_.body.size() + (fallback_ ? fallback_->body.size() : 0) + splitter_.bufferedBytes());
}

void ForwardedRequest::relayEvents(std::string_view piece)
{
    const std::size_t incompleteBytes = splitter_.bufferedBytes();
    const std::string_view events = splitter_.feed(piece);
    if (splitter_.hasGap()) {
        onAttemptEnd(AttemptEnd::Invalid);
        return;
    }
    const bool isSameEvent = incompleteBytes > 0 && splitter_.bufferedBytes() == incompleteBytes + piece.size();
    eventBegunAt_ = isSameEvent ? eventBegunAt_ : lastReceivedAt_;
    bytesWithoutEvent_ = events.empty() ? bytesWithoutEvent_ + piece.size() : 0;
    const bool isTooSlow = isSameEvent && lastReceivedAt_ - eventBegunAt_ > MaxEventTime;
    if (isTooSlow || bytesWithoutEvent_ > MaxBytesWithoutEvent) {
        onAttemptEnd(AttemptEnd::Endless);
        return;
    }
    if (!events.empty()) {
        sendEvents(events);
    }
    if (attempt_ != nullptr) {
        updateHeldAnswers(); // Comes last: the events count as relayed, so they must not be lost if this ends the attempt.
    }
}

/** Sends complete events to the caller. */
void ForwardedRequest::sendEvents(std::string_view events)
{
    if (!isStreaming_) {
        isStreaming_ = true;
        firstByteAt_ = lastReceivedAt_;
        context_.metrics.firstByte.record(lastReceivedAt_ - request_.receivedAt);
        http::HeaderList headers = incoming_.head.headers;
        headers.removeHopByHop();
        writer_->beginStream(incoming_.head.status, headers);
    }
    if (writer_ == nullptr) {
        return;
    }
    recordPause();
    ++eventCount_;
    callerDeadlines_.onEventSent(lastReceivedAt_);
    writer_->sendPiece(events);
    if (writer_ != nullptr && attempt_ != nullptr && writer_->pendingBytes() > MaxPendingBytes) {
        isReadingPaused_ = true;
        attempt_->setReading(false);
    }
}

/** Reports the time between two events to the concurrency limit of the service. */
void ForwardedRequest::recordPause()
{
    const BootTime before = std::exchange(lastEventAt_, lastReceivedAt_);
    if (eventCount_ == 0) {
        return;
    }
    longestPause_ = std::max(longestPause_, lastReceivedAt_ - before);
    if (stepModel_ == nullptr) {
        return;
    }
    slots_->backlogGate().onPause(lastReceivedAt_ - before, route_->pauseObjective, lastReceivedAt_);
    const std::size_t instances = context_.endpoints.effectiveInstances(service_, lastReceivedAt_);
    const routing::ConcurrencyLimit::Pause pause{
        .pause = lastReceivedAt_ - before, .objective = route_->pauseObjective, .inProgress = slots_->inProgress(), .instances = instances};
    if (slots_->limit().onPause(pause, *stepModel_, lastReceivedAt_)) {
        context_.log.logStreamLimit(service_, pause.pause, pause.inProgress, slots_->limit().limit(instances, lastReceivedAt_).value_or(0));
    }
}

void ForwardedRequest::onCallerDrained()
{
    if (!std::exchange(isReadingPaused_, false)) {
        return;
    }
    lastReceivedAt_ = BootClock::now(); // Reading was paused for the caller, so the endpoint is not to blame for the time without data.
    callerDeadlines_.onEventSent(lastReceivedAt_);
    if (attempt_ != nullptr) {
        attempt_->setReading(true);
        startTimer();
    }
}

void ForwardedRequest::onAttemptEnd(AttemptEnd end)
{
    const auto self = shared_from_this();
    if (attempt_ == nullptr) {
        return;
    }
    wait_.stop(RequestWait::For::EndProof); // An answer whose end is held may still be given up, for want of memory.
    if (end == AttemptEnd::Complete && needsEndProof()) {
        holdEnd();
    } else {
        handleAttemptEnd(end);
    }
}

/** Whether the answer may have been cut off although it ended in order: the system closes the connections of a process that crashes in order, too. */
bool ForwardedRequest::needsEndProof() const
{
    const bool mayBeWhole = isStreamAnswer_ ? isStreaming_ && splitter_.isAtBoundary() : isSuccess(incoming_.head.status);
    return incoming_.head.endsWithConnection && mayBeWhole;
}

/** Holds back the end of an answer until a probe has found out whether the endpoint crashed. */
void ForwardedRequest::holdEnd()
{
    const BootTime now = BootClock::now();
    wait_.begin(RequestWait::For::EndProof, now, now + MaxEndHold);
    startTimer();
    hasProbedEnd_ = true;
    probeEndpoint([holding = weak_from_this(), ended = std::weak_ptr(attempt_)](ProbeResult result) {
        const auto self = holding.lock();
        const auto attempt = ended.lock();
        if (self != nullptr && attempt != nullptr && self->attempt_ == attempt) {
            self->releaseHeldEnd(result);
        }
    });
}

void ForwardedRequest::releaseHeldEnd(ProbeResult result)
{
    if (!wait_.stop(RequestWait::For::EndProof)) {
        return;
    }
    // An endpoint that leaves may refuse connections while its last answers end.
    const bool hasCrashed = result == ProbeResult::Down && endpoint_->acceptsRequests();
    handleAttemptEnd(hasCrashed ? AttemptEnd::ConnectionLost : AttemptEnd::Complete);
}

void ForwardedRequest::handleAttemptEnd(AttemptEnd end)
{
    const auto self = shared_from_this();
    if (end != AttemptEnd::Complete) {
        dropIncomplete(end);
    }
    if (isStreamAnswer_) {
        handleStreamEnd(end);
        return;
    }
    if (end == AttemptEnd::Complete) {
        handleWholeAnswer();
        return;
    }
    const bool isUnsent = !attempt_->hasSent();
    if (end == AttemptEnd::ConnectionLost && !isUnsent && !hasProbedEnd_) {
        waitForProbe();
    }
    endAttempt(outcomeOf(end));
    if (isUnsent && dispatchUnsent(end)) {
        return;
    }
    if (retryElsewhere(toString(end))) {
        return;
    }
    endUnsuccessfully(toString(end), StatusBadGateway);
}

/** Frees what was received of an incomplete answer. */
void ForwardedRequest::dropIncomplete(AttemptEnd end)
{
    if (end == AttemptEnd::Endless) {
        context_.metrics.endlessAnswers.add();
    }
    incoming_.body = {};
    splitter_.resume();
    updateHeldAnswers();
}

/** Dispatches the request again after an attempt in which nothing was sent. @return false if enough endpoints were dialled, or the time is up. */
bool ForwardedRequest::dispatchUnsent(AttemptEnd end)
{
    // The request did not reach the endpoint, so the attempt counts neither against the route's limit on endpoints nor as
    // received by the endpoint.
    attempts_.forgetLast();
    if (end == AttemptEnd::NotSent) {
        endpoint_->avoidUntil = std::max(endpoint_->avoidUntil, BootClock::now() + routing::ConnectTimeout);
    }
    const bool mayDialAgain = attempts_.count() <= context_.endpoints.endpointsOf(service_).size();
    if (!mayDialAgain || timeLeft().count() <= 0) {
        return false;
    }
    logFailedAttempt(toString(end), 0, {}, "dial another");
    dispatchNext();
    return true;
}

void ForwardedRequest::handleWholeAnswer()
{
    const bool hasCurrentLoad = endpoint_->reportedAt == lastReceivedAt_;
    const AnswerKind kind = classifyAnswer(incoming_.head,
                                           attempt_->isAnswerNamed(),
                                           context_.options.protocol,
                                           {.endpoint = *endpoint_,
                                            .hasCurrentLoad = hasCurrentLoad,
                                            .doOthersServe = context_.endpoints.haveOthersServed(*endpoint_, lastReceivedAt_ - ServingPeriod)});
    if (isNotRun(kind)) {
        handleRejectedAttempt(kind);
        return;
    }
    recordWholeAnswer();
    if (kind == AnswerKind::Unproved) {
        onAttemptEnd(AttemptEnd::Invalid);
        return;
    }
    endAttempt(kind == AnswerKind::Failure ? AttemptOutcome::Failed : AttemptOutcome::Answered);
    if (isStreaming_) {
        if (!retryElsewhere("failure")) {
            abortStream("the endpoint that should go on failed");
        }
    } else if (kind == AnswerKind::Failure && isRepeatable()) {
        handleFailure();
    } else {
        relayAnswer(std::move(incoming_));
    }
}

/** Clears what the request carried. An answer that ended with its connection may have ended with a crash. */
void ForwardedRequest::recordWholeAnswer()
{
    if (incoming_.head.endsWithConnection) {
        if (!hasProbedEnd_) {
            probeEndpoint([](ProbeResult) {});
        }
    } else {
        context_.crashTracker.recordAnswer(causes_);
    }
}

/** Retries a failed request elsewhere; its answer is kept in case no other endpoint answers. */
void ForwardedRequest::handleFailure()
{
    const int status = incoming_.head.status;
    fallback_ = std::exchange(incoming_, {});
    incoming_.head.status = status;
    if (!retryElsewhere("failure")) {
        relayAnswer(std::move(*fallback_));
    }
}

void ForwardedRequest::handleRejectedAttempt(AnswerKind kind)
{
    const std::string atFault(incoming_.head.headers.value(context_.options.protocol.endpointAtFault));
    const BootTime now = BootClock::now();
    endAttempt(outcomeOf(kind), RunProof::Rejected);
    if (kind == AnswerKind::AddressTaken) {
        context_.endpoints.onAddressTaken(*endpoint_, now);
    } else if (kind == AnswerKind::GroupDown) {
        context_.endpoints.onRefusedForPeer(*endpoint_, atFault, now);
    }
    const bool mayWait = !mayHaveRun_ && !isStreaming_;
    if (mayWait && kind == AnswerKind::GroupDown) {
        onGroupDown(atFault);
    } else if (mayWait && kind == AnswerKind::AddressTaken && attempts_.allowsAnother(route_->maxEndpoints)) {
        onAddressTaken();
    } else if (mayWait && chooseEndpoint() == nullptr && hasRestingEndpoint(attempts_.triedBeforeLast())) {
        onAllResting();
    } else if (!retryElsewhere("not-run")) {
        endUnsuccessfully("endpoints refused", StatusBadGateway);
    }
}

/** Waits for the endpoint's group as long as that is of use. */
void ForwardedRequest::onGroupDown(std::string_view atFault)
{
    needsRetryBudget_ = true;
    refusedAt_ = BootClock::now();
    attempts_.forgetLast(); // The endpoint may be tried again and must not count twice against the route's limit.
    if (waitForGroup(*endpoint_)) {
        logFailedAttempt("not-run", StatusUnavailable, atFault, "wait for its group");
        return;
    }
    reject(StatusUnavailable, RetryAfterGroup, "its group does not run");
}

/** Waits until the first of the resting endpoints may be sent the request, if that is of use. */
void ForwardedRequest::onAllResting()
{
    needsRetryBudget_ = true;
    refusedAt_ = BootClock::now();
    attempts_.forgetLast(); // As for a group that does not run.
    const bool isWaiting = waitForRest();
    logFailedAttempt("not-run", incoming_.head.status, {}, isWaiting ? "wait for the end of a rest" : "all endpoints rest");
    if (!isWaiting) {
        rejectUntilRestEnds();
    }
}

/** Dispatches the request to another endpoint, after a wait if nothing is known of any. */
void ForwardedRequest::onAddressTaken()
{
    needsRetryBudget_ = true;
    refusedAt_ = BootClock::now();
    logFailedAttempt("not-run", StatusMisdirected, {}, "retry");
    dispatchNext();
}

void ForwardedRequest::handleStreamEnd(AttemptEnd end)
{
    const bool isWhole = end == AttemptEnd::Complete && splitter_.isAtBoundary() && isStreaming_;
    endAttempt(isWhole ? AttemptOutcome::Answered : AttemptOutcome::Failed);
    if (isWhole) {
        recordWholeAnswer();
        writer_->endStream();
        context_.metrics.answers.add();
        finish("answered", incoming_.head.status, "");
        return;
    }
    if (!hasProbedEnd_ && (end == AttemptEnd::ConnectionLost || incoming_.head.endsWithConnection)) {
        waitForProbe();
    }
    if (retryElsewhere(toString(end))) {
        return;
    }
    if (isStreaming_) {
        abortStream(toString(end));
    } else {
        fail(StatusBadGateway, toString(end));
    }
}

void ForwardedRequest::relayAnswer(BufferedAnswer answer)
{
    if (promisesNotRun(answer.head.status)) { // The endpoint has not stated that it did not run the request.
        fail(StatusBadGateway, "an endpoint's answer does not prove that the request did not run");
        return;
    }
    answer.head.headers.removeHopByHop();
    firstByteAt_ = BootClock::now();
    writer_->sendAnswer(answer.head.status, answer.head.headers, std::move(answer.body));
    context_.metrics.answers.add();
    context_.metrics.firstByte.record(firstByteAt_ - request_.receivedAt);
    finish("answered", answer.head.status, hasRetried_ ? "retried" : "");
}

} // namespace magnolia::forward
