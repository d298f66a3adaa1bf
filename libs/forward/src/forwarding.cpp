#include "forwarding.h"

#include "headervalues.h"
#include "outgoingrequest.h"
#include "ownanswer.h"

#include <algorithm>
#include <random>
#include <utility>

namespace magnolia::forward
{

namespace
{

using routing::EndpointSign;
using routing::RouteKind;

constexpr int StatusOk = 200;
constexpr int FirstRedirect = 300;
constexpr int FirstServerError = 500;
constexpr int StatusMisdirected = 421;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;
constexpr int StatusTimeout = 504;

constexpr Duration PatienceRecheck{100};

// For a request that may run at most once only a connection is used that the endpoint is not likely to be closing just
// now: if it were, nobody could tell whether the request ran.
constexpr Duration LongestIdleAtMostOnce{1000};
constexpr Duration LongestIdle{60000};

// A stream waits for a place for half of its objective: its first event comes in about the other half.
constexpr int ObjectiveParts = 2;
constexpr routing::Priority MiddlePriority = 5; // Of a request that states none, as endpoints take it.

// News of routes and endpoints is waited for so long at most, and for a third of what the caller allows: after that it can
// still try another instance.
constexpr Duration LongestWait{1500};
constexpr int PartsWaited = 3;

// With nobody to send to, or only refusals: engines that restart are back after about a second.
constexpr Duration RetryAfterUnavailable{800};
constexpr Duration RetryAfterFull{1000}; // Streams last one to two seconds.
// A group that did not come back while its caller waited lacks a rank, which is restarted or replaced within some seconds.
constexpr Duration RetryAfterGroup{1800};
constexpr Duration RetryAfterStopping{50}; // Another instance takes it at once.

// Beyond this the endpoint is not read any more until the caller has taken some.
constexpr std::size_t MostPendingBytes = 256U << 10U;

// A whole answer is held in memory until it has come; more than this is no answer to a request of this kind.
constexpr std::size_t MostAnswerBytes = 16U << 20U;

constexpr std::string_view TraceHeader = "traceparent"; // W3C trace context.
constexpr std::string_view EventStream = "text/event-stream";

bool isSuccess(int status)
{
    return status >= StatusOk && status < FirstRedirect;
}

} // namespace

Forwarding::Forwarding(ForwardCore &core, AnswerSink &sink, CallerRequest request)
    : core_(core)
    , sink_(&sink)
    , request_(std::move(request))
    , requestId_(request_.head.headers.value(core.options.protocol.requestId))
    , bounds_(callerBoundsOf(request_, core.options.protocol))
    , waitUntil_(request_.receivedAt + std::min(LongestWait, bounds_.allowed() / PartsWaited))
    , timer_(core.loop, [this] { timerFired(); })
    , spans_(core.options.tracer)
{
    core_.metrics.requests.add();
    core_.metrics.inProgress.add(1);
}

Forwarding::~Forwarding()
{
    core_.metrics.inProgress.add(-1);
    if (call_ != nullptr) {
        endCall(EndpointSign::Refused);
    }
}

void Forwarding::start()
{
    const auto self = shared_from_this();
    spans_.begin(request_.head.headers.value(TraceHeader), requestId_);
    admit();
}

void Forwarding::admit()
{
    routes_ = core_.routes;
    auto admitted =
        admitRequest({.routes = routes_.get(), .proof = &core_.proof, .protocol = &core_.options.protocol, .request = &request_, .now = BootClock::now()});
    if (!admitted) {
        turnAway(admitted.error());
        return;
    }
    route_ = admitted->route;
    organisation_ = admitted->organisation;
    fingerprint_ = std::move(admitted->fingerprint);
    if (endsAsQuarantined()) {
        return;
    }
    bounds_.takeRoute(*route_);
    if (!core_.takesRequest(BootClock::now(), bounds_.deadline())) {
        refuse(StatusUnavailable, RetryAfterStopping, "this entry is stopping");
        return;
    }
    pickService();
    core_.allowanceOf(service_).requestCame(BootClock::now());
    if (const auto resumed = numberOf<std::uint64_t>(request_.head.headers.value(core_.options.protocol.lastEventId))) {
        cutter_.startAfter(*resumed);
    }
    takePlace();
}

void Forwarding::turnAway(const Rejection &rejection)
{
    route_ = rejection.route;
    if (!rejection.retryAfter) {
        answerOwn(rejection.status, std::nullopt, rejection.cause);
        return;
    }
    if (!waitForNews()) {
        refuse(rejection.status, *rejection.retryAfter, rejection.cause);
    }
}

void Forwarding::pickService()
{
    const double point = std::uniform_real_distribution<double>(0, 1)(core_.random);
    service_ = routing::pickTarget(*route_, point).service;
    places_ = &core_.placesOf(service_);
    const routing::Service *service = routes_->service(service_);
    steps_ = service != nullptr && service->steps ? &*service->steps : nullptr;
}

/** A stream takes a place among those in progress, or waits for one as long as it could still be in time. */
void Forwarding::takePlace()
{
    const BootTime now = BootClock::now();
    if (route_->kind != RouteKind::Stream || places_->hasRoom(now)) {
        sendNext();
        return;
    }
    waiting_ = Waiting::ForPlace;
    waitingSince_ = now;
    waitingEnds_ = request_.receivedAt + route_->latencyObjective / ObjectiveParts;
    places_->wait(priority().value_or(MiddlePriority), now, [waiting = weak_from_this()] {
        const auto self = waiting.lock();
        if (self != nullptr && self->stopsWaitingFor(Waiting::ForPlace)) {
            self->waited_ = BootClock::now() - self->waitingSince_;
            self->sendNext();
        }
    });
    startTimer();
}

/** @return false if it was not waiting for that. */
bool Forwarding::stopsWaitingFor(Waiting awaited)
{
    if (waiting_ != awaited) {
        return false;
    }
    waiting_ = Waiting::ForNothing;
    return true;
}

/** @return false if there is nothing to wait for, or the time for it is over. */
bool Forwarding::waitForNews()
{
    const BootTime now = BootClock::now();
    if (!core_.isStarting(now) || now >= waitUntil_) {
        return false;
    }
    beginWaiting(waitUntil_);
    return true;
}

/** Waits until the endpoint's group may be tried again. @return false if the time for it is over. */
bool Forwarding::waitForGroup(const routing::Endpoint &endpoint)
{
    const BootTime latest = std::min(waitUntil_, latestSending());
    if (isStreaming_ || BootClock::now() >= latest) {
        return false;
    }
    // What was refused once costs the retry budget: it waits until a new request has shown that the group runs again.
    beginWaiting(isResending_ ? latest : std::min(latest, endpoint.refusesUntil));
    return true;
}

bool Forwarding::isGroupBack() const
{
    const auto served = core_.servedAt.find(service_);
    return served != core_.servedAt.end() && served->second > refusedAt_;
}

void Forwarding::beginWaiting(BootTime until)
{
    waiting_ = Waiting::ForNews;
    waitingEnds_ = until;
    if (!std::exchange(isRegistered_, true)) {
        core_.waiters.push_back([waiting = weak_from_this()] {
            if (const auto self = waiting.lock()) {
                self->isRegistered_ = false;
                self->endWaiting();
            }
        });
    }
    startTimer();
}

void Forwarding::endWaiting()
{
    if (!stopsWaitingFor(Waiting::ForNews) || endsAsQuarantined()) {
        return;
    }
    if (isResending_ && !isGroupBack() && BootClock::now() < waitingEnds_) {
        beginWaiting(waitingEnds_);
        return;
    }
    const bool isAdmitted = route_ != nullptr && !service_.empty();
    isAdmitted ? sendNext() : admit();
}

BootClock::duration Forwarding::left() const
{
    return bounds_.deadline() - BootClock::now();
}

void Forwarding::sendNext()
{
    if (endsAsQuarantined()) {
        return;
    }
    if (sink_->hasCallerLeft()) { // A process that is late may read the request and the caller's end together.
        startTimer();
        return;
    }
    const BootTime now = BootClock::now();
    if (now >= latestSending()) {
        giveUp(overdueCause());
        return;
    }
    const routing::EndpointPointer endpoint = nextEndpoint();
    if (endpoint != nullptr && now < endpoint->refusesUntil && waitForGroup(*endpoint)) {
        return;
    }
    if (endpoint != nullptr && isResending_ && !core_.allowanceOf(service_).tryRetry(now)) {
        core_.metrics.retriesDenied.add();
        refuse(StatusUnavailable, RetryAfterGroup, "its group does not run, and the retry budget is used up");
        return;
    }
    if (endpoint != nullptr) {
        isResending_ = false;
        send(endpoint);
        return;
    }
    if (sendings_.tried().empty() && waitForNews()) {
        return;
    }
    const bool isFirst = sendings_.tried().empty() && !mayHaveRun_ && !isStreaming_;
    conclude(isFirst ? "no endpoint takes work" : "no other endpoint takes work", StatusBadGateway);
}

/** @return null if there is none. Never one more endpoint than the route allows. */
routing::EndpointPointer Forwarding::nextEndpoint() const
{
    if (isResending_ && sendings_.hasReached(route_->maxEndpoints)) {
        const routing::EndpointPointer last = core_.endpoints.find(sendings_.lastReached());
        return last != nullptr && last->takesWork() ? last : nullptr;
    }
    const bool hasReports = core_.crashes.nextOrdinal(fingerprint_) > 1;
    return core_.endpoints.choose({.service = service_, .tried = sendings_.tried(), .isSuspect = hasReports}, BootClock::now(), core_.random);
}

void Forwarding::send(const routing::EndpointPointer &endpoint)
{
    core_.endpoints.sendingTo(*endpoint, BootClock::now(), core_.random);
    sendings_.began(endpoint->record.id);
    ordinal_ = core_.crashes.nextOrdinal(fingerprint_);
    endpoint_ = endpoint;
    spans_.beginSending(endpoint->record.id);
    sentAt_ = BootClock::now();
    heardAt_ = sentAt_;
    aheadWhenSent_ = endpoint->unbegun;
    silenceWhenSent_ = endpoint->inFlight == 0 ? BootClock::duration(0) : sentAt_ - endpoint->silentSince();
    incoming_ = {};
    isStreamAnswer_ = false;
    const bool isAtMostOnce = route_->kind == RouteKind::AtMostOnce;
    call_ = std::make_shared<EndpointCall>(EndpointCall::Options{.loop = core_.loop,
                                                                 .connections = &core_.connections,
                                                                 .protocol = &core_.options.protocol,
                                                                 .endpoint = endpoint,
                                                                 .requestId = requestId_,
                                                                 .message = messageFor(*endpoint),
                                                                 .isHead = request_.head.method == "HEAD",
                                                                 .longestIdle = isAtMostOnce ? LongestIdleAtMostOnce : LongestIdle},
                                           EndpointCall::Callbacks{.onHead = [this](http::MessageHead &head) { headCame(head); },
                                                                   .onBody = [this](std::string_view piece) { bodyCame(piece); },
                                                                   .onEnd = [this](CallEnd end) { callEnded(end); }});
    ++endpoint->inFlight;
    endpoint->suspects += isSuspect() ? 1 : 0;
    places_->began();
    if (route_->kind == RouteKind::Stream) {
        isUnbegun_ = true;
        ++endpoint->unbegun;
        core_.silence.began(endpoint, this, [moving = weak_from_this()] {
            const auto self = moving.lock();
            if (self != nullptr && self->call_ != nullptr && !self->leaveSilent("endpoint silent")) {
                self->startTimer(); // An answer may be due sooner now.
            }
        });
    }
    core_.metrics.sendings.add();
    if (!call_->start()) {
        callEnded(CallEnd::NotSent);
        return;
    }
    startTimer();
}

std::optional<routing::Priority> Forwarding::priority() const
{
    return organisation_ != nullptr && organisation_->priority ? organisation_->priority : route_->priority;
}

std::string Forwarding::messageFor(const routing::Endpoint &endpoint) const
{
    return writeRequest(core_.options.protocol,
                        {.request = &request_,
                         .expectedInstance = endpoint.record.id,
                         .left = std::chrono::duration_cast<Duration>(left()),
                         .organisation = organisation_ == nullptr ? std::string_view() : std::string_view(organisation_->name),
                         .priority = route_->kind == RouteKind::Stream ? priority() : std::nullopt,
                         .lastEventId = cutter_.lastId(),
                         .traceparent = spans_.traceparentOfSending()});
}

bool Forwarding::mayRepeat() const
{
    return route_->kind == RouteKind::Idempotent || (route_->kind == RouteKind::Stream && route_->isResumable);
}

/** @return why it may not be sent elsewhere; empty if it may, which is then counted against the retry budget. */
std::string_view Forwarding::retryObstacle()
{
    if (mayHaveRun_ && !mayRepeat()) {
        return "may not be repeated";
    }
    if (!sendings_.mayTryAnother(route_->maxEndpoints)) {
        return "as many endpoints as allowed were tried";
    }
    if (BootClock::now() >= latestSending()) {
        return overdueCause();
    }
    if (!core_.allowanceOf(service_).tryRetry(BootClock::now())) {
        core_.metrics.retriesDenied.add();
        return "the retry budget is used up";
    }
    return {};
}

void Forwarding::logSending(std::string_view end, int status, std::string_view atFault, std::string_view decision)
{
    core_.log.sendingEnded({.requestId = requestId_,
                            .fingerprint = fingerprint_,
                            .endpoint = endpoint_->record.id,
                            .end = end,
                            .status = status,
                            .atFault = atFault,
                            .decision = decision,
                            .took = BootClock::now() - sentAt_,
                            .alongside = endpoint_->inFlight});
}

/** What is known of the endpoint as it is told, by the end of its connection, to stop the work. */
void Forwarding::logCancel(std::string_view cause)
{
    if (call_ == nullptr) {
        return;
    }
    const BootTime now = BootClock::now();
    core_.log.sendingCancelled({.requestId = requestId_,
                                .endpoint = endpoint_->record.id,
                                .cause = cause,
                                .isConnected = call_->isConnected(),
                                .isAnswering = call_->hasAnswer(),
                                .took = now - sentAt_,
                                .stays = bounds_.nextEventDue() - now,
                                .ahead = aheadWhenSent_,
                                .silenceWhenSent = silenceWhenSent_,
                                .silence = now - heardAt_,
                                .endpointSilence = now - endpoint_->silentSince(),
                                .serviceSilence = now - core_.endpoints.serviceHeardAt(service_),
                                .alongside = endpoint_->inFlight});
}

/** Sends it elsewhere if kind, bound and budget allow. @return false if not. */
bool Forwarding::retry(std::string_view cause)
{
    const std::string_view obstacle = retryObstacle();
    logSending(cause,
               incoming_.head.status,
               incoming_.head.headers.value(core_.options.protocol.endpointAtFault),
               obstacle.empty() ? std::string_view("retry") : obstacle);
    if (!obstacle.empty()) {
        return false;
    }
    core_.metrics.retries.add();
    hasRetried_ = true;
    if (isStreaming_) {
        core_.metrics.resumed.add();
    }
    if (waiting_ == Waiting::ForFate) {
        startTimer();
    } else {
        sendNext();
    }
    return true;
}

/** The connection to the endpoint broke under the request: nothing is sent elsewhere before it is known whether the endpoint ended. */
void Forwarding::noteBroken()
{
    waiting_ = Waiting::ForFate;
    waitingEnds_ = BootClock::now() + routing::ConnectTimeout;
    core_.crashes.connectionBroke(endpoint_, {.fingerprint = fingerprint_, .ordinal = ordinal_}, [waiting = weak_from_this()] {
        const auto self = waiting.lock();
        if (self != nullptr && self->stopsWaitingFor(Waiting::ForFate)) {
            self->sendNext();
        }
    });
}

/** @return true if endpoints ended under its like: it is sent to no other. */
bool Forwarding::endsAsQuarantined()
{
    const auto left = core_.crashes.quarantineLeft(fingerprint_);
    if (!left) {
        return false;
    }
    constexpr std::string_view Cause = "endpoints ended under this request before";
    core_.metrics.quarantined.add();
    if (mayHaveRun_ || isStreaming_) {
        conclude(Cause, StatusBadGateway);
    } else {
        refuse(StatusTooManyRequests, *left, Cause);
    }
    return true;
}

void Forwarding::headCame(http::MessageHead &head)
{
    const auto self = shared_from_this();
    heardAt_ = BootClock::now();
    core_.endpoints.heard(*endpoint_, heardAt_);
    const Protocol &protocol = core_.options.protocol;
    if (protocol.parseLoad != nullptr) {
        if (const auto load = protocol.parseLoad(head.headers.value(protocol.load))) {
            routing::EndpointTable::reported(*endpoint_, *load, heardAt_);
            places_->limit().reported(*load, heardAt_);
        }
    }
    noteLimit(head);
    incoming_.head = head;
    noteBegun();
    core_.endpoints.begun(*endpoint_, sentAt_);
    if (isSuccess(head.status)) {
        core_.endpoints.groupAnswered(*endpoint_);
        core_.served(service_);
    }
    const bool isEvents = head.headers.value("content-type").starts_with(EventStream);
    isStreamAnswer_ = route_->kind == RouteKind::Stream && isSuccess(head.status) && isEvents;
    if (isStreamAnswer_) {
        if (heardAt_ < answerDue()) { // Else this process was late, not the service.
            core_.endpoints.streamBegan(service_, heardAt_ - sentAt_, heardAt_);
        }
        cutter_.resume();
    }
}

void Forwarding::noteLimit(const http::MessageHead &head)
{
    if (head.status == StatusMisdirected) {
        return; // Another endpoint may have answered at that address.
    }
    const std::string *stated = head.headers.find(core_.options.protocol.rateLimit);
    const auto perSecond = stated != nullptr ? rateOf(*stated) : std::nullopt;
    if (stated != nullptr && !perSecond) {
        core_.log.limitUnreadable(endpoint_->record.id, *stated);
        return;
    }
    if (core_.endpoints.limitStated(*endpoint_, perSecond, heardAt_, core_.random)) {
        core_.log.limitStated(endpoint_->record.id, perSecond);
    }
}

void Forwarding::bodyCame(std::string_view piece)
{
    const auto self = shared_from_this();
    heardAt_ = BootClock::now();
    core_.endpoints.heard(*endpoint_, heardAt_);
    if (isStreamAnswer_) {
        streamPieceCame(piece);
        return;
    }
    incoming_.body.append(piece);
    if (incoming_.body.size() > MostAnswerBytes) {
        mayHaveRun_ = true;
        endCall(EndpointSign::Answered);
        fail(StatusBadGateway, "the answer is over the limit");
    }
}

void Forwarding::streamPieceCame(std::string_view piece)
{
    const std::string_view events = cutter_.feed(piece);
    if (cutter_.hasGap()) {
        callEnded(CallEnd::Spoilt);
        return;
    }
    if (events.empty()) {
        return;
    }
    if (!isStreaming_) {
        isStreaming_ = true;
        firstByteAt_ = heardAt_;
        core_.metrics.firstByte.record(heardAt_ - request_.receivedAt);
        http::HeaderList headers = incoming_.head.headers;
        headers.removeHopByHop();
        sink_->beginStream(incoming_.head.status, headers);
    }
    if (sink_ == nullptr) {
        return;
    }
    judgePause();
    ++events_;
    bounds_.eventSent(heardAt_);
    sink_->sendPiece(events);
    if (sink_ != nullptr && call_ != nullptr && sink_->pendingBytes() > MostPendingBytes) {
        isHeldBack_ = true;
        call_->setReading(false);
    }
}

/** Tells the service's limit of the time between two events. */
void Forwarding::judgePause()
{
    const BootTime before = std::exchange(eventAt_, heardAt_);
    if (events_ == 0) {
        return;
    }
    longestPause_ = std::max(longestPause_, heardAt_ - before);
    if (steps_ == nullptr) {
        return;
    }
    const routing::ConcurrencyLimit::Pause pause{.pause = heardAt_ - before, .objective = route_->pauseObjective, .inProgress = places_->inProgress()};
    if (places_->limit().paused(pause, *steps_, heardAt_)) {
        core_.log.limited(service_, pause.pause, pause.inProgress, places_->limit().limit(heardAt_).value_or(0));
    }
}

void Forwarding::callerDrained()
{
    if (!std::exchange(isHeldBack_, false)) {
        return;
    }
    heardAt_ = BootClock::now(); // The silence was the caller's.
    bounds_.eventSent(heardAt_);
    if (call_ != nullptr) {
        call_->setReading(true);
        startTimer();
    }
}

void Forwarding::callEnded(CallEnd end)
{
    const auto self = shared_from_this();
    if (call_ == nullptr) {
        return;
    }
    if (isStreamAnswer_) {
        streamEnded(end);
        return;
    }
    if (end == CallEnd::Whole) {
        wholeAnswerCame();
        return;
    }
    const bool isUnsent = end == CallEnd::NotSent;
    mayHaveRun_ = mayHaveRun_ || !isUnsent;
    if (end == CallEnd::Lost) {
        noteBroken();
    }
    endCall(isUnsent ? EndpointSign::Unreachable : EndpointSign::Failed);
    if (isUnsent) {
        // It reached nobody, so it counts neither against the route's bound nor, for the endpoint, as an arrival.
        sendings_.takeBack();
        endpoint_->avoidUntil = std::max(endpoint_->avoidUntil, BootClock::now() + routing::ConnectTimeout);
        const bool mayDialAgain = sendings_.count() <= core_.endpoints.ofService(service_).size();
        if (mayDialAgain && left().count() > 0) {
            logSending(toString(end), 0, {}, "dial another");
            sendNext();
            return;
        }
    }
    if (retry(toString(end))) {
        return;
    }
    conclude(toString(end), StatusBadGateway);
}

void Forwarding::wholeAnswerCame()
{
    const int status = incoming_.head.status;
    const Protocol &protocol = core_.options.protocol;
    const bool isNotRun = status == StatusMisdirected || incoming_.head.headers.find(protocol.notRun) != nullptr;
    if (isNotRun) {
        // The expected instance is not at that address any more, or the endpoint has no room.
        const std::string atFault(incoming_.head.headers.value(protocol.endpointAtFault));
        const bool isNamedPeer = !atFault.empty() && atFault != endpoint_->record.address;
        // One that refuses though it has room can't run at all just now, e.g. since its group is forming.
        const bool hasRoom = endpoint_->load.running + endpoint_->load.waiting < endpoint_->record.slots && endpoint_->reportedAt == heardAt_;
        const bool isForPeer = status == StatusUnavailable && (isNamedPeer || hasRoom);
        endCall(status == StatusMisdirected ? EndpointSign::Unreachable : EndpointSign::Refused);
        if (isForPeer) {
            core_.endpoints.refusedForPeer(*endpoint_, atFault, BootClock::now());
        }
        if (isForPeer && !mayHaveRun_ && !isStreaming_) {
            isResending_ = true;
            refusedAt_ = BootClock::now();
            sendings_.takeBack(); // It may be tried again, and does not count twice against the route's bound.
            if (waitForGroup(*endpoint_)) {
                logSending("not-run", status, atFault, "wait for its group");
                return;
            }
            refuse(StatusUnavailable, RetryAfterGroup, "its group does not run");
            return;
        }
        if (retry("not-run")) {
            return;
        }
        conclude("endpoints refused", StatusBadGateway);
        return;
    }
    mayHaveRun_ = true;
    core_.crashes.answered(fingerprint_);
    const bool isProved = incoming_.head.headers.find(protocol.answerProof) != nullptr;
    if (isSuccess(status) && !isProved) {
        callEnded(CallEnd::Spoilt);
        return;
    }
    const bool isFailure = status >= FirstServerError;
    endCall(isFailure ? EndpointSign::Failed : EndpointSign::Answered);
    if (isStreaming_) {
        if (!retry("failure")) {
            cutStream("the endpoint that should go on failed");
        }
        return;
    }
    if (isFailure && mayRepeat()) {
        HeldAnswer failure = std::move(incoming_);
        incoming_ = {};
        incoming_.head.status = status;
        fallback_ = std::move(failure);
        if (retry("failure")) {
            return;
        }
        passOn(std::move(*fallback_));
        return;
    }
    passOn(std::move(incoming_));
}

void Forwarding::streamEnded(CallEnd end)
{
    mayHaveRun_ = true;
    const bool isWhole = end == CallEnd::Whole && cutter_.isAtBoundary() && isStreaming_;
    endCall(isWhole ? EndpointSign::Answered : EndpointSign::Failed);
    if (isWhole) {
        core_.crashes.answered(fingerprint_);
        sink_->endStream();
        core_.metrics.answers.add();
        finish("answered", incoming_.head.status, "");
        return;
    }
    if (end == CallEnd::Lost) {
        noteBroken();
    }
    if (retry(toString(end))) {
        return;
    }
    if (isStreaming_) {
        cutStream(toString(end));
    } else {
        fail(StatusBadGateway, toString(end));
    }
}

void Forwarding::passOn(HeldAnswer answer)
{
    answer.head.headers.removeHopByHop();
    firstByteAt_ = BootClock::now();
    sink_->answer(answer.head.status, answer.head.headers, answer.body);
    core_.metrics.answers.add();
    core_.metrics.firstByte.record(firstByteAt_ - request_.receivedAt);
    finish("answered", answer.head.status, hasRetried_ ? "retried" : "");
}

void Forwarding::startTimer()
{
    const BootTime now = BootClock::now();
    BootTime next = waiting_ == Waiting::ForNothing ? answerDue() : std::min(answerDue(), waitingEnds_);
    if (call_ != nullptr) {
        const BootTime bound = patienceEnds();
        // A bound that has passed without effect, e.g. for want of retry budget, is looked at again now and then.
        next = std::min(next, bound > now ? bound : now + PatienceRecheck);
    }
    timer_.start(std::max(std::chrono::ceil<Duration>(next - now), Duration(1)));
}

routing::SendingOutlook Forwarding::outlook() const
{
    return routing::SendingOutlook(
        {.bounds = bounds_, .route = *route_, .endpoints = core_.endpoints, .service = service_, .isWatched = core_.silence.isEnabled()});
}

routing::SendingState Forwarding::sendingState() const
{
    return {.endpoint = endpoint_.get(), .sentAt = sentAt_, .heardAt = heardAt_, .isConnected = call_->isConnected(), .hasAnswer = call_->hasAnswer()};
}

/** @return until when the call in progress is left alone. */
BootTime Forwarding::patienceEnds() const
{
    return isHeldBack_ ? bounds_.deadline() : outlook().patienceEnds(sendingState(), BootClock::now());
}

void Forwarding::timerFired()
{
    const auto self = shared_from_this();
    const BootTime now = BootClock::now();
    if (now >= answerDue()) {
        giveUp(overdueCause());
        return;
    }
    if (waiting_ == Waiting::ForPlace && now >= waitingEnds_) {
        core_.metrics.withoutPlace.add();
        refuse(StatusUnavailable, RetryAfterFull, "its service has as many streams in progress, or yet to begin, as stay in time");
        return;
    }
    if (waiting_ == Waiting::ForNews && now >= waitingEnds_) {
        endWaiting();
        return;
    }
    if (waiting_ == Waiting::ForFate && now >= waitingEnds_) {
        waiting_ = Waiting::ForNothing;
        sendNext();
        return;
    }
    if (call_ == nullptr) {
        startTimer(); // Timers may fire a little early.
        return;
    }
    const bool isOver = now >= patienceEnds();
    if (isOver && !call_->isConnected()) {
        callEnded(CallEnd::NotSent);
        return;
    }
    if (!isOver || !leaveSilent("silent")) {
        startTimer();
    }
}

/** @return when the caller has to be told something, or it leaves. */
BootTime Forwarding::answerDue() const
{
    // A stream that has begun and is only where it can be called back when its caller leaves may go on until then.
    const bool mayGoOn = isStreaming_ && call_ != nullptr && !endpoint_->isSilent && !isBeyondRecall_;
    return isHeldBack_ || mayGoOn ? bounds_.deadline() : bounds_.nextEventDue();
}

BootTime Forwarding::latestSending() const
{
    return isHeldBack_ ? bounds_.deadline() : outlook().latestSending(BootClock::now());
}

std::string_view Forwarding::overdueCause() const
{
    const bool isDeadline = bounds_.nextEventDue() == bounds_.deadline();
    return isDeadline ? "time is up" : "nothing can come before its caller leaves";
}

/** Nothing comes from the endpoint: the request is sent elsewhere, or ended if that can't be or is of no use. @return false if it is left there. */
bool Forwarding::leaveSilent(std::string_view cause)
{
    if (call_ == nullptr || !outlook().isLeftBehind(sendingState())) {
        return false;
    }
    const BootTime now = BootClock::now();
    const bool isInTime = now < latestSending();
    const bool mayMove = isInTime && mayRepeat() && sendings_.mayTryAnother(route_->maxEndpoints);
    if (mayMove && route_->kind == RouteKind::Stream && !core_.endpoints.hasOpening(service_, now, core_.random)) {
        return false; // It would only wait behind others elsewhere; looked at again soon.
    }
    if (mayMove && moveElsewhere(cause)) {
        return true;
    }
    // What has begun goes on if the endpoint wakes, and what may not be repeated is of use to its caller only then.
    if (!endpoint_->isSilent || isStreaming_ || !mayRepeat()) {
        return false;
    }
    giveUp(isInTime ? "its endpoint is out of reach" : overdueCause());
    return true;
}

/** @return false if the retry budget does not allow it. */
bool Forwarding::moveElsewhere(std::string_view cause)
{
    if (!core_.allowanceOf(service_).tryRetry(BootClock::now())) {
        return false;
    }
    core_.connections.closeAll(endpoint_->record.id);
    mayHaveRun_ = true;
    isBeyondRecall_ = isBeyondRecall_ || endpoint_->isSilent;
    core_.metrics.retries.add();
    hasRetried_ = true;
    logCancel(cause);
    endCall(EndpointSign::Failed);
    logSending(cause, 0, {}, "retry");
    sendNext();
    return true;
}

void Forwarding::giveUp(std::string_view cause)
{
    if (call_ != nullptr) {
        // One that others hear from is merely slow, or full.
        const bool isHeard = route_->kind == RouteKind::Stream && endpoint_->heardAt > sentAt_;
        const bool isUnheard = !call_->hasAnswer() && !isHeard;
        if (isUnheard) {
            core_.connections.closeAll(endpoint_->record.id); // It may be silent for good, and its siblings with it.
        }
        mayHaveRun_ = mayHaveRun_ || call_->hasSent();
        logCancel(cause);
        endCall(isUnheard || call_->hasAnswer() ? EndpointSign::Failed : EndpointSign::Refused);
    }
    conclude(cause, StatusTimeout);
}

/**
 * Ends it with nothing more to try. A stream that has begun can only be cut: whatever else was kept, e.g. an earlier
 * endpoint's failure, would stand in the middle of it.
 *
 * @param failedStatus told if it may have run.
 */
void Forwarding::conclude(std::string_view cause, int failedStatus)
{
    if (isStreaming_) {
        cutStream(cause);
    } else if (fallback_) {
        passOn(std::move(*fallback_));
    } else if (mayHaveRun_) {
        fail(failedStatus, cause);
    } else {
        refuse(StatusUnavailable, RetryAfterUnavailable, cause);
    }
}

void Forwarding::noteBegun()
{
    if (std::exchange(isUnbegun_, false)) {
        --endpoint_->unbegun;
        places_->opened();
    }
}

void Forwarding::endCall(routing::EndpointSign sign)
{
    const auto call = std::exchange(call_, nullptr);
    if (call == nullptr) {
        return;
    }
    call->cancel();
    core_.silence.ended(endpoint_->record.id, this);
    noteBegun();
    timer_.stop();
    --endpoint_->inFlight;
    endpoint_->suspects -= isSuspect() ? 1 : 0;
    places_->ended();
    spans_.endSending(incoming_.head.status, sign);
    routing::EndpointTable::signSeen(*endpoint_, sign, BootClock::now());
}

void Forwarding::refuse(int status, Duration retryAfter, std::string_view cause)
{
    core_.metrics.refusals.add();
    answerOwn(status, retryAfter, cause);
}

void Forwarding::fail(int status, std::string_view cause)
{
    core_.metrics.failures.add();
    answerOwn(status, std::nullopt, cause);
}

void Forwarding::answerOwn(int status, std::optional<Duration> retryAfter, std::string_view cause)
{
    const Verdict verdict = mayHaveRun_ ? Verdict::MayHaveRun : Verdict::NotRun;
    const OwnAnswer answer{.status = status, .retryAfter = retryAfter, .cause = cause, .verdict = verdict, .requestId = requestId_};
    sink_->answer(status, headersOf(answer, core_.options.protocol), bodyOf(answer));
    finish(mayHaveRun_ ? "failed" : "refused", status, cause);
}

void Forwarding::cutStream(std::string_view cause)
{
    core_.metrics.failures.add();
    sink_->cut();
    finish("cut", 0, cause);
}

void Forwarding::callerLeft()
{
    const auto self = shared_from_this();
    core_.metrics.hangups.add();
    logCancel("the caller left");
    endCall(EndpointSign::Refused);
    finish("hung-up", 0, "the caller left");
}

void Forwarding::finish(std::string_view outcome, int status, std::string_view cause)
{
    sink_ = nullptr;
    waiting_ = Waiting::ForNothing;
    timer_.stop();
    spans_.end(outcome, status, service_, cause, outcome == "failed" || outcome == "cut");
    const BootTime now = BootClock::now();
    core_.metrics.whole.record(now - request_.receivedAt);
    core_.log.write({.requestId = requestId_,
                     .route = route_ == nullptr ? std::string_view() : std::string_view(route_->name),
                     .service = service_,
                     .organisation = organisation_ == nullptr ? std::string_view() : std::string_view(organisation_->name),
                     .routesVersion = routes_ == nullptr ? 0 : routes_->version(),
                     .proofAge = core_.proof.age(now),
                     .endpoint = sendings_.lastTried(),
                     .sendings = sendings_.count(),
                     .status = status,
                     .outcome = outcome,
                     .cause = cause,
                     .took = now - request_.receivedAt,
                     .firstByte = firstByteAt_ == BootTime() ? BootClock::duration(0) : firstByteAt_ - request_.receivedAt,
                     .events = events_,
                     .waited = waited_,
                     .longestPause = longestPause_,
                     .objective = route_ == nullptr ? Duration(0) : route_->latencyObjective,
                     .pauseObjective = route_ == nullptr ? Duration(0) : route_->pauseObjective,
                     .fingerprint = fingerprint_});
}

} // namespace magnolia::forward
