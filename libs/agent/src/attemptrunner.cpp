#include "agent/attemptrunner.h"

#include "agent/claimrecord.h"
#include "claimrun.h"
#include "observe/log.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>
#include <vector>

namespace magnolia::agent
{

namespace
{

constexpr std::string_view ChatPath = "/v1/chat/completions";

/** Refused demand for a model fades by half with each of these. */
constexpr Duration DemandHalfLife{10000};

wire::Finish finishOf(const wire::AttemptId &id, const Failure &failure)
{
    return {
        .id = id,
        .verdict = failure.verdict,
        .status = 0,
        .contentType = {},
        .errorCode = failure.code.message(),
        .detail = failure.detail,
        .retryAfter = failure.retryAfter.value_or(Duration(0)),
        .chunks = 0,
        .replayed = false,
    };
}

Failure notRun(ErrorCode code, std::string detail, Duration retryAfter = Duration(0))
{
    return {
        .code = code,
        .verdict = Verdict::NotRun,
        .detail = std::move(detail),
        .retryAfter = retryAfter.count() > 0 ? std::optional(retryAfter) : std::nullopt,
    };
}

/** One attempt from its Dispatch to its Finish. */
struct Attempt {
    wire::Dispatch dispatch;
    LinkId link = 0; ///< Where its answer goes; 0 while its link is broken.
    MonoTime orphanedAt;
    MonoTime deadline;
    MonoTime startedAt;
    std::optional<MonoTime> firstTokenAt;
    bool guarded = false; ///< May not be repeated: a claim stands before the call.
    bool begun = false; ///< Given to the endpoint at least once.
    bool mayHaveRun = false; ///< A call of it was cut off, so that no later refusal proves anything.
    engine::EngineClient::CallId call = 0;
    std::shared_ptr<ClaimRun> claim;
    std::string body; ///< The answer of a guarded call, to be recorded.
    observe::Span span;
    observe::Span queueSpan;
    observe::Span tableSpan;
    observe::Span engineSpan;

    const wire::AttemptId &id() const
    {
        return dispatch.id;
    }
    bool isModel() const
    {
        return !dispatch.model.empty();
    }
};

using AttemptPtr = std::shared_ptr<Attempt>;

} // namespace

class AttemptRunner::Impl
{
public:
    Impl(event_base *loop,
         const Options &options,
         engine::EngineClient &engine,
         PlatformPorts platform,
         Ports ports,
         observe::Metrics &metrics,
         observe::Tracer &tracer)
        : loop_(loop)
        , options_(options)
        , engine_(engine)
        , platform_(std::move(platform))
        , ports_(std::move(ports))
        , tracer_(tracer)
        , random_(seededRandom())
        , ledger_(options.ledger)
        , answers_(options.answers)
        , queue_(options.queue)
        , lastTick_(MonoClock::now())
        , accepted_(metrics.counter("magnolia_agent_attempts_total", "Attempts taken into the queue."))
        , duplicates_(metrics.counter("magnolia_agent_duplicates_total", "Second copies of a Dispatch, none of which ran."))
        , preempted_(metrics.counter("magnolia_agent_preemptions_total", "Trial streams set aside for paying work."))
        , replayed_(metrics.counter("magnolia_agent_replays_total", "Stored answers given to a retry."))
        , queueTime_(metrics.timing("magnolia_agent_queue_seconds", "Time from arrival to the endpoint."))
        , firstToken_(metrics.timing("magnolia_agent_first_token_seconds", "Time from arrival to the first piece of the answer."))
        , metrics_(metrics)
    {
    }

    void dispatch(LinkId link, wire::Dispatch dispatch);
    void cancel(const wire::AttemptId &id);
    void query(LinkId link, const wire::Query &query);
    void attach(LinkId link, const wire::Attach &attach);
    void linkDown(LinkId link);
    void setManifest(manifest::ManifestIndex::Pointer index);
    void tick();
    void drain();

