#include "forwardedrequest.h"

#include "headervalues.h"
#include "localanswer.h"
#include "outgoingrequest.h"

#include <algorithm>
#include <random>
#include <utility>

namespace magnolia::forward
{

namespace
{

using routing::AttemptOutcome;
using routing::RouteKind;

constexpr int StatusOk = 200;
constexpr int FirstRedirect = 300;
constexpr int FirstServerError = 500;
constexpr int StatusMisdirected = 421;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;
constexpr int StatusTimeout = 504;

constexpr Duration OverdueRecheckInterval{100};

// Maximum idle time of a pooled connection for a request that may run at most once. The endpoint is likely to close a
// connection that has been idle for longer; if it does while the request is on its way, it is unknown whether it ran.
constexpr Duration MaxIdleAtMostOnce{1000};
constexpr Duration MaxIdle{60000};

// A stream waits for a slot for half of its latency objective; its first event takes about the other half.
constexpr int ObjectiveShare = 2;
constexpr routing::Priority DefaultPriority = 5; // What endpoints assume for a request without a priority.

// A request waits for a change of the routes or endpoints for at most this long, and at most a third of the caller's
// timeout, so that the caller can still try another instance.
constexpr Duration MaxUpdateWait{1500};
constexpr int UpdateWaitShare = 3;

// No endpoint accepts work: engines that restart are back after about a second.
constexpr Duration RetryAfterUnavailable{800};
constexpr Duration RetryAfterFull{1000}; // Streams last one to two seconds.
// A group that did not recover while its caller waited lacks a rank, which is restarted or replaced within some seconds.
constexpr Duration RetryAfterGroup{1800};
constexpr Duration RetryAfterStopping{50}; // Other instances accept the request at once.

// With more bytes than this queued for the caller, reading from the endpoint is paused.
constexpr std::size_t MaxPendingBytes = 256U << 10U;

// An answer that is not a stream is buffered in memory until it is complete. Larger ones are treated as an error.
constexpr std::size_t MaxAnswerBytes = 16U << 20U;

constexpr std::string_view TraceHeader = "traceparent"; // W3C trace context.
constexpr std::string_view EventStream = "text/event-stream";

bool isSuccess(int status)
{
    return status >= StatusOk && status < FirstRedirect;
}

} // namespace

ForwardedRequest::ForwardedRequest(ForwardContext &context, AnswerWriter &writer, CallerRequest request)
    : context_(context)
    , writer_(&writer)
    , request_(std::move(request))
    , requestId_(request_.head.headers.value(context.options.protocol.requestId))
    , callerDeadlines_(callerDeadlinesOf(request_, context.options.protocol))
    , updateWaitEnds_(request_.receivedAt + std::min(MaxUpdateWait, callerDeadlines_.timeLimit() / UpdateWaitShare))
    , timer_(context.loop, [this] { onTimer(); })
    , spans_(context.options.tracer)
{
    context_.metrics.requests.add();
    context_.metrics.inProgress.add(1);
}

ForwardedRequest::~ForwardedRequest()
{
    context_.metrics.inProgress.add(-1);
    if (attempt_ != nullptr) {
        endAttempt(AttemptOutcome::Refused);
    }
}

void ForwardedRequest::start()
{
    const auto self = shared_from_this();
    spans_.begin(request_.head.headers.value(TraceHeader), requestId_);
    admit();
}

void ForwardedRequest::admit()
{
    routes_ = context_.routes;
    auto admitted = admitRequest(
        {.routes = routes_.get(), .proof = &context_.proof, .protocol = &context_.options.protocol, .request = &request_, .now = BootClock::now()});
    if (!admitted) {
        handleRejection(admitted.error());
        return;
    }
    route_ = admitted->route;
    organisation_ = admitted->organisation;
    fingerprint_ = std::move(admitted->fingerprint);
    if (endIfQuarantined()) {
        return;
    }
    callerDeadlines_.applyRoute(*route_);
    if (!context_.acceptsRequest(BootClock::now(), callerDeadlines_.deadline())) {
        reject(StatusUnavailable, RetryAfterStopping, "this entry is stopping");
        return;
    }
    pickService();
    context_.retryAllowanceOf(service_).onRequest(BootClock::now());
    if (const auto resumed = parseNumber<std::uint64_t>(request_.head.headers.value(context_.options.protocol.lastEventId))) {
        splitter_.startAfter(*resumed);
    }
    acquireSlot();
}

void ForwardedRequest::handleRejection(const Rejection &rejection)
{
    route_ = rejection.route;
    if (!rejection.retryAfter) {
        sendLocalAnswer(rejection.status, std::nullopt, rejection.cause);
        return;
    }
    if (!waitForUpdate()) {
        reject(rejection.status, *rejection.retryAfter, rejection.cause);
    }
}

void ForwardedRequest::pickService()
{
    const double point = std::uniform_real_distribution<double>(0, 1)(context_.random);
    service_ = routing::pickTarget(*route_, point).service;
    slots_ = &context_.slotsOf(service_);
    const routing::Service *service = routes_->service(service_);
    stepModel_ = service != nullptr && service->steps ? &*service->steps : nullptr;
}

/** Dispatches the request. A stream waits for a free slot first, as long as it can still meet its latency objective. */
void ForwardedRequest::acquireSlot()
{
    const BootTime now = BootClock::now();
    if (route_->kind != RouteKind::Stream || slots_->hasFreeSlot(now)) {
        dispatchNext();
        return;
    }
    waitingFor_ = Waiting::ForSlot;
    waitingSince_ = now;
    waitingEnds_ = request_.receivedAt + route_->latencyObjective / ObjectiveShare;
    slots_->enqueue(priority().value_or(DefaultPriority), now, slotCallback());
    startTimer();
}

SlotQueue::Callback ForwardedRequest::slotCallback()
{
    return [waiting = weak_from_this()] {
        const auto self = waiting.lock();
        if (self != nullptr && self->stopWaitingFor(Waiting::ForSlot)) {
            self->slotWait_ = BootClock::now() - self->waitingSince_;
            self->dispatchNext();
        }
    };
}

/** Ends the wait for the given thing. @return false if the request was not waiting for it. */
bool ForwardedRequest::stopWaitingFor(Waiting awaited)
{
    if (waitingFor_ != awaited) {
        return false;
    }
    waitingFor_ = Waiting::ForNothing;
    return true;
}

/** Waits for a change of the routes or endpoints while the process is starting. @return false if it does not wait. */
bool ForwardedRequest::waitForUpdate()
{
    const BootTime now = BootClock::now();
    if (!context_.isStarting(now) || now >= updateWaitEnds_) {
        return false;
    }
    beginWaiting(updateWaitEnds_);
    return true;
}

/** Waits until the endpoint's group may be tried again. @return false if it is too late to wait. */
bool ForwardedRequest::waitForGroup(const routing::Endpoint &endpoint)
{
    const BootTime latest = std::min(updateWaitEnds_, latestDispatch());
    if (isStreaming_ || BootClock::now() >= latest) {
        return false;
    }
    // Trying a refused request again uses the retry budget, so it waits until another request has shown that the group runs.
    beginWaiting(needsRetryBudget_ ? latest : std::min(latest, context_.endpoints.groupAvoidedUntil(endpoint)));
    return true;
}

bool ForwardedRequest::hasGroupRecovered() const
{
    const auto served = context_.lastGoodAnswerAt.find(service_);
    return served != context_.lastGoodAnswerAt.end() && served->second > groupRefusedAt_;
}

void ForwardedRequest::beginWaiting(BootTime until)
{
    waitingFor_ = Waiting::ForUpdate;
    waitingSince_ = BootClock::now();
    waitingEnds_ = until;
    if (!std::exchange(isWaiterRegistered_, true)) {
        context_.waiters.push_back([waiting = weak_from_this()] {
            if (const auto self = waiting.lock()) {
                self->isWaiterRegistered_ = false;
                self->resumeAfterUpdate();
            }
        });
    }
    startTimer();
}

void ForwardedRequest::resumeAfterUpdate()
{
    if (!stopWaitingFor(Waiting::ForUpdate) || endIfQuarantined()) {
        return;
    }
    if (needsRetryBudget_ && !hasGroupRecovered() && BootClock::now() < waitingEnds_) {
        beginWaiting(waitingEnds_);
        return;
    }
    const bool isAdmitted = route_ != nullptr && !service_.empty();
    if (!isAdmitted) {
        admit();
    } else if (isBacklog()) {
        joinBacklog();
    } else {
        dispatchNext();
    }
}

/** Whether the service runs again after it kept this stream waiting for so long that its first event can't be in time any more. */
bool ForwardedRequest::isBacklog() const
{
    const bool isLate = BootClock::now() >= request_.receivedAt + route_->latencyObjective / ObjectiveShare;
    const auto served = context_.lastGoodAnswerAt.find(service_);
    const bool hasServedSince = served != context_.lastGoodAnswerAt.end() && served->second >= waitingSince_;
    return route_->kind == RouteKind::Stream && !isStreaming_ && isLate && hasServedSince;
}

void ForwardedRequest::joinBacklog()
{
    waitingFor_ = Waiting::ForSlot;
    waitingSince_ = BootClock::now();
    // First events take longer than the shortest one while the service catches up.
    const BootClock::duration margin = context_.endpoints.shortestFirstEventTime(service_, waitingSince_);
    waitingEnds_ = std::max(latestDispatch() - margin, waitingSince_);
    if (slots_->enqueueBacklog(request_.receivedAt, waitingEnds_, slotCallback())) {
        startTimer();
    } else {
        reject(StatusUnavailable, RetryAfterFull, "more streams waited for its service than can start before their callers leave");
    }
}

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
    if (endpoint != nullptr && needsRetryBudget_ && !context_.retryAllowanceOf(service_).tryRetry(now)) {
        context_.metrics.retriesDenied.add();
        reject(StatusUnavailable, RetryAfterGroup, "its endpoint refused it, and the retry budget is used up");
        return;
    }
    if (endpoint != nullptr) {
        needsRetryBudget_ = false;
        dispatch(endpoint);
        return;
    }
    if (attempts_.tried().empty() && waitForUpdate()) {
        return;
    }
    const bool isFirst = attempts_.tried().empty() && !mayHaveRun_ && !isStreaming_;
    endUnsuccessfully(isFirst ? "no endpoint takes work" : "no other endpoint takes work", StatusBadGateway);
}

