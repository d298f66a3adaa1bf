#include "callrunner.h"

#include "observe/log.h"

#include <algorithm>
#include <utility>

namespace magnolia::entry
{

namespace
{

/** The agent gets a little less time than there is, so that its truthful refusal arrives before the deadline here. */
constexpr Duration DeadlineMargin{50};
constexpr int DeadlineMarginShare = 20;

Duration timeLeftForAgent(MonoTime deadline, MonoTime now)
{
    const auto left = std::chrono::floor<Duration>(deadline - now);
    return std::max(left - std::min(DeadlineMargin, left / DeadlineMarginShare), Duration(1));
}

ReplyForm formOf(const CallerRequest &request)
{
    if (request.kind == CallerRequestKind::ServiceCall) {
        return ReplyForm::Bytes;
    }
    return request.stream ? ReplyForm::EventStream : ReplyForm::WholeCompletion;
}

Wanted wantedOf(const CallerRequest &request)
{
    return {.model = request.model, .adapter = request.adapter, .version = request.version, .service = request.service};
}

} // namespace

struct CallRunner::Call {
    Call(event_base *loop,
         const RequestTracker::Options &trackerOptions,
         CallerRequest checked,
         std::shared_ptr<http::Exchange> exchange,
         const CallerReply::Options &replyOptions,
         observe::Span requestSpan,
         std::function<void()> onDeadline)
        : tracker(trackerOptions)
        , request(std::move(checked))
        , reply(std::move(exchange), replyOptions)
        , deadline(loop, std::move(onDeadline))
        , span(std::move(requestSpan))
    {
    }