    std::optional<Failure> obstacle(const wire::Dispatch &dispatch) const;
    std::optional<Failure> modelObstacle(const wire::Dispatch &dispatch) const;
    bool isGuarded(const wire::Dispatch &dispatch) const;
    void admit(LinkId link, wire::Dispatch dispatch, MonoTime now);
    void reattach(LinkId link, const wire::AttemptId &id, std::uint32_t fromChunk);
    void refuseAtOnce(LinkId link, const wire::AttemptId &id, const Failure &failure);
    void pump();
    void preempt();
    void begin(const AttemptPtr &attempt);
    void claim(const AttemptPtr &attempt);
    void call(const AttemptPtr &attempt);
    void callModel(const AttemptPtr &attempt, Duration left);
    void callService(const AttemptPtr &attempt, Duration left);
    engine::EngineClient::Callbacks callbacksFor(const AttemptPtr &attempt);
    void onChunk(const AttemptPtr &attempt, std::string_view data);
    void onCallEnded(const AttemptPtr &attempt, const Result<engine::Completion> &result);
    void replay(const AttemptPtr &attempt, const StoredAnswer &answer);
    void failAttempt(const AttemptPtr &attempt, Failure failure);
    void end(const AttemptPtr &attempt, const wire::Finish &finish, bool valid);
    void endOrphans(MonoTime now);
    void giveUpLateClaims(MonoTime now);
    void countRefusal(const Failure &failure);
    AttemptPtr find(const wire::AttemptId &id) const;