/** @return null if no endpoint is available. Keeps to the number of endpoints that the route allows. */
routing::EndpointPointer ForwardedRequest::chooseEndpoint() const
{
    if (needsRetryBudget_ && attempts_.hasReachedLimit(route_->maxEndpoints)) {
        const routing::EndpointPointer last = context_.endpoints.find(attempts_.lastReached());
        return last != nullptr && last->acceptsRequests() ? last : nullptr;
    }
    const bool hasReports = context_.crashTracker.nextOrdinal(fingerprint_) > 1;
    return context_.endpoints.choose({.service = service_, .excluded = attempts_.tried(), .isSuspect = hasReports}, BootClock::now(), context_.random);
}

void ForwardedRequest::dispatch(const routing::EndpointPointer &endpoint)
{
    context_.endpoints.onDispatch(*endpoint, BootClock::now(), context_.random);
    attempts_.add(endpoint->record.id);
    ordinal_ = context_.crashTracker.nextOrdinal(fingerprint_);
    endpoint_ = endpoint;
    spans_.beginAttempt(endpoint->record.id);
    sentAt_ = BootClock::now();
    lastReceivedAt_ = sentAt_;
    unstartedWhenSent_ = endpoint->unstartedStreams;
    silenceWhenSent_ = endpoint->inFlight == 0 ? BootClock::duration(0) : sentAt_ - endpoint->silentSince();
    incoming_ = {};
    isStreamAnswer_ = false;
    const bool isAtMostOnce = route_->kind == RouteKind::AtMostOnce;
    attempt_ = std::make_shared<EndpointAttempt>(EndpointAttempt::Options{.loop = context_.loop,
                                                                          .connections = &context_.connections,
                                                                          .protocol = &context_.options.protocol,
                                                                          .endpoint = endpoint,
                                                                          .requestId = requestId_,
                                                                          .message = messageFor(*endpoint),
                                                                          .isHead = request_.head.method == "HEAD",
                                                                          .maxIdle = isAtMostOnce ? MaxIdleAtMostOnce : MaxIdle},
                                                 EndpointAttempt::Callbacks{.onHead = [this](http::MessageHead &head) { onAnswerHead(head); },
                                                                            .onBody = [this](std::string_view piece) { onAnswerBody(piece); },
                                                                            .onEnd = [this](AttemptEnd end) { onAttemptEnd(end); }});
    ++endpoint->inFlight;
    endpoint->suspectRequests += hasCrashReports() ? 1 : 0;
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
    startTimer();
}

