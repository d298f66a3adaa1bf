// Attempts of a ForwardedRequest: choice of the endpoint, dispatch, retries.
#include "forwardedrequest.h"

#include "outgoingrequest.h"
#include "retryafter.h"
#include "statuscodes.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <utility>

namespace magnolia::forward
{

namespace
{

using routing::RouteKind;

// Maximum idle time of a pooled connection for a request that may run at most once. The endpoint is likely to close a
// connection that has been idle for longer; if it does while the request is on its way, it is unknown whether it ran.
constexpr Duration MaxIdleAtMostOnce{1000};
constexpr Duration MaxIdle{60000};

} // namespace

BootClock::duration ForwardedRequest::timeLeft() const
{
    return callerDeadlines_.deadline() - BootClock::now();
}

void ForwardedRequest::dispatchNext()
{
    if (endIfQuarantined()) {
        return;
    }
    if (writer_->hasCallerLeft()) { // After a delay of this process the request and the close of the connection may be read together.
        startTimer();
        return;
    }
    const BootTime now = BootClock::now();
    if (now >= latestDispatch()) {
        endOverdue(overdueCause());
        return;
    }
    const routing::EndpointPointer endpoint = chooseEndpoint();
    if (endpoint != nullptr && now < context_.endpoints.groupAvoidedUntil(*endpoint) && waitForGroup(*endpoint)) {
        return;
    }
    if (endpoint != nullptr && needsRetryBudget_ && !takeRetry()) {
        reject(StatusUnavailable, RetryAfterGroup, "its endpoint refused it, and the retry budget is used up");
        return;
    }
    if (endpoint != nullptr) {
        needsRetryBudget_ = false;
        dispatch(endpoint);
        return;
    }
    if (context_.endpoints.isEvacuated(service_)) {
        endEvacuated();
        return;
    }
    if (hasRestingEndpoint(attempts_.tried())) {
        context_.metrics.withheldFromCold.add(context_.endpoints.hasColdEndpoint(service_, now) ? 1 : 0);
        if (waitForRestOrReject()) {
            return;
        }
    }
    if (attempts_.tried().empty() && waitForUpdate()) {
        return;
    }
    const bool isFirst = attempts_.tried().empty() && !mayHaveRun_ && !isStreaming_;
    endUnsuccessfully(isFirst ? "no endpoint takes work" : "no other endpoint takes work", StatusBadGateway);
}

/** Ends the request because every endpoint that could run it is evacuated. */
void ForwardedRequest::endEvacuated()
{
    constexpr std::string_view Cause = "the data centres of its endpoints are evacuated";
    context_.metrics.refusedEvacuated.add(mayHaveRun_ || isStreaming_ ? 0 : 1);
    reject(StatusUnavailable, RetryAfterEvacuated, Cause);
}

/** Whether a resting endpoint that is not excluded may be sent the request later. */
bool ForwardedRequest::hasRestingEndpoint(std::span<const std::string> excluded) const
{
    return context_.endpoints.nextRestEnd({.service = service_, .excluded = excluded}, BootClock::now()).has_value();
}

/** Waits for the end of a rest, or tells the caller when to return. @return false if the request can't be rejected as not run. */
bool ForwardedRequest::waitForRestOrReject()
{
    if (waitForRest()) {
        return true;
    }
    if (mayHaveRun_ || isStreaming_ || fallback_) {
        return false;
    }
    rejectUntilRestEnds();
    return true;
}

/** @return null if no endpoint is available. Keeps to the number of endpoints that the route allows. */
routing::EndpointPointer ForwardedRequest::chooseEndpoint() const
{
    if (needsRetryBudget_ && attempts_.hasReachedLimit(route_->maxEndpoints)) {
        const routing::EndpointPointer last = context_.endpoints.find(attempts_.lastReached());
        return last != nullptr && context_.endpoints.mayDispatch(*last, BootClock::now(), context_.random) ? last : nullptr;
    }
    const bool isSuspect = context_.crashTracker.hasReports(causes_);
    return context_.endpoints.choose({.service = service_, .excluded = attempts_.tried(), .isSuspect = isSuspect}, BootClock::now(), context_.random);
}

void ForwardedRequest::dispatch(const routing::EndpointPointer &endpoint)
{
    countDispatch(*endpoint);
    context_.endpoints.onDispatch(*endpoint, BootClock::now(), context_.random);
    attempts_.add(endpoint->record.id);
    suspects_ = context_.crashTracker.suspectsOf(causes_);
    isSuspect_ = context_.crashTracker.hasReports(causes_);
    endpoint_ = endpoint;
    spans_.beginAttempt(endpoint->record.id);
    sentAt_ = BootClock::now();
    lastReceivedAt_ = sentAt_;
    unstartedWhenSent_ = endpoint->unstartedStreams;
    silenceWhenSent_ = endpoint->inFlight == 0 ? BootClock::duration(0) : sentAt_ - endpoint->silentSince();
    incoming_ = {};
    isStreamAnswer_ = false;
    bytesWithoutEvent_ = 0;
    splitter_.resume();
    updateHeldAnswers();
    const bool isAtMostOnce = route_->kind == RouteKind::AtMostOnce;
    hasProbedEnd_ = false;
    attempt_ = std::make_shared<EndpointAttempt>(EndpointAttempt::Options{.loop = context_.loop,
                                                                          .connections = &context_.connections,
                                                                          .protocol = &context_.options.protocol,
                                                                          .endpoint = endpoint,
                                                                          .requestId = requestId_,
                                                                          .head = headFor(*endpoint),
                                                                          .body = request_.body,
                                                                          .isHead = request_.head.method == "HEAD",
                                                                          .maxIdle = isAtMostOnce ? MaxIdleAtMostOnce : MaxIdle,
                                                                          .excluded = usedConnections_},
                                                 EndpointAttempt::Callbacks{.onHead = [this](http::MessageHead &head) { onAnswerHead(head); },
                                                                            .onBody = [this](std::string_view piece) { onAnswerBody(piece); },
                                                                            .onSkipped = [this](const http::MessageHead &head) { onAnswerSkipped(head); },
                                                                            .onEnd = [this](AttemptEnd end) { onAttemptEnd(end); }});
    ++endpoint->inFlight;
    endpoint->suspectRequests += isSuspect_ ? 1 : 0;
    context_.crashTracker.addAttempt(this, [running = weak_from_this()] {
        if (const auto self = running.lock()) {
            self->onQuarantined();
        }
    });
    slots_->reserve();
    if (route_->kind == RouteKind::Stream) {
        isCountedUnstarted_ = true;
        ++endpoint->unstartedStreams;
        context_.livenessMonitor.addRequest(endpoint, this, [moving = weak_from_this()] {
            const auto self = moving.lock();
            if (self != nullptr && self->attempt_ != nullptr && !self->leaveUnresponsive("endpoint silent")) {
                self->startTimer(); // The answer may be due earlier now.
            }
        });
    }
    context_.metrics.attempts.add();
    if (!attempt_->start()) {
        onAttemptEnd(AttemptEnd::NotSent);
        return;
    }
    usedConnections_.push_back(attempt_->connection());
    startTimer();
}

/** Counts a dispatch to a cold endpoint, or one that contradicts what the endpoint has stated, or an evacuation. */
void ForwardedRequest::countDispatch(const routing::Endpoint &endpoint)
{
    if (context_.endpoints.coldEndpoints().isCold(service_, endpoint.stated->cold, BootClock::now())) {
        context_.metrics.sentToCold.add();
    }
    if (endpoint.stated->availability.isResting(BootClock::now())) {
        context_.metrics.sentInRest.add();
    }
    if (endpoint.stated->availability.isLeaving()) {
        context_.metrics.sentToLeaving.add();
    }
    if (endpoint.isEvacuated) {
        context_.metrics.sentToEvacuated.add();
    }
}

std::optional<routing::Priority> ForwardedRequest::priority() const
{
    return organisation_ != nullptr && organisation_->priority ? organisation_->priority : route_->priority;
}

std::string ForwardedRequest::headFor(const routing::Endpoint &endpoint) const
{
    return writeRequestHead(context_.options.protocol,
                            {.request = &request_,
                             .expectedInstance = endpoint.record.id,
                             .timeLeft = std::chrono::duration_cast<Duration>(timeLeft()),
                             .organisation = organisation_ == nullptr ? std::string_view() : std::string_view(organisation_->name),
                             .priority = route_->kind == RouteKind::Stream ? priority() : std::nullopt,
                             .lastEventId = splitter_.lastId(),
                             .traceparent = spans_.attemptTraceparent()});
}

bool ForwardedRequest::isRepeatable() const
{
    return route_->kind == RouteKind::Idempotent || (route_->kind == RouteKind::Stream && route_->isResumable);
}

/** Takes one retry from the retry budget if the request may be retried. @return why it may not; empty if it may. */
std::string_view ForwardedRequest::reserveRetry()
{
    if (mayHaveRun_ && !isRepeatable()) {
        return "may not be repeated";
    }
    if (!attempts_.allowsAnother(route_->maxEndpoints)) {
        return "as many endpoints as allowed were tried";
    }
    if (BootClock::now() >= latestDispatch()) {
        return overdueCause();
    }
    return takeRetry() ? std::string_view() : "the retry budget is used up";
}

/** Takes one retry from the service's budget. Every further dispatch of a request that may have arrived at an endpoint takes one. */
bool ForwardedRequest::takeRetry()
{
    const BootTime now = BootClock::now();
    routing::RetryAllowance &allowance = context_.retryAllowanceOf(service_);
    const routing::RetryAllowance::Usage usage = allowance.usage(now);
    const bool isAllowed = allowance.tryRetry(now);
    if (!isAllowed && std::exchange(wasRetryDenied_, true)) {
        return false; // A request at a silent endpoint asks again periodically.
    }
    (isAllowed ? context_.metrics.retries : context_.metrics.retriesDenied).add();
    context_.log.logRetryDecision({.requestId = requestId_,
                                   .service = service_,
                                   .isAllowed = isAllowed,
                                   .requests = usage.requests,
                                   .retries = usage.retries,
                                   .maxRetries = usage.maxRetries,
                                   .instances = usage.instances,
                                   .processAge = now - context_.startedAt});
    return isAllowed;
}

void ForwardedRequest::logFailedAttempt(std::string_view end, int status, std::string_view atFault, std::string_view decision)
{
    context_.log.logFailedAttempt({.requestId = requestId_,
                                   .fingerprint = causes_.request,
                                   .promptParts = promptParts_,
                                   .endpoint = endpoint_->record.id,
                                   .end = end,
                                   .status = status,
                                   .atFault = atFault,
                                   .decision = decision,
                                   .took = BootClock::now() - sentAt_,
                                   .concurrentRequests = endpoint_->inFlight,
                                   .evidence = evidence_});
}

/** Logs the state of the current attempt and its endpoint. Called before the attempt is cancelled. */
void ForwardedRequest::logCancelledAttempt(std::string_view cause)
{
    if (attempt_ == nullptr) {
        return;
    }
    const BootTime now = BootClock::now();
    context_.log.logCancelledAttempt({.requestId = requestId_,
                                      .endpoint = endpoint_->record.id,
                                      .cause = cause,
                                      .isConnected = attempt_->isConnected(),
                                      .isAnswering = attempt_->hasAnswer(),
                                      .took = now - sentAt_,
                                      .callerStays = callerDeadlines_.nextEventDeadline() - now,
                                      .unstartedAhead = unstartedWhenSent_,
                                      .silenceWhenSent = silenceWhenSent_,
                                      .silence = now - lastReceivedAt_,
                                      .endpointSilence = now - endpoint_->silentSince(),
                                      .serviceSilence = now - context_.endpoints.serviceLastReceivedAt(service_),
                                      .concurrentRequests = endpoint_->inFlight});
}

/** Retries the request at another endpoint if its kind, its route and the retry budget allow. @return false if not. */
bool ForwardedRequest::retryElsewhere(std::string_view cause)
{
    const std::string_view denial = reserveRetry();
    logFailedAttempt(cause,
                     incoming_.head.status,
                     incoming_.head.headers.value(context_.options.protocol.endpointAtFault),
                     denial.empty() ? std::string_view("retry") : denial);
    if (!denial.empty()) {
        return false;
    }
    hasRetried_ = true;
    if (isStreaming_) {
        context_.metrics.resumed.add();
    }
    if (wait_.isFor(RequestWait::For::Probe)) {
        startTimer();
    } else {
        dispatchNext();
    }
    return true;
}

/** After a broken connection: holds back the retry until a probe has found out whether the endpoint crashed, so that the crash counts. */
void ForwardedRequest::waitForProbe()
{
    const BootTime now = BootClock::now();
    wait_.begin(RequestWait::For::Probe, now, now + routing::ConnectTimeout);
    probeEndpoint([waiting = weak_from_this()](ProbeResult) {
        const auto self = waiting.lock();
        if (self != nullptr && self->wait_.stop(RequestWait::For::Probe)) {
            self->dispatchNext();
        }
    });
}

void ForwardedRequest::probeEndpoint(std::function<void(ProbeResult)> onProbed)
{
    CrashTracker::RequestAttempt lost{
        .suspects = suspects_, .promptParts = fmt::format("{}", fmt::join(promptParts_, " ")), .hadBegun = incoming_.head.status != 0};
    context_.crashTracker.probeEndpoint(endpoint_, std::move(lost), std::move(onProbed));
}

/** Ends the request if something that it carries is quarantined. @return true if it has ended. */
bool ForwardedRequest::endIfQuarantined()
{
    using Kind = routing::Quarantine::Admission::Kind;
    const auto admission = context_.crashTracker.admit({.causes = causes_, .isTrial = isTrial_, .instances = context_.endpoints.instances()}, context_.random);
    isTrial_ = admission.kind == Kind::Trial;
    if (admission.kind != Kind::Rejected) {
        return false;
    }
    endQuarantined(admission.retryAfter);
    return true;
}

void ForwardedRequest::endQuarantined(Duration retryAfter)
{
    constexpr std::string_view Cause = "endpoints ended under this request, or a part of its prompt, before";
    context_.metrics.quarantined.add();
    reject(StatusTooManyRequests, retryAfter, Cause);
}

void ForwardedRequest::onQuarantined()
{
    const auto self = shared_from_this();
    if (attempt_ == nullptr || attempt_->hasAnswer()) {
        return;
    }
    const auto admission = context_.crashTracker.admit({.causes = causes_, .isTrial = true}, context_.random);
    if (admission.kind != routing::Quarantine::Admission::Kind::Rejected) {
        return;
    }
    logCancelledAttempt("quarantined");
    endAttempt(routing::AttemptOutcome::Refused);
    endQuarantined(admission.retryAfter);
}

void ForwardedRequest::releaseUnstarted()
{
    if (std::exchange(isCountedUnstarted_, false)) {
        --endpoint_->unstartedStreams;
        slots_->scheduleAdmission();
    }
}

/** Ends the attempt in progress. The only place that decides whether the request may have run: it may once a byte of it was sent, unless that is disproved. */
void ForwardedRequest::endAttempt(routing::AttemptOutcome outcome, RunProof proof)
{
    const auto attempt = std::exchange(attempt_, nullptr);
    if (attempt == nullptr) {
        return;
    }
    attempt->cancel();
    wait_.stop(RequestWait::For::EndProof);
    mayHaveRun_ = mayHaveRun_ || (proof == RunProof::None && attempt->hasSent());
    evidence_ = {.isReused = attempt->isReused(), .hasAnswer = attempt->hasAnswer(), .isAnswerNamed = attempt->isAnswerNamed()};
    context_.livenessMonitor.removeRequest(endpoint_->record.id, this);
    releaseUnstarted();
    timer_.stop();
    --endpoint_->inFlight;
    endpoint_->suspectRequests -= isSuspect_ ? 1 : 0;
    context_.crashTracker.removeAttempt(this);
    slots_->release();
    spans_.endAttempt(incoming_.head.status, outcome);
    if (outcome == routing::AttemptOutcome::Unreachable) {
        context_.coldMonitor.onUnreachable(*endpoint_);
    }
    routing::EndpointTable::onAttemptEnded(*endpoint_, outcome, BootClock::now());
}

} // namespace magnolia::forward