    event_base *loop_;
    Options options_;
    engine::EngineClient &engine_;
    PlatformPorts platform_;
    Ports ports_;
    observe::Tracer &tracer_;
    Random random_;
    AttemptLedger ledger_;
    AnswerStore answers_;
    policy::AdmissionQueue queue_;
    std::map<wire::AttemptId, AttemptPtr> open_;
    std::map<wire::AttemptId, std::shared_ptr<ClaimRun>> claims_; ///< Until each is settled, also past its attempt's end.
    manifest::ManifestIndex::Pointer index_;
    std::optional<engine::EngineState> state_;
    std::set<std::string> held_;
    std::map<std::string, double> refusedDemand_;
    MonoTime lastTick_;
    bool leaving_ = false;
    bool pumping_ = false;
    observe::Counter &accepted_;
    observe::Counter &duplicates_;
    observe::Counter &preempted_;
    observe::Counter &replayed_;
    observe::Timing &queueTime_;
    observe::Timing &firstToken_;
    observe::Metrics &metrics_;
};

AttemptPtr AttemptRunner::Impl::find(const wire::AttemptId &id) const
{
    const auto found = open_.find(id);
    return found == open_.end() ? nullptr : found->second;
}

void AttemptRunner::Impl::dispatch(LinkId link, wire::Dispatch dispatch)
{
    const MonoTime now = MonoClock::now();
    switch (ledger_.dispatch(dispatch, now)) {
    case LedgerAnswer::Accepted:
        break;
    case LedgerAnswer::Duplicate:
        duplicates_.add();
        reattach(link, dispatch.id, dispatch.resumeAfter);
        return;
    case LedgerAnswer::Ended:
        duplicates_.add();
        if (answers_.has(dispatch.id)) {
            reattach(link, dispatch.id, dispatch.resumeAfter);
        } else {
            ports_.send(link,
                        finishOf(dispatch.id,
                                 {.code = ErrorCode::Cancelled,
                                  .verdict = ledger_.find(dispatch.id)->verdict,
                                  .detail = "this attempt has ended before",
                                  .retryAfter = {}}));
        }
        return;
    case LedgerAnswer::StaleIncarnation:
        ports_.send(link, finishOf(dispatch.id, notRun(ErrorCode::StaleIncarnation, "addressed to another incarnation of the agent")));
        return;
    case LedgerAnswer::Full:
        // Without a record nothing keeps a late copy from running, so that "not run" can't be promised.
        ports_.send(link,
                    finishOf(dispatch.id,
                             {.code = ErrorCode::Overloaded,
                              .verdict = Verdict::MayHaveRun,
                              .detail = "the agent remembers too many attempts",
                              .retryAfter = options_.refusalRetryAfter}));
        return;
    }
    if (now - lastTick_ > options_.longestTick) {
        // The process was frozen, and this message may have lain in the socket all that time: what its deadline was
        // counted from is unknown, and its entry has long given up.
        refuseAtOnce(link, dispatch.id, notRun(ErrorCode::DeadlineExceeded, "the agent was paused"));
        return;
    }
    if (const auto failure = obstacle(dispatch)) {
        if (!dispatch.model.empty()) {
            refusedDemand_[dispatch.model] += 1;
        }
        refuseAtOnce(link, dispatch.id, *failure);
        return;
    }
    admit(link, std::move(dispatch), now);
    pump();
}

std::optional<Failure> AttemptRunner::Impl::obstacle(const wire::Dispatch &dispatch) const
{
    if (leaving_) {
        return notRun(ErrorCode::Leaving, "the endpoint is leaving");
    }
    if (dispatch.timeLeft <= Duration(0)) {
        return notRun(ErrorCode::DeadlineExceeded, "no time is left");
    }
    const manifest::Endpoint *endpoint = index_ ? index_->endpoint(options_.endpoint) : nullptr;
    if (endpoint == nullptr) {
        return notRun(ErrorCode::Unavailable, "no manifest with this endpoint is in force here yet", options_.refusalRetryAfter);
    }
    if (!dispatch.path.starts_with('/')) {
        return notRun(ErrorCode::BadInput, "the path doesn't begin with a slash");
    }
    if (!dispatch.model.empty()) {
        if (std::find(endpoint->models.begin(), endpoint->models.end(), dispatch.model) == endpoint->models.end()) {
            return notRun(ErrorCode::Unavailable, "the endpoint doesn't serve this model", options_.refusalRetryAfter);
        }
        return modelObstacle(dispatch);
    }
    if (endpoint->kind != manifest::EndpointKind::Service || endpoint->service != dispatch.service) {
        return notRun(ErrorCode::Unavailable, "the endpoint doesn't serve this service", options_.refusalRetryAfter);
    }
    if (isGuarded(dispatch) && dispatch.idempotencyKey.empty()) {
        return notRun(ErrorCode::BadInput, "a call that may not be repeated needs an idempotency key");
    }
    return std::nullopt;
}

std::optional<Failure> AttemptRunner::Impl::modelObstacle(const wire::Dispatch &dispatch) const
{
    // The engine's other paths are the agent's own.
    if (dispatch.path != ChatPath) {
        return notRun(ErrorCode::BadInput, "a model is reached by /v1/chat/completions only");
    }
    if (held_.contains(dispatch.model)) {
        return notRun(ErrorCode::Unavailable, "the model is changing its version here", options_.refusalRetryAfter);
    }
    if (!state_) {
        return std::nullopt;
    }
    const engine::ModelState *model = state_->model(dispatch.model);
    if (model == nullptr || !model->serving) {
        return notRun(ErrorCode::Unavailable, "the engine has not loaded the model yet", options_.refusalRetryAfter);
    }
    if (dispatch.adapter.empty()) {
        if (!dispatch.version.empty() && dispatch.version != model->version) {
            return notRun(ErrorCode::Unavailable, "the engine serves another version", options_.refusalRetryAfter);
        }
        return std::nullopt;
    }
    const bool hasAdapter = std::any_of(model->adapters.begin(), model->adapters.end(), [&dispatch](const engine::AdapterState &adapter) {
        return adapter.name == dispatch.adapter && (dispatch.version.empty() || dispatch.version == adapter.version);
    });
    if (!hasAdapter) {
        return notRun(ErrorCode::Unavailable, "the engine has not loaded the adapter yet", options_.refusalRetryAfter);
    }
    return std::nullopt;
}

bool AttemptRunner::Impl::isGuarded(const wire::Dispatch &dispatch) const
{
    if (!dispatch.idempotent) {
        return true;
    }
    // An entry whose manifest is older may not know yet that the service's calls may not be repeated.
    const manifest::Service *service = index_ ? index_->service(dispatch.service) : nullptr;
    if (service == nullptr || service->idempotent) {
        return false;
    }
    return std::find(service->safeMethods.begin(), service->safeMethods.end(), dispatch.method) == service->safeMethods.end();
}

void AttemptRunner::Impl::refuseAtOnce(LinkId link, const wire::AttemptId &id, const Failure &failure)
{
    ledger_.end(id, Verdict::NotRun, MonoClock::now());
    countRefusal(failure);
    ports_.send(link, finishOf(id, failure));
}

void AttemptRunner::Impl::countRefusal(const Failure &failure)
{
    metrics_
        .counter("magnolia_agent_failures_total",
                 "Attempts that ended without an answer.",
                 {{"code", failure.code.message()}, {"verdict", std::string(toString(failure.verdict))}})
        .add();
}

void AttemptRunner::Impl::admit(LinkId link, wire::Dispatch dispatch, MonoTime now)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->link = link;
    attempt->deadline = now + dispatch.timeLeft;
    attempt->startedAt = now;
    attempt->guarded = dispatch.model.empty() && isGuarded(dispatch);
    attempt->span = tracer_.start("agent.attempt", observe::TraceContext::parse(dispatch.traceparent), observe::SpanKind::Server);
    attempt->queueSpan = tracer_.start("agent.queue", attempt->span.context());
    attempt->dispatch = std::move(dispatch);
    const wire::Dispatch &message = attempt->dispatch;
    const bool resumable = attempt->isModel() && message.idempotent;
    const policy::AdmissionDecision decision = queue_.offer(
        {
            .id = message.id,
            .organisation = message.organisation,
            .priorityClass = message.priorityClass,
            .weight = message.weight,
            .promptTokens = message.promptTokens,
            .deadline = attempt->deadline,
            .wholeAnswer = !message.stream,
            .preemptible = resumable,
        },
        now);
    if (!decision.admitted) {
        refuseAtOnce(link, message.id, notRun(decision.code, "no capacity before the deadline", decision.retryAfter));
        return;
    }
    accepted_.add();
    open_.emplace(message.id, attempt);
    answers_.begin(message.id, message.resumeAfter);
    if (decision.displaced) {
        if (const AttemptPtr displaced = find(decision.displaced->id)) {
            failAttempt(displaced, notRun(ErrorCode::Overloaded, "the queue is full", decision.displacedRetryAfter));
        }
    }
}