std::optional<routing::Priority> ForwardedRequest::priority() const
{
    return organisation_ != nullptr && organisation_->priority ? organisation_->priority : route_->priority;
}

std::string ForwardedRequest::messageFor(const routing::Endpoint &endpoint) const
{
    return writeRequest(context_.options.protocol,
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
    if (!context_.retryAllowanceOf(service_).tryRetry(BootClock::now())) {
        context_.metrics.retriesDenied.add();
        return "the retry budget is used up";
    }
    return {};
}

void ForwardedRequest::logFailedAttempt(std::string_view end, int status, std::string_view atFault, std::string_view decision)
{
    context_.log.logFailedAttempt({.requestId = requestId_,
                                   .fingerprint = fingerprint_,
                                   .endpoint = endpoint_->record.id,
                                   .end = end,
                                   .status = status,
                                   .atFault = atFault,
                                   .decision = decision,
                                   .took = BootClock::now() - sentAt_,
                                   .concurrentRequests = endpoint_->inFlight});
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
    context_.metrics.retries.add();
    hasRetried_ = true;
    if (isStreaming_) {
        context_.metrics.resumed.add();
    }
    if (waitingFor_ == Waiting::ForProbe) {
        startTimer();
    } else {
        dispatchNext();
    }
    return true;
}

/** After a broken connection: holds back the retry until a probe has found out whether the endpoint crashed, so that the crash counts. */
void ForwardedRequest::waitForProbe()
{
    waitingFor_ = Waiting::ForProbe;
    waitingEnds_ = BootClock::now() + routing::ConnectTimeout;
    context_.crashTracker.probeEndpoint(endpoint_, {.fingerprint = fingerprint_, .ordinal = ordinal_}, [waiting = weak_from_this()] {
        const auto self = waiting.lock();
        if (self != nullptr && self->stopWaitingFor(Waiting::ForProbe)) {
            self->dispatchNext();
        }
    });
}

/** Ends the request if it is quarantined after endpoints crashed while running it. @return true if it has ended. */
bool ForwardedRequest::endIfQuarantined()
{
    const auto left = context_.crashTracker.quarantineLeft(fingerprint_);
    if (!left) {
        return false;
    }
    constexpr std::string_view Cause = "endpoints ended under this request before";
    context_.metrics.quarantined.add();
    if (mayHaveRun_ || isStreaming_) {
        endUnsuccessfully(Cause, StatusBadGateway);
    } else {
        reject(StatusTooManyRequests, *left, Cause);
    }
    return true;
}

void ForwardedRequest::onAnswerHead(http::MessageHead &head)
{
    const auto self = shared_from_this();
    lastReceivedAt_ = BootClock::now();
    context_.endpoints.onDataReceived(*endpoint_, lastReceivedAt_);
    const Protocol &protocol = context_.options.protocol;
    if (protocol.parseLoad != nullptr) {
        if (const auto load = protocol.parseLoad(head.headers.value(protocol.load))) {
            routing::EndpointTable::onLoadReport(*endpoint_, *load, lastReceivedAt_);
            slots_->limit().onLoadReport(*load, lastReceivedAt_);
        }
    }
    updateRateLimit(head);
    incoming_.head = head;
    releaseUnstarted();
    context_.endpoints.onAnswerStarted(*endpoint_, sentAt_);
    if (isSuccess(head.status)) {
        context_.endpoints.onGroupAnswer(*endpoint_);
        context_.recordGoodAnswer(service_);
    }
    const bool isEvents = head.headers.value("content-type").starts_with(EventStream);
    isStreamAnswer_ = route_->kind == RouteKind::Stream && isSuccess(head.status) && isEvents;
    if (isStreamAnswer_) {
        if (lastReceivedAt_ < answerDue()) { // Otherwise this process was late, not the service.
            context_.endpoints.onStreamStarted(service_, lastReceivedAt_ - sentAt_, lastReceivedAt_);
        }
        splitter_.resume();
    }
}

void ForwardedRequest::updateRateLimit(const http::MessageHead &head)
{
    if (head.status == StatusMisdirected) {
        return; // The answer may come from another endpoint that now has this address.
    }
    const std::string *stated = head.headers.find(context_.options.protocol.rateLimit);
    const auto perSecond = stated != nullptr ? parseRate(*stated) : std::nullopt;
    if (stated != nullptr && !perSecond) {
        context_.log.logInvalidRateLimit(endpoint_->record.id, *stated);
        return;
    }
    if (context_.endpoints.updateRateLimit(*endpoint_, perSecond, lastReceivedAt_, context_.random)) {
        context_.log.logRateLimit(endpoint_->record.id, perSecond);
    }
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
        mayHaveRun_ = true;
        endAttempt(AttemptOutcome::Answered);
        fail(StatusBadGateway, "the answer is over the limit");
    }
}