    RequestTracker tracker;
    CallerRequest request;
    CallerReply reply;
    http::Timer deadline;
    TrackerActions actions;
    bool isCarryingOut = false;
    Agent *agent = nullptr; ///< Where the present attempt is counted.
    std::vector<policy::EndpointKey> tried;
    std::string servedVersion; ///< By the attempt that gave the first piece: a resumed answer stays with it.
    MonoTime begun;
    MonoTime lastPiece;
    observe::Span span;
    std::optional<observe::Span> linkSpan; ///< Of the present attempt.
};

CallRunner::CallRunner(event_base *loop, Options options, AgentPool &pool, Placement &placement, EntryMetrics &metrics, observe::Tracer &tracer)
    : loop_(loop), options_(options), pool_(pool), placement_(placement), metrics_(metrics), tracer_(tracer)
{
}

CallRunner::~CallRunner() = default;

void CallRunner::begin(const RequestId &id, const std::shared_ptr<http::Exchange> &exchange, CallerRequest request, bool closeAfterwards)
{
    const MonoTime now = MonoClock::now();
    const auto parent = exchange->headers().find("traceparent");
    const RequestTracker::Options trackerOptions{
        .id = id, .deadline = now + request.timeout, .idempotent = request.idempotent, .resumable = request.kind == CallerRequestKind::ChatCompletion};
    const CallerReply::Options replyOptions{
        .form = formOf(request), .id = id, .maxWholeBytes = options_.maxWholeBytes, .maxPendingBytes = options_.maxPendingBytes};
    auto span = tracer_.start(
        "entry.request", parent == exchange->headers().end() ? std::nullopt : observe::TraceContext::parse(parent->second), observe::SpanKind::Server);
    span.set("request.id", id.toString());
    span.set("organisation", request.organisation->name);
    span.set(request.model.empty() ? "service" : "model", request.model.empty() ? request.service : request.model);
    auto call = std::make_shared<Call>(loop_, trackerOptions, std::move(request), exchange, replyOptions, std::move(span), [this, id] { deadlinePassed(id); });
    if (closeAfterwards) {
        call->reply.closeAfterwards();
    }
    call->begun = now;
    calls_.emplace(id, call);
    metrics_.inProgress.set(static_cast<double>(calls_.size()));
    exchange->onHangup([this, id] { hungUp(id); });
    call->deadline.start(call->request.timeout);
    call->tracker.start(call->actions);
    carryOut(call);
}

CallRunner::CallPointer CallRunner::find(const RequestId &id) const
{
    const auto found = calls_.find(id);
    return found == calls_.end() ? nullptr : found->second;
}

std::vector<CallRunner::CallPointer> CallRunner::callsAt(const Agent &agent) const
{
    std::vector<CallPointer> found;
    for (const RequestId &id : agent.requests) {
        if (CallPointer call = find(id)) {
            found.push_back(std::move(call));
        }
    }
    return found;
}

void CallRunner::agentUp(Agent &agent)
{
    for (const CallPointer &call : callsAt(agent)) {
        call->tracker.linkUp({.agent = agent.at.name, .incarnation = agent.incarnation, .link = agent.link}, MonoClock::now(), call->actions);
        carryOut(call);
    }
}

void CallRunner::linkDown(Agent &agent, LinkId ended)
{
    for (const CallPointer &call : callsAt(agent)) {
        call->tracker.linkDown(ended);
    }
}

void CallRunner::agentLost(Agent &agent)
{
    for (const CallPointer &call : callsAt(agent)) {
        call->tracker.peerLost(agent.at.name, MonoClock::now(), call->actions);
        carryOut(call);
    }
}

void CallRunner::take(Agent &agent, wire::Message &&message)
{
    const MonoTime now = MonoClock::now();
    if (auto *chunk = std::get_if<wire::Chunk>(&message)) {
        if (const CallPointer call = find(chunk->id.request)) {
            call->tracker.chunk(agent.link, std::move(*chunk), now, call->actions);
            carryOut(call);
        }
    } else if (const auto *finish = std::get_if<wire::Finish>(&message)) {
        if (const CallPointer call = find(finish->id.request)) {
            call->tracker.finish(agent.link, *finish, now, call->actions);
            carryOut(call);
        }
    } else if (const auto *answer = std::get_if<wire::QueryAnswer>(&message)) {
        if (const CallPointer call = find(answer->id.request)) {
            call->tracker.queryAnswer(agent.link, *answer, now, call->actions);
            carryOut(call);
        }
    }
}

void CallRunner::carryOut(const CallPointer &call)
{
    // Carrying out an action can bring further ones: they are taken up by the round that is under way.
    if (call->isCarryingOut) {
        return;
    }
    call->isCarryingOut = true;
    while (!call->actions.empty()) {
        TrackerActions round = std::exchange(call->actions, {});
        for (TrackerAction &action : round) {
            std::visit([this, &call](auto &concrete) { perform(*call, concrete); }, action);
        }
    }
    call->isCarryingOut = false;
    if (call->tracker.isDone()) {
        forget(call);
    }
}

void CallRunner::perform(Call &call, ChooseEndpoint &choose)
{
    leaveAgent(call);
    if (!isPaidFor(call, choose.reason)) {
        call.tracker.noEndpoint(
            {.code = ErrorCode::Overloaded, .verdict = Verdict::NotRun, .detail = "endpoints refuse too many requests to try another one", .retryAfter = {}},
            call.actions);
        return;
    }
    Wanted wanted = wantedOf(call.request);
    if (choose.resumeAfter > 0 && !call.servedVersion.empty()) {
        wanted.version = call.servedVersion;
    }
    const auto prefix = call.request.model.empty() ? std::nullopt : std::optional(call.request.prefix);
    Agent *agent = placement_.choose(wanted, prefix, call.tried, MonoClock::now());
    if (agent == nullptr) {
        call.tracker.noEndpoint(
            {.code = ErrorCode::Unavailable, .verdict = Verdict::NotRun, .detail = "no endpoint can take the request now", .retryAfter = {}}, call.actions);
        return;
    }
    if (call.tracker.delivered() == 0) {
        call.servedVersion = Placement::servedVersion(*agent, wanted);
    }
    call.tried.push_back(agent->key);
    dispatch(call, *agent, choose);
}

void CallRunner::dispatch(Call &call, Agent &agent, const ChooseEndpoint &choose)
{
    const MonoTime now = MonoClock::now();
    wire::Dispatch message = dispatchOf(call.request, choose.id, choose.resumeAfter);
    message.incarnation = agent.incarnation;
    message.timeLeft = timeLeftForAgent(call.tracker.deadline(), now);
    if (choose.resumeAfter > 0 && message.version.empty()) {
        message.version = call.servedVersion;
    }
    observe::Span &linkSpan = call.linkSpan.emplace(tracer_.start("entry.link", call.span.context(), observe::SpanKind::Client));
    linkSpan.set("endpoint", agent.at.endpoint);
    linkSpan.set("attempt", static_cast<std::int64_t>(choose.id.attempt));
    message.traceparent = linkSpan.traceparent();
    if (choose.reason != RetryReason::First) {
        metrics_.retries.add();
    }
    if (choose.resumeAfter > 0) {
        metrics_.resumed.add();
    }
    if (!pool_.send(agent, message)) {
        linkSpan.fail("unavailable");
        call.tracker.notSent(now, call.actions);
        return;
    }
    call.agent = &agent;
    ++agent.ownInFlight;
    agent.requests.insert(call.tracker.id());
    call.tracker.dispatched({.agent = agent.at.name, .incarnation = agent.incarnation, .link = agent.link});
}

void CallRunner::leaveAgent(Call &call)
{
    call.linkSpan.reset();
    if (call.agent == nullptr) {
        return;
    }
    --call.agent->ownInFlight;
    call.agent->requests.erase(call.tracker.id());
    call.agent = nullptr;
}

void CallRunner::perform(Call & /*call*/, SendQuery &query)
{
    // If the link is down again the next linkUp() asks anew.
    if (Agent *agent = pool_.find(query.agent)) {
        pool_.send(*agent, query.query);
    }
}

void CallRunner::perform(Call & /*call*/, SendAttach &attach)
{
    if (Agent *agent = pool_.find(attach.agent)) {
        pool_.send(*agent, attach.attach);
    }
}

void CallRunner::perform(Call & /*call*/, SendCancel &cancel)
{
    pool_.cancel(cancel);
}

void CallRunner::perform(Call &call, DeliverChunk &chunk)
{
    const MonoTime now = MonoClock::now();
    if (chunk.index == 0) {
        budgetsOf(call).losses.succeeded(now);
    }
    const manifest::Tier tier = call.request.organisation->tier;
    if (!call.request.model.empty()) {
        const bool isFirst = call.lastPiece == MonoTime{};
        auto &timing = isFirst ? metrics_.firstToken(tier) : metrics_.betweenTokens(tier);
        timing.record(now - (isFirst ? call.begun : call.lastPiece));
        call.lastPiece = now;
    }
    if (const auto limit = call.reply.add(chunk.data)) {
        if (*limit == ErrorCode::Cancelled) {
            metrics_.slowCallers.add();
        }
        call.tracker.giveUp({.code = *limit,
                             .verdict = Verdict::Ran,
                             .detail = *limit == ErrorCode::TooLarge ? "the answer is too large" : "the caller does not take its answer",
                             .retryAfter = {}},
                            call.actions);
    }
}

void CallRunner::perform(Call &call, Conclude &end)
{
    const manifest::Tier tier = call.request.organisation->tier;
    call.span.set("verdict", toString(end.verdict));
    if (end.failure) {
        call.span.fail(end.failure->code.message());
        call.reply.fail(*end.failure);
        metrics_.ended(&tier, end.verdict, &end.failure->code);
        return;
    }
    budgetsOf(call).refusals.succeeded(MonoClock::now());
    call.reply.succeed(end);
    metrics_.ended(&tier, end.verdict, nullptr);
}

void CallRunner::hungUp(const RequestId &id)
{
    if (const CallPointer call = find(id)) {
        metrics_.hangups.add();
        call->span.fail("cancelled");
        call->tracker.callerGone(call->actions);
        carryOut(call);
    }
}

void CallRunner::deadlinePassed(const RequestId &id)
{
    if (const CallPointer call = find(id)) {
        call->tracker.deadlinePassed(call->actions);
        carryOut(call);
    }
}

void CallRunner::forget(const CallPointer &call)
{
    leaveAgent(*call);
    call->span.end();
    call->deadline.stop();
    calls_.erase(call->tracker.id());
    metrics_.inProgress.set(static_cast<double>(calls_.size()));
}

CallRunner::Budgets &CallRunner::budgetsOf(const Call &call)
{
    const std::string &name = call.request.model.empty() ? call.request.service : call.request.model;
    const auto found = budgets_.find(name);
    if (found != budgets_.end()) {
        return found->second;
    }
    return budgets_.emplace(name, Budgets{policy::RetryBudget(options_.refusals), policy::RetryBudget(options_.losses)}).first->second;
}

bool CallRunner::isPaidFor(const Call &call, RetryReason reason)
{
    // Retries after a refusal would feed an overload. Those after a loss would feed a fault that kills engines, so that
    // each request pays for about one. An endpoint that leaves or changes refuses everybody once, and that costs nothing.
    switch (reason) {
    case RetryReason::Refused:
        return budgetsOf(call).refusals.tryRetry(MonoClock::now());
    case RetryReason::Lost:
        return budgetsOf(call).losses.tryRetry(MonoClock::now());
    case RetryReason::First:
    case RetryReason::Unsent:
    case RetryReason::Moved:
        break;
    }
    return true;
}

} // namespace magnolia::entry