void AttemptRunner::Impl::pump()
{
    // The end of one attempt may start the next from within a start.
    if (pumping_) {
        return;
    }
    pumping_ = true;
    while (const auto ticket = queue_.next(MonoClock::now())) {
        if (const AttemptPtr attempt = find(ticket->id)) {
            begin(attempt);
        } else {
            queue_.finished(ticket->id, {}, MonoClock::now());
        }
    }
    preempt();
    pumping_ = false;
}

void AttemptRunner::Impl::preempt()
{
    while (const auto victim = queue_.preempt(MonoClock::now())) {
        const AttemptPtr attempt = find(victim->id);
        if (!attempt || attempt->call == 0) {
            queue_.preempted(victim->id, MonoClock::now());
            continue;
        }
        preempted_.add();
        engine_.cancel(std::exchange(attempt->call, 0));
        attempt->mayHaveRun = true;
        attempt->engineSpan.end();
        attempt->queueSpan = tracer_.start("agent.queue", attempt->span.context());
        queue_.preempted(victim->id, MonoClock::now());
        while (const auto ticket = queue_.next(MonoClock::now())) {
            if (const AttemptPtr next = find(ticket->id)) {
                begin(next);
            }
        }
    }
}

void AttemptRunner::Impl::begin(const AttemptPtr &attempt)
{
    const MonoTime now = MonoClock::now();
    attempt->queueSpan.end();
    if (!attempt->begun) {
        queueTime_.record(now - attempt->startedAt);
    }
    if (now >= attempt->deadline) {
        failAttempt(attempt, notRun(ErrorCode::DeadlineExceeded, "the deadline passed in the queue"));
        return;
    }
    if (attempt->guarded) {
        claim(attempt);
    } else {
        call(attempt);
    }
}