void ForwardedRequest::relayEvents(std::string_view piece)
{
    const std::string_view events = splitter_.feed(piece);
    if (splitter_.hasGap()) {
        onAttemptEnd(AttemptEnd::Invalid);
        return;
    }
    if (events.empty()) {
        return;
    }
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
    const routing::ConcurrencyLimit::Pause pause{.pause = lastReceivedAt_ - before, .objective = route_->pauseObjective, .inProgress = slots_->inProgress()};
    if (slots_->limit().onPause(pause, *stepModel_, lastReceivedAt_)) {
        context_.log.logStreamLimit(service_, pause.pause, pause.inProgress, slots_->limit().limit(lastReceivedAt_).value_or(0));
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
    if (isStreamAnswer_) {
        handleStreamEnd(end);
        return;
    }
    if (end == AttemptEnd::Complete) {
        handleWholeAnswer();
        return;
    }
    const bool isUnsent = end == AttemptEnd::NotSent;
    mayHaveRun_ = mayHaveRun_ || !isUnsent;
    if (end == AttemptEnd::ConnectionLost) {
        waitForProbe();
    }
    endAttempt(isUnsent ? AttemptOutcome::Unreachable : AttemptOutcome::Failed);
    if (isUnsent) {
        // The request did not reach the endpoint, so the attempt counts neither against the route's limit on endpoints nor as
        // received by the endpoint.
        attempts_.forgetLast();
        endpoint_->avoidUntil = std::max(endpoint_->avoidUntil, BootClock::now() + routing::ConnectTimeout);
        const bool mayDialAgain = attempts_.count() <= context_.endpoints.endpointsOf(service_).size();
        if (mayDialAgain && timeLeft().count() > 0) {
            logFailedAttempt(toString(end), 0, {}, "dial another");
            dispatchNext();
            return;
        }
    }
    if (retryElsewhere(toString(end))) {
        return;
    }
    endUnsuccessfully(toString(end), StatusBadGateway);
}

void ForwardedRequest::handleWholeAnswer()
{
    const int status = incoming_.head.status;
    const Protocol &protocol = context_.options.protocol;
    const bool isNotRun = status == StatusMisdirected || incoming_.head.headers.find(protocol.notRun) != nullptr;
    if (isNotRun) {
        // The expected instance no longer has this address, or the endpoint has no free capacity.
        const std::string atFault(incoming_.head.headers.value(protocol.endpointAtFault));
        const bool isNamedPeer = !atFault.empty() && atFault != endpoint_->record.address;
        // An endpoint that refuses with free capacity can't run anything at the moment, e.g. because its group is forming.
        const bool hasRoom = endpoint_->load.running + endpoint_->load.waiting < endpoint_->record.slots && endpoint_->reportedAt == lastReceivedAt_;
        const bool isForPeer = status == StatusUnavailable && (isNamedPeer || hasRoom);
        endAttempt(status == StatusMisdirected ? AttemptOutcome::Unreachable : AttemptOutcome::Refused);
        if (status == StatusMisdirected) {
            context_.endpoints.onAddressTaken(*endpoint_, BootClock::now());
        }
        if (isForPeer) {
            context_.endpoints.onRefusedForPeer(*endpoint_, atFault, BootClock::now());
        }
        if (isForPeer && !mayHaveRun_ && !isStreaming_) {
            needsRetryBudget_ = true;
            groupRefusedAt_ = BootClock::now();
            attempts_.forgetLast(); // The endpoint may be tried again and must not count twice against the route's limit.
            if (waitForGroup(*endpoint_)) {
                logFailedAttempt("not-run", status, atFault, "wait for its group");
                return;
            }
            reject(StatusUnavailable, RetryAfterGroup, "its group does not run");
            return;
        }
        if (status == StatusMisdirected && !mayHaveRun_ && !isStreaming_ && attempts_.allowsAnother(route_->maxEndpoints)) {
            leaveReplacedEndpoint();
            return;
        }
        if (retryElsewhere("not-run")) {
            return;
        }
        endUnsuccessfully("endpoints refused", StatusBadGateway);
        return;
    }
    mayHaveRun_ = true;
    context_.crashTracker.recordAnswer(fingerprint_);
    const bool isProved = incoming_.head.headers.find(protocol.answerProof) != nullptr;
    if (isSuccess(status) && !isProved) {
        onAttemptEnd(AttemptEnd::Invalid);
        return;
    }
    const bool isFailure = status >= FirstServerError;
    endAttempt(isFailure ? AttemptOutcome::Failed : AttemptOutcome::Answered);
    if (isStreaming_) {
        if (!retryElsewhere("failure")) {
            abortStream("the endpoint that should go on failed");
        }
        return;
    }
    if (isFailure && isRepeatable()) {
        BufferedAnswer failure = std::move(incoming_);
        incoming_ = {};
        incoming_.head.status = status;
        fallback_ = std::move(failure);
        if (retryElsewhere("failure")) {
            return;
        }
        relayAnswer(std::move(*fallback_));
        return;
    }
    relayAnswer(std::move(incoming_));
}

/** Dispatches the request to another endpoint, after a wait if nothing is known of any. */
void ForwardedRequest::leaveReplacedEndpoint()
{
    needsRetryBudget_ = true;
    groupRefusedAt_ = BootClock::now();
    logFailedAttempt("not-run", StatusMisdirected, {}, "retry");
    dispatchNext();
}

void ForwardedRequest::handleStreamEnd(AttemptEnd end)
{
    mayHaveRun_ = true;
    const bool isWhole = end == AttemptEnd::Complete && splitter_.isAtBoundary() && isStreaming_;
    endAttempt(isWhole ? AttemptOutcome::Answered : AttemptOutcome::Failed);
    if (isWhole) {
        context_.crashTracker.recordAnswer(fingerprint_);
        writer_->endStream();
        context_.metrics.answers.add();
        finish("answered", incoming_.head.status, "");
        return;
    }
    if (end == AttemptEnd::ConnectionLost) {
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
    answer.head.headers.removeHopByHop();
    firstByteAt_ = BootClock::now();
    writer_->sendAnswer(answer.head.status, answer.head.headers, answer.body);
    context_.metrics.answers.add();
    context_.metrics.firstByte.record(firstByteAt_ - request_.receivedAt);
    finish("answered", answer.head.status, hasRetried_ ? "retried" : "");
}

void ForwardedRequest::startTimer()
{
    const BootTime now = BootClock::now();
    BootTime next = waitingFor_ == Waiting::ForNothing ? answerDue() : std::min(answerDue(), waitingEnds_);
    if (attempt_ != nullptr) {
        const BootTime bound = attemptDeadline();
        // A deadline that passed without effect, e.g. because the retry budget was used up, is checked again periodically.
        next = std::min(next, bound > now ? bound : now + OverdueRecheckInterval);
    }
    timer_.start(std::max(std::chrono::ceil<Duration>(next - now), Duration(1)));
}

routing::AttemptPolicy ForwardedRequest::timingPolicy() const
{
    return routing::AttemptPolicy({.deadlines = callerDeadlines_,
                                   .route = *route_,
                                   .endpoints = context_.endpoints,
                                   .service = service_,
                                   .hasLivenessChecks = context_.livenessMonitor.isEnabled()});
}

routing::AttemptState ForwardedRequest::attemptState() const
{
    return {.endpoint = endpoint_.get(),
            .sentAt = sentAt_,
            .lastReceivedAt = lastReceivedAt_,
            .isConnected = attempt_->isConnected(),
            .hasAnswer = attempt_->hasAnswer()};
}

/** @return when the attempt in progress is reviewed for a move to another endpoint. */
BootTime ForwardedRequest::attemptDeadline() const
{
    return isReadingPaused_ ? callerDeadlines_.deadline() : timingPolicy().attemptExpiresAt(attemptState(), BootClock::now());
}

void ForwardedRequest::onTimer()
{
    const auto self = shared_from_this();
    const BootTime now = BootClock::now();
    if (now >= answerDue()) {
        endOverdue(overdueCause());
        return;
    }
    if (waitingFor_ == Waiting::ForSlot && now >= waitingEnds_) {
        context_.metrics.withoutSlot.add();
        reject(StatusUnavailable, RetryAfterFull, "its service has as many streams in progress, or yet to begin, as stay in time");
        return;
    }
    if (waitingFor_ == Waiting::ForUpdate && now >= waitingEnds_) {
        resumeAfterUpdate();
        return;
    }
    if (waitingFor_ == Waiting::ForProbe && now >= waitingEnds_) {
        waitingFor_ = Waiting::ForNothing;
        dispatchNext();
        return;
    }
    if (attempt_ == nullptr) {
        startTimer(); // Timers may fire a little early.
        return;
    }
    const bool isOver = now >= attemptDeadline();
    if (isOver && !attempt_->isConnected()) {
        onAttemptEnd(AttemptEnd::NotSent);
        return;
    }
    if (!isOver || !leaveUnresponsive("silent")) {
        startTimer();
    }
}

/** @return when the caller must have received something; it is expected to leave after that. */
BootTime ForwardedRequest::answerDue() const
{
    // A running stream may continue past that time if it can be cancelled at every endpoint that may be running it.
    const bool mayGoOn = isStreaming_ && attempt_ != nullptr && !endpoint_->isUnresponsive && !hasUncancellableAttempt_;
    return isReadingPaused_ || mayGoOn ? callerDeadlines_.deadline() : callerDeadlines_.nextEventDeadline();
}

BootTime ForwardedRequest::latestDispatch() const
{
    return isReadingPaused_ ? callerDeadlines_.deadline() : timingPolicy().latestUsefulDispatch(BootClock::now());
}

std::string_view ForwardedRequest::overdueCause() const
{
    const bool isDeadline = callerDeadlines_.nextEventDeadline() == callerDeadlines_.deadline();
    return isDeadline ? "time is up" : "nothing can come before its caller leaves";
}

/**
 * Handles an attempt whose endpoint sends nothing: moves the request to another endpoint, or ends it if it can't be moved
 * in time and the endpoint is unresponsive.
 *
 * @return false if the attempt goes on.
 */
bool ForwardedRequest::leaveUnresponsive(std::string_view cause)
{
    if (attempt_ == nullptr || !timingPolicy().isOvertaken(attemptState())) {
        return false;
    }
    const BootTime now = BootClock::now();
    const bool isInTime = now < latestDispatch();
    const bool mayMove = isInTime && isRepeatable() && attempts_.allowsAnother(route_->maxEndpoints);
    if (mayMove && route_->kind == RouteKind::Stream && !context_.endpoints.canAdmitStream(service_, now, context_.random)) {
        return false; // It would only queue behind other requests there; checked again soon.
    }
    if (mayMove && moveToOtherEndpoint(cause)) {
        return true;
    }
    // A running stream continues if the endpoint recovers, and a request that may not be repeated can be answered only by it.
    if (!endpoint_->isUnresponsive || isStreaming_ || !isRepeatable()) {
        return false;
    }
    endOverdue(isInTime ? "its endpoint is out of reach" : overdueCause());
    return true;
}

/** Cancels the attempt and dispatches the request to another endpoint. @return false if the retry budget is used up. */
bool ForwardedRequest::moveToOtherEndpoint(std::string_view cause)
{
    if (!context_.retryAllowanceOf(service_).tryRetry(BootClock::now())) {
        return false;
    }
    context_.connections.closeAll(endpoint_->record.id);
    mayHaveRun_ = true;
    hasUncancellableAttempt_ = hasUncancellableAttempt_ || endpoint_->isUnresponsive;
    context_.metrics.retries.add();
    hasRetried_ = true;
    logCancelledAttempt(cause);
    // An endpoint that serves other requests meanwhile may have lost only this one's answer.
    const bool isHanging = route_->kind == RouteKind::Stream && endpoint_->lastReceivedAt <= sentAt_;
    endAttempt(isHanging ? AttemptOutcome::Hung : AttemptOutcome::Failed);
    logFailedAttempt(cause, 0, {}, "retry");
    dispatchNext();
    return true;
}

void ForwardedRequest::endOverdue(std::string_view cause)
{
    if (attempt_ != nullptr) {
        // An endpoint that sends data for other requests is only slow or at capacity.
        const bool hasEndpointSent = route_->kind == RouteKind::Stream && endpoint_->lastReceivedAt > sentAt_;
        const bool hasReceivedNothing = !attempt_->hasAnswer() && !hasEndpointSent;
        if (hasReceivedNothing) {
            context_.connections.closeAll(endpoint_->record.id); // The connection may be dead, and the idle ones to this endpoint too.
        }
        mayHaveRun_ = mayHaveRun_ || attempt_->hasSent();
        logCancelledAttempt(cause);
        endAttempt(hasReceivedNothing || attempt_->hasAnswer() ? AttemptOutcome::Failed : AttemptOutcome::Refused);
    }
    endUnsuccessfully(cause, StatusTimeout);
}

/**
 * Ends the request when no further attempt is possible. A running stream can only be aborted: any other answer, e.g. a
 * buffered error of an earlier endpoint, would end up in the middle of the stream.
 *
 * @param failedStatus status of the answer if the request may have run.
 */
void ForwardedRequest::endUnsuccessfully(std::string_view cause, int failedStatus)
{
    if (isStreaming_) {
        abortStream(cause);
    } else if (fallback_) {
        relayAnswer(std::move(*fallback_));
    } else if (mayHaveRun_) {
        fail(failedStatus, cause);
    } else {
        reject(StatusUnavailable, RetryAfterUnavailable, cause);
    }
}

void ForwardedRequest::releaseUnstarted()
{
    if (std::exchange(isCountedUnstarted_, false)) {
        --endpoint_->unstartedStreams;
        slots_->scheduleAdmission();
    }
}

void ForwardedRequest::endAttempt(routing::AttemptOutcome outcome)
{
    const auto attempt = std::exchange(attempt_, nullptr);
    if (attempt == nullptr) {
        return;
    }
    attempt->cancel();
    context_.livenessMonitor.removeRequest(endpoint_->record.id, this);
    releaseUnstarted();
    timer_.stop();
    --endpoint_->inFlight;
    endpoint_->suspectRequests -= hasCrashReports() ? 1 : 0;
    slots_->release();
    spans_.endAttempt(incoming_.head.status, outcome);
    routing::EndpointTable::onAttemptEnded(*endpoint_, outcome, BootClock::now());
}

void ForwardedRequest::reject(int status, Duration retryAfter, std::string_view cause)
{
    context_.metrics.refusals.add();
    sendLocalAnswer(status, retryAfter, cause);
}

void ForwardedRequest::fail(int status, std::string_view cause)
{
    context_.metrics.failures.add();
    sendLocalAnswer(status, std::nullopt, cause);
}

void ForwardedRequest::sendLocalAnswer(int status, std::optional<Duration> retryAfter, std::string_view cause)
{
    const Verdict verdict = mayHaveRun_ ? Verdict::MayHaveRun : Verdict::NotRun;
    const LocalAnswer answer{.status = status, .retryAfter = retryAfter, .cause = cause, .verdict = verdict, .requestId = requestId_};
    writer_->sendAnswer(status, headersOf(answer, context_.options.protocol), bodyOf(answer));
    finish(mayHaveRun_ ? "failed" : "refused", status, cause);
}

void ForwardedRequest::abortStream(std::string_view cause)
{
    context_.metrics.failures.add();
    writer_->abort();
    finish("cut", 0, cause);
}

void ForwardedRequest::onCallerLeft()
{
    const auto self = shared_from_this();
    context_.metrics.hangups.add();
    logCancelledAttempt("the caller left");
    endAttempt(AttemptOutcome::Refused);
    finish("hung-up", 0, "the caller left");
}

void ForwardedRequest::finish(std::string_view outcome, int status, std::string_view cause)
{
    writer_ = nullptr;
    waitingFor_ = Waiting::ForNothing;
    timer_.stop();
    spans_.end(outcome, status, service_, cause, outcome == "failed" || outcome == "cut");
    const BootTime now = BootClock::now();
    context_.metrics.whole.record(now - request_.receivedAt);
    context_.log.logEnd({.requestId = requestId_,
                         .route = route_ == nullptr ? std::string_view() : std::string_view(route_->name),
                         .service = service_,
                         .organisation = organisation_ == nullptr ? std::string_view() : std::string_view(organisation_->name),
                         .routesVersion = routes_ == nullptr ? 0 : routes_->version(),
                         .proofAge = context_.proof.age(now),
                         .endpoint = attempts_.lastTried(),
                         .attempts = attempts_.count(),
                         .status = status,
                         .outcome = outcome,
                         .cause = cause,
                         .took = now - request_.receivedAt,
                         .firstByte = firstByteAt_ == BootTime() ? BootClock::duration(0) : firstByteAt_ - request_.receivedAt,
                         .events = eventCount_,
                         .slotWait = slotWait_,
                         .longestPause = longestPause_,
                         .objective = route_ == nullptr ? Duration(0) : route_->latencyObjective,
                         .pauseObjective = route_ == nullptr ? Duration(0) : route_->pauseObjective,
                         .fingerprint = fingerprint_});
}

} // namespace magnolia::forward