void AttemptRunner::Impl::claim(const AttemptPtr &attempt)
{
    const wire::Dispatch &message = attempt->dispatch;
    attempt->tableSpan = tracer_.start("agent.table", attempt->span.context(), observe::SpanKind::Client);
    // The claim may outlive the attempt, so it must not hold it.
    const std::weak_ptr<Attempt> weak = attempt;
    auto run = std::make_shared<ClaimRun>(loop_,
                                          claimKey(message.organisation, message.service, message.idempotencyKey),
                                          ClaimProtocol::Options{
                                              .attempt = message.id,
                                              .incarnation = options_.incarnation,
                                              .digest = requestDigest(message.method, message.path, message.body),
                                              .deadline = attempt->deadline,
                                          },
                                          random_,
                                          platform_,
                                          ClaimRun::Callbacks{
                                              .run =
                                                  [this, weak] {
                                                      if (const AttemptPtr owner = weak.lock()) {
                                                          owner->tableSpan.end();
                                                          call(owner);
                                                      }
                                                  },
                                              .refuse =
                                                  [this, weak](const Failure &failure) {
                                                      if (const AttemptPtr owner = weak.lock()) {
                                                          owner->tableSpan.fail(failure.code.message());
                                                          owner->tableSpan.end();
                                                          failAttempt(owner, failure);
                                                      }
                                                  },
                                              .replay =
                                                  [this, weak](const StoredAnswer &answer) {
                                                      if (const AttemptPtr owner = weak.lock()) {
                                                          owner->tableSpan.end();
                                                          replay(owner, answer);
                                                      }
                                                  },
                                              .settled = [this, id = message.id] { claims_.erase(id); },
                                          });
    attempt->claim = run;
    claims_.emplace(message.id, run);
    run->start();
}

void AttemptRunner::Impl::call(const AttemptPtr &attempt)
{
    const MonoTime now = MonoClock::now();
    const Duration left = std::max(std::chrono::duration_cast<Duration>(attempt->deadline - now), Duration(1));
    if (!attempt->begun && !ledger_.begin(attempt->id())) {
        const Failure failure = notRun(ErrorCode::Cancelled, "given up before the call was begun");
        if (attempt->claim) {
            attempt->claim->callEnded(tl::unexpected(failure));
        }
        failAttempt(attempt, failure);
        return;
    }
    attempt->begun = true;
    attempt->engineSpan = tracer_.start("agent.engine", attempt->span.context(), observe::SpanKind::Client);
    attempt->dispatch.headers["traceparent"] = attempt->engineSpan.traceparent();
    if (attempt->isModel()) {
        callModel(attempt, left);
    } else {
        callService(attempt, left);
    }
}

void AttemptRunner::Impl::callModel(const AttemptPtr &attempt, Duration left)
{
    const wire::Dispatch &message = attempt->dispatch;
    attempt->call = engine_.runModel(
        {
            .path = message.path,
            .headers = message.headers,
            .body = message.body,
            .priority = static_cast<std::uint32_t>(message.priorityClass),
            .resumeAfter = answers_.nextChunk(message.id),
            .timeout = left,
        },
        callbacksFor(attempt));
}

void AttemptRunner::Impl::callService(const AttemptPtr &attempt, Duration left)
{
    const wire::Dispatch &message = attempt->dispatch;
    http::Headers headers = message.headers;
    if (!message.idempotencyKey.empty()) {
        headers["idempotency-key"] = message.idempotencyKey;
    }
    attempt->call = engine_.runPlain({.method = message.method, .path = message.path, .headers = std::move(headers), .body = message.body, .timeout = left},
                                     callbacksFor(attempt));
}

engine::EngineClient::Callbacks AttemptRunner::Impl::callbacksFor(const AttemptPtr &attempt)
{
    return {
        .onChunk = [this, attempt](std::uint32_t, std::string_view data) { onChunk(attempt, data); },
        .onEnd = [this, attempt](const Result<engine::Completion> &result) { onCallEnded(attempt, result); },
    };
}

void AttemptRunner::Impl::onChunk(const AttemptPtr &attempt, std::string_view data)
{
    const MonoTime now = MonoClock::now();
    if (!attempt->firstTokenAt) {
        attempt->firstTokenAt = now;
        firstToken_.record(now - attempt->startedAt);
    }
    if (attempt->guarded) {
        attempt->body.append(data);
    }
    const std::uint32_t index = answers_.append(attempt->id(), data);
    if (attempt->link != 0) {
        ports_.send(attempt->link, wire::Chunk{.id = attempt->id(), .index = index, .data = std::string(data)});
    }
}

void AttemptRunner::Impl::onCallEnded(const AttemptPtr &attempt, const Result<engine::Completion> &result)
{
    attempt->call = 0;
    if (!result) {
        attempt->engineSpan.fail(result.error().code.message());
        attempt->engineSpan.end();
        if (attempt->claim) {
            attempt->claim->callEnded(tl::unexpected(result.error()));
        }
        failAttempt(attempt, result.error());
        return;
    }
    attempt->engineSpan.set("http.response.status_code", static_cast<std::int64_t>(result->status));
    attempt->engineSpan.end();
    if (attempt->claim) {
        // Recorded after the caller has the answer: it needn't wait for the table, and if the record is lost with this
        // process, its retry is told that the call may have run.
        attempt->claim->callEnded(
            StoredAnswer{.status = static_cast<std::uint32_t>(result->status), .contentType = result->contentType, .body = attempt->body});
    }
    end(attempt,
        {
            .id = attempt->id(),
            .verdict = Verdict::Ran,
            .status = static_cast<std::uint32_t>(result->status),
            .contentType = result->contentType,
            .errorCode = {},
            .detail = {},
            .retryAfter = Duration(0),
            .chunks = answers_.nextChunk(attempt->id()),
            .replayed = false,
        },
        true);
}

void AttemptRunner::Impl::replay(const AttemptPtr &attempt, const StoredAnswer &answer)
{
    replayed_.add();
    if (!answer.body.empty()) {
        onChunk(attempt, answer.body);
    }
    end(attempt,
        {
            .id = attempt->id(),
            .verdict = Verdict::Ran,
            .status = answer.status,
            .contentType = answer.contentType,
            .errorCode = {},
            .detail = {},
            .retryAfter = Duration(0),
            .chunks = answers_.nextChunk(attempt->id()),
            .replayed = true,
        },
        false);
}

void AttemptRunner::Impl::failAttempt(const AttemptPtr &attempt, Failure failure)
{
    if (failure.verdict == Verdict::NotRun && attempt->mayHaveRun) {
        failure.verdict = Verdict::MayHaveRun;
    }
    countRefusal(failure);
    attempt->span.fail(failure.code.message());
    wire::Finish finish = finishOf(attempt->id(), failure);
    finish.chunks = answers_.nextChunk(attempt->id());
    end(attempt, finish, false);
}

void AttemptRunner::Impl::end(const AttemptPtr &attempt, const wire::Finish &finish, bool valid)
{
    const MonoTime now = MonoClock::now();
    if (open_.erase(attempt->id()) == 0) {
        return;
    }
    ledger_.end(attempt->id(), finish.verdict, now);
    answers_.finish(finish, now);
    attempt->span.end();
    if (attempt->link != 0) {
        ports_.send(attempt->link, finish);
    }
    policy::ServiceSample sample;
    sample.valid = valid;
    sample.total = now - attempt->startedAt;
    sample.firstToken = attempt->firstTokenAt.value_or(now) - attempt->startedAt;
    sample.outputTokens = finish.chunks - std::min(finish.chunks, attempt->dispatch.resumeAfter);
    queue_.finished(attempt->id(), sample, now);
    pump();
}

void AttemptRunner::Impl::cancel(const wire::AttemptId &id)
{
    const MonoTime now = MonoClock::now();
    static_cast<void>(ledger_.cancel(id, now));
    const AttemptPtr attempt = find(id);
    if (!attempt) {
        return;
    }
    if (attempt->claim) {
        // Once begun it goes on: cutting it would leave nobody knowing whether it was done, while its end is recorded and
        // found by the caller's next try.
        attempt->claim->giveUp(ErrorCode::Cancelled);
        return;
    }
    const bool atEngine = attempt->call != 0;
    if (atEngine) {
        engine_.cancel(std::exchange(attempt->call, 0));
        attempt->engineSpan.end();
    } else {
        static_cast<void>(queue_.cancel(id, now));
    }
    failAttempt(attempt,
                {.code = ErrorCode::Cancelled,
                 .verdict = attempt->begun ? Verdict::MayHaveRun : Verdict::NotRun,
                 .detail = "cancelled by the caller",
                 .retryAfter = {}});
}

void AttemptRunner::Impl::query(LinkId link, const wire::Query &query)
{
    ports_.send(link, ledger_.query(query, MonoClock::now()));
}

void AttemptRunner::Impl::attach(LinkId link, const wire::Attach &attach)
{
    reattach(link, attach.id, attach.fromChunk);
}

void AttemptRunner::Impl::reattach(LinkId link, const wire::AttemptId &id, std::uint32_t fromChunk)
{
    if (!answers_.has(id)) {
        const AttemptLedger::Record *record = ledger_.find(id);
        ports_.send(link,
                    finishOf(id,
                             {.code = ErrorCode::ConnectionLost,
                              .verdict = record != nullptr ? record->verdict : Verdict::MayHaveRun,
                              .detail = "the answer is not kept any more",
                              .retryAfter = {}}));
        return;
    }
    for (const wire::Message &message : answers_.from(id, fromChunk)) {
        ports_.send(link, message);
    }
    if (const AttemptPtr attempt = find(id)) {
        attempt->link = link;
    }
}

void AttemptRunner::Impl::linkDown(LinkId link)
{
    for (const auto &[id, attempt] : open_) {
        if (attempt->link == link) {
            attempt->link = 0;
            attempt->orphanedAt = MonoClock::now();
        }
    }
}

void AttemptRunner::Impl::setManifest(manifest::ManifestIndex::Pointer index)
{
    index_ = std::move(index);
    const manifest::Endpoint *endpoint = index_ ? index_->endpoint(options_.endpoint) : nullptr;
    if (endpoint != nullptr) {
        queue_.setLimit(endpoint->concurrency, MonoClock::now());
        pump();
    }
}

void AttemptRunner::Impl::tick()
{
    const MonoTime now = MonoClock::now();
    std::vector<policy::ExpiredTicket> expired;
    for (const policy::ExpiredTicket &ticket : queue_.expire(now)) {
        expired.push_back(ticket);
    }
    for (const policy::ExpiredTicket &ticket : expired) {
        if (const AttemptPtr attempt = find(ticket.ticket.id)) {
            failAttempt(attempt, notRun(ErrorCode::DeadlineExceeded, "the deadline can't be met any more", ticket.retryAfter));
        }
    }
    giveUpLateClaims(now);
    endOrphans(now);
    answers_.expire(now);
    const double faded = std::exp2(-std::chrono::duration<double>(now - lastTick_) / std::chrono::duration<double>(DemandHalfLife));
    for (auto &[model, demand] : refusedDemand_) {
        demand *= faded;
    }
    lastTick_ = now;
}

void AttemptRunner::Impl::giveUpLateClaims(MonoTime now)
{
    std::vector<AttemptPtr> late;
    for (const auto &[id, attempt] : open_) {
        if (attempt->claim && now >= attempt->deadline) {
            late.push_back(attempt);
        }
    }
    for (const AttemptPtr &attempt : late) {
        attempt->claim->giveUp(ErrorCode::DeadlineExceeded);
    }
}

void AttemptRunner::Impl::endOrphans(MonoTime now)
{
    std::vector<wire::AttemptId> orphans;
    for (const auto &[id, attempt] : open_) {
        if (attempt->link == 0 && now - attempt->orphanedAt >= options_.orphanGrace) {
            orphans.push_back(id);
        }
    }
    for (const wire::AttemptId &id : orphans) {
        cancel(id);
    }
}

void AttemptRunner::Impl::drain()
{
    if (std::exchange(leaving_, true)) {
        return;
    }
    std::vector<policy::Ticket> queued;
    for (const policy::Ticket &ticket : queue_.drain(MonoClock::now())) {
        queued.push_back(ticket);
    }
    for (const policy::Ticket &ticket : queued) {
        if (const AttemptPtr attempt = find(ticket.id)) {
            failAttempt(attempt, notRun(ErrorCode::Leaving, "the endpoint is leaving"));
        }
    }
}

AttemptRunner::AttemptRunner(event_base *loop,
                             const Options &options,
                             engine::EngineClient &engine,
                             PlatformPorts platform,
                             Ports ports,
                             observe::Metrics &metrics,
                             observe::Tracer &tracer)
    : impl_(std::make_unique<Impl>(loop, options, engine, std::move(platform), std::move(ports), metrics, tracer))
{
}

AttemptRunner::~AttemptRunner() = default;

void AttemptRunner::dispatch(LinkId link, wire::Dispatch dispatch)
{
    impl_->dispatch(link, std::move(dispatch));
}

void AttemptRunner::cancel(const wire::Cancel &cancel)
{
    impl_->cancel(cancel.id);
}

void AttemptRunner::query(LinkId link, const wire::Query &query)
{
    impl_->query(link, query);
}

void AttemptRunner::attach(LinkId link, const wire::Attach &attach)
{
    impl_->attach(link, attach);
}

void AttemptRunner::linkDown(LinkId link)
{
    impl_->linkDown(link);
}

void AttemptRunner::setManifest(manifest::ManifestIndex::Pointer index)
{
    impl_->setManifest(std::move(index));
}

void AttemptRunner::setEngineState(std::optional<engine::EngineState> state)
{
    impl_->state_ = std::move(state);
}

void AttemptRunner::hold(std::set<std::string> models)
{
    impl_->held_ = std::move(models);
}

void AttemptRunner::tick()
{
    impl_->tick();
}

void AttemptRunner::drain()
{
    impl_->drain();
}

bool AttemptRunner::isIdle() const
{
    return impl_->open_.empty() && impl_->claims_.empty();
}

policy::QueueLoad AttemptRunner::load() const
{
    return impl_->queue_.load(MonoClock::now());
}

std::size_t AttemptRunner::openAttempts() const
{
    return impl_->open_.size();
}

std::map<std::string, std::uint32_t> AttemptRunner::waitingByModel() const
{
    std::map<std::string, std::uint32_t> waiting;
    for (const auto &[model, demand] : impl_->refusedDemand_) {
        waiting[model] = static_cast<std::uint32_t>(demand);
    }
    for (const auto &[id, attempt] : impl_->open_) {
        if (attempt->isModel() && attempt->call == 0) {
            ++waiting[attempt->dispatch.model];
        }
    }
    return waiting;
}

std::uint32_t AttemptRunner::openOf(const std::string &model) const
{
    const auto &open = impl_->open_;
    return static_cast<std::uint32_t>(std::count_if(open.begin(), open.end(), [&model](const auto &entry) { return entry.second->dispatch.model == model; }));
}

} // namespace magnolia::agent
