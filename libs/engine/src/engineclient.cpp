#include "engine/engineclient.h"

#include "engine/sseparser.h"
#include "http/retryaftervalue.h"
#include "http/timer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace magnolia::engine
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view EndOfStream = "[DONE]";
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusTooManyRequests = 429;
constexpr int FirstServerError = 500;

/** Consecutive failed health checks after which a stream is abandoned. */
constexpr int MaxFailedProbes = 2;

std::string headerOf(const http::Headers &headers, const std::string &name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

/** Sets the fields of the caller's JSON that the agent decides. */
Result<std::string> engineBody(std::string_view callerBody, std::uint32_t priority, std::uint32_t resumeAfter)
{
    Json json = Json::parse(callerBody, nullptr, false);
    if (!json.is_object()) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "the body is no JSON object");
    }
    json["stream"] = true;
    json["priority"] = priority;
    json["resume_after"] = resumeAfter;
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** What an answer of 409 means. */
enum class ConflictMeaning : std::uint8_t {
    StaleFence, ///< The order's fencing number is outdated.
    ToldByBody, ///< As StaleFence if the body contains the highest one; otherwise the engine's state forbids the order.
};

Result<void> outcomeOfOrder(const http::Response &response, ConflictMeaning conflict)
{
    switch (response.status) {
    case StatusOk:
        return {};
    case StatusConflict:
        if (conflict == ConflictMeaning::StaleFence || isStaleFence(response.body)) {
            return fail(ErrorCode::StaleFence, Verdict::NotRun, "the engine knows a higher fencing number");
        }
        return fail(ErrorCode::Conflict, Verdict::NotRun, "the engine's state forbids the order");
    case StatusTooManyRequests:
        return tl::unexpected(Failure{.code = ErrorCode::RateLimited,
                                      .verdict = Verdict::NotRun,
                                      .detail = "the weight store refuses",
                                      .retryAfter = http::parseRetryAfter(headerOf(response.headers, "retry-after"))});
    case StatusNotFound:
        return fail(ErrorCode::NotFound, Verdict::NotRun, "the engine has no such model or group");
    default:
        return fail(ErrorCode::EndpointError, Verdict::MayHaveRun, "the engine answered an order with " + std::to_string(response.status));
    }
}

} // namespace

class EngineClient::Impl
{
public:
    Impl(event_base *loop, Options options)
        : loop_(loop)
        , options_(std::move(options))
        , calls_(loop, {.address = options_.address, .maxConnections = options_.maxConnections, .maxBodyBytes = options_.maxBodyBytes})
        , probes_(loop, {.address = options_.address, .maxConnections = MaxProbes, .connectTimeout = options_.probeTimeout})
        , control_(loop, {.address = options_.address, .maxConnections = 2})
        , expertReads_(loop, {.address = options_.address, .maxConnections = 1})
    {
    }

    CallId runModel(ModelRequest request, Callbacks callbacks);
    CallId runPlain(PlainRequest request, Callbacks callbacks);
    void cancel(CallId call);
    void fetchState(std::function<void(Result<EngineState>)> done);
    void order(const EngineOrder &order, std::uint64_t fence, std::function<void(Result<void>)> done);
    void fetchExperts(std::function<void(Result<ExpertStatus>)> done);
    void orderExperts(const experts::EngineOrder &order, std::uint64_t fence, std::function<void(Result<void>)> done);
    void probe(std::function<void(bool)> done);

private:
    static constexpr std::size_t MaxProbes = 16;

    struct Call {
        Callbacks callbacks;
        http::HttpClient::CallId httpCall = 0;
        std::uint32_t nextChunk = 0;
        int status = 0;
        std::string contentType;
        // Used by model streams only:
        ModelRequest request;
        MonoTime deadline;
        SseParser parser{0};
        std::string errorBody; ///< Body of an answer that is no stream.
        bool done = false; ///< The end mark of the stream was received.
        Duration silence{0}; ///< Current silence timeout of the stream.
        int failedProbes = 0;
        bool resumed = false; ///< It was started on an earlier connection, so it may have run even if this connection fails.
        std::unique_ptr<http::Timer> silenceTimer;
    };

    void sendModel(CallId id, Call &call);
    void onModelHeaders(CallId id, int status, const http::Headers &headers);
    void onModelData(CallId id, std::string_view data);
    void onModelEnd(CallId id, const Result<void> &result);
    void onSilence(CallId id);
    void onProbed(CallId id, std::uint32_t chunksBefore, bool alive);
    void finish(CallId id, Result<Completion> result);
    Call *find(CallId id);
    void sendOrder(std::string path, std::string body, ConflictMeaning conflict, std::function<void(Result<void>)> done);
    void noteLostConnection(const Failure &failure);

    event_base *loop_;
    Options options_;
    // Separate pools, so that control requests and probes never queue behind calls, and a probe never reuses a connection of a call.
    http::HttpClient calls_;
    http::HttpClient probes_;
    http::HttpClient control_;
    // A single connection keeps the reads in order: a vote must not be based on a state older than one that was already acted on.
    http::HttpClient expertReads_;
    std::unordered_map<CallId, std::shared_ptr<Call>> open_;
    CallId lastCall_ = 0;
};

EngineClient::Impl::Call *EngineClient::Impl::find(CallId id)
{
    const auto found = open_.find(id);
    return found == open_.end() ? nullptr : found->second.get();
}

EngineClient::CallId EngineClient::Impl::runModel(ModelRequest request, Callbacks callbacks)
{
    const CallId id = ++lastCall_;
    auto call = std::make_shared<Call>();
    call->callbacks = std::move(callbacks);
    call->nextChunk = request.resumeAfter;
    call->deadline = MonoClock::now() + request.timeout;
    call->silence = options_.silenceTimeout;
    call->request = std::move(request);
    call->silenceTimer = std::make_unique<http::Timer>(loop_, [this, id] { onSilence(id); });
    open_.emplace(id, call);
    sendModel(id, *call);
    return id;
}

void EngineClient::Impl::sendModel(CallId id, Call &call)
{
    call.parser = SseParser(options_.maxChunkBytes);
    call.errorBody.clear();
    auto body = engineBody(call.request.body, call.request.priority, call.nextChunk);
    if (!body) {
        // The callback must not run within runModel(), since the caller does not have the id of the call yet.
        call.silenceTimer = std::make_unique<http::Timer>(loop_, [this, id, failure = body.error()] { finish(id, tl::unexpected(failure)); });
        call.silenceTimer->start(Duration(0));
        return;
    }
    http::Headers headers = call.request.headers;
    headers["content-type"] = "application/json";
    const auto left = std::chrono::duration_cast<Duration>(call.deadline - MonoClock::now());
    call.httpCall = calls_.stream({.method = "POST", .path = call.request.path, .headers = std::move(headers), .body = std::move(*body), .timeout = left},
                                  {
                                      .onHeaders = [this, id](int status, const http::Headers &answer) { onModelHeaders(id, status, answer); },
                                      .onData = [this, id](std::string_view data) { onModelData(id, data); },
                                      .onEnd = [this, id](const Result<void> &result) { onModelEnd(id, result); },
                                  });
    call.silenceTimer->start(call.silence);
}

void EngineClient::Impl::onModelHeaders(CallId id, int status, const http::Headers &headers)
{
    if (Call *call = find(id)) {
        call->status = status;
        call->contentType = headerOf(headers, "content-type");
        call->silenceTimer->start(call->silence);
    }
}

void EngineClient::Impl::onModelData(CallId id, std::string_view data)
{
    const auto found = open_.find(id);
    if (found == open_.end()) {
        return;
    }
    // Keeps the call alive, since its callback may cancel it.
    const std::shared_ptr<Call> call = found->second;
    call->silenceTimer->start(call->silence);
    call->failedProbes = 0;
    if (call->status != StatusOk) {
        if (call->errorBody.size() + data.size() <= options_.maxChunkBytes) {
            call->errorBody.append(data);
        }
        return;
    }
    const bool fits = call->parser.feed(data, [&](std::string_view event) {
        if (call->done || find(id) == nullptr) {
            return;
        }
        if (event == EndOfStream) {
            call->done = true;
            return;
        }
        call->silence = options_.silenceTimeout;
        call->callbacks.onChunk(call->nextChunk++, event);
    });
    if (!fits && find(id) != nullptr) {
        calls_.cancel(call->httpCall);
        finish(id, fail(ErrorCode::TooLarge, Verdict::Ran, "an event of the endpoint's stream is too large"));
        return;
    }
    if (call->done && find(id) != nullptr) {
        // The answer is complete with the end mark, however the connection ends afterwards.
        calls_.cancel(call->httpCall);
        finish(id, Completion{.status = call->status, .contentType = call->contentType, .chunks = call->nextChunk});
    }
}

void EngineClient::Impl::onModelEnd(CallId id, const Result<void> &result)
{
    Call *call = find(id);
    if (call == nullptr) {
        return;
    }
    if (!result) {
        noteLostConnection(result.error());
        Failure failure = result.error();
        if (call->resumed) {
            failure.verdict = Verdict::MayHaveRun;
        }
        finish(id, tl::unexpected(std::move(failure)));
        return;
    }
    if (call->status == StatusOk) {
        // Without the end mark, a complete answer can't be told from a truncated one.
        finish(id, fail(ErrorCode::ConnectionLost, Verdict::MayHaveRun, "the endpoint's stream ended before its end mark"));
        return;
    }
    if (call->status >= FirstServerError) {
        finish(id, fail(ErrorCode::EndpointError, Verdict::MayHaveRun, "the endpoint answered " + std::to_string(call->status)));
        return;
    }
    if (call->status == StatusNotFound) {
        // A restarted engine answers 404 until its agent has loaded the models again. Relayed to the caller, that would mean that
        // the model does not exist, although other engines serve it.
        const Verdict verdict = call->resumed ? Verdict::MayHaveRun : Verdict::NotRun;
        finish(id, fail(ErrorCode::Unavailable, verdict, "the engine does not serve the model now"));
        return;
    }
    call->callbacks.onChunk(call->nextChunk++, call->errorBody);
    if (find(id) != nullptr) {
        finish(id, Completion{.status = call->status, .contentType = call->contentType, .chunks = call->nextChunk});
    }
}

void EngineClient::Impl::onSilence(CallId id)
{
    Call *call = find(id);
    if (call == nullptr) {
        return;
    }
    // The connection may be broken without a reset, the engine may be slow, or it may have crashed. A health check on a new
    // connection tells the last case from the others.
    probe([this, id, chunks = call->nextChunk](bool alive) { onProbed(id, chunks, alive); });
}

void EngineClient::Impl::onProbed(CallId id, std::uint32_t chunksBefore, bool alive)
{
    Call *call = find(id);
    if (call == nullptr || call->nextChunk != chunksBefore) {
        return;
    }
    if (alive) {
        // The old connection is closed first, so that none of its chunks can arrive later. The timeout doubles, so that an
        // engine that is merely slow reaches its next chunk before the next resumption.
        calls_.cancel(call->httpCall);
        calls_.closeIdle();
        constexpr int Growth = 2;
        call->silence *= Growth;
        call->failedProbes = 0;
        call->resumed = true;
        sendModel(id, *call);
        return;
    }
    ++call->failedProbes;
    if (call->failedProbes < MaxFailedProbes) {
        call->silenceTimer->start(options_.probeTimeout);
        return;
    }
    calls_.cancel(call->httpCall);
    finish(id, fail(ErrorCode::ConnectionLost, Verdict::MayHaveRun, "the endpoint fell silent and answers on no fresh connection"));
}

EngineClient::CallId EngineClient::Impl::runPlain(PlainRequest request, Callbacks callbacks)
{
    const CallId id = ++lastCall_;
    auto call = std::make_shared<Call>();
    call->callbacks = std::move(callbacks);
    open_.emplace(id, call);
    call->httpCall = calls_.stream({.method = std::move(request.method),
                                    .path = std::move(request.path),
                                    .headers = std::move(request.headers),
                                    .body = std::move(request.body),
                                    .timeout = request.timeout,
                                    .silenceTimeout = options_.silenceTimeout},
                                   {
                                       .onHeaders =
                                           [this, id](int status, const http::Headers &answer) {
                                               if (Call *open = find(id)) {
                                                   open->status = status;
                                                   open->contentType = headerOf(answer, "content-type");
                                               }
                                           },
                                       .onData =
                                           [this, id](std::string_view data) {
                                               const auto found = open_.find(id);
                                               if (found != open_.end()) {
                                                   const std::shared_ptr<Call> open = found->second;
                                                   open->callbacks.onChunk(open->nextChunk++, data);
                                               }
                                           },
                                       .onEnd =
                                           [this, id](const Result<void> &result) {
                                               const Call *open = find(id);
                                               if (open == nullptr) {
                                                   return;
                                               }
                                               if (!result) {
                                                   noteLostConnection(result.error());
                                                   finish(id, tl::unexpected(result.error()));
                                                   return;
                                               }
                                               finish(id, Completion{.status = open->status, .contentType = open->contentType, .chunks = open->nextChunk});
                                           },
                                   });
    return id;
}

void EngineClient::Impl::noteLostConnection(const Failure &failure)
{
    if (failure.code == ErrorCode::ConnectionLost || failure.code == ErrorCode::DeadlineExceeded) {
        // The cause of one silent connection often affects the idle ones too.
        calls_.closeIdle();
    }
}

void EngineClient::Impl::finish(CallId id, Result<Completion> result)
{
    const auto found = open_.find(id);
    if (found == open_.end()) {
        return;
    }
    const std::shared_ptr<Call> call = found->second;
    open_.erase(found);
    if (call->silenceTimer) {
        call->silenceTimer->stop();
    }
    call->callbacks.onEnd(std::move(result));
}

void EngineClient::Impl::cancel(CallId call)
{
    const auto found = open_.find(call);
    if (found == open_.end()) {
        return;
    }
    calls_.cancel(found->second->httpCall);
    open_.erase(found);
}

void EngineClient::Impl::probe(std::function<void(bool)> done)
{
    probes_.closeIdle();
    probes_.send({.path = "/health", .headers = {{"connection", "close"}}, .timeout = options_.probeTimeout},
                 [done = std::move(done)](const Result<http::Response> &response) { done(response && response->status == StatusOk); });
}

void EngineClient::Impl::fetchState(std::function<void(Result<EngineState>)> done)
{
    control_.send({.path = "/control/state", .timeout = options_.controlTimeout}, [this, done = std::move(done)](const Result<http::Response> &response) {
        if (!response) {
            control_.closeIdle();
            done(tl::unexpected(response.error()));
        } else if (response->status != StatusOk) {
            done(fail(ErrorCode::EndpointError, Verdict::Ran, "the engine's state came with status " + std::to_string(response->status)));
        } else {
            done(parseEngineState(response->body));
        }
    });
}

void EngineClient::Impl::order(const EngineOrder &order, std::uint64_t fence, std::function<void(Result<void>)> done)
{
    sendOrder("/control/orders", encodeOrder(order, fence), ConflictMeaning::StaleFence, std::move(done));
}

void EngineClient::Impl::sendOrder(std::string path, std::string body, ConflictMeaning conflict, std::function<void(Result<void>)> done)
{
    control_.send({.method = "POST",
                   .path = std::move(path),
                   .headers = {{"content-type", "application/json"}},
                   .body = std::move(body),
                   .timeout = options_.controlTimeout},
                  [this, conflict, done = std::move(done)](const Result<http::Response> &response) {
                      if (!response) {
                          control_.closeIdle();
                          done(tl::unexpected(response.error()));
                      } else {
                          done(outcomeOfOrder(*response, conflict));
                      }
                  });
}

void EngineClient::Impl::fetchExperts(std::function<void(Result<ExpertStatus>)> done)
{
    expertReads_.send({.path = "/control/experts", .timeout = options_.controlTimeout}, [this, done = std::move(done)](const Result<http::Response> &response) {
        if (!response) {
            expertReads_.closeIdle();
            done(tl::unexpected(response.error()));
        } else if (response->status == StatusNotFound) {
            done(fail(ErrorCode::NotFound, Verdict::Ran, "the engine is in no group"));
        } else if (response->status != StatusOk) {
            done(fail(ErrorCode::EndpointError, Verdict::Ran, "the expert state came with status " + std::to_string(response->status)));
        } else {
            done(parseExpertStatus(response->body));
        }
    });
}

void EngineClient::Impl::orderExperts(const experts::EngineOrder &order, std::uint64_t fence, std::function<void(Result<void>)> done)
{
    auto request = encodeExpertOrder(order, fence);
    if (!request) {
        done(tl::unexpected(request.error()));
        return;
    }
    sendOrder(std::move(request->path), std::move(request->body), ConflictMeaning::ToldByBody, std::move(done));
}

EngineClient::EngineClient(event_base *loop, Options options) : impl_(std::make_unique<Impl>(loop, std::move(options))) {}

EngineClient::~EngineClient() = default;

EngineClient::CallId EngineClient::runModel(ModelRequest request, Callbacks callbacks)
{
    return impl_->runModel(std::move(request), std::move(callbacks));
}

EngineClient::CallId EngineClient::runPlain(PlainRequest request, Callbacks callbacks)
{
    return impl_->runPlain(std::move(request), std::move(callbacks));
}

void EngineClient::cancel(CallId call)
{
    impl_->cancel(call);
}

void EngineClient::fetchState(std::function<void(Result<EngineState>)> done)
{
    impl_->fetchState(std::move(done));
}

void EngineClient::order(const EngineOrder &order, std::uint64_t fence, std::function<void(Result<void>)> done)
{
    impl_->order(order, fence, std::move(done));
}

void EngineClient::fetchExperts(std::function<void(Result<ExpertStatus>)> done)
{
    impl_->fetchExperts(std::move(done));
}

void EngineClient::orderExperts(const experts::EngineOrder &order, std::uint64_t fence, std::function<void(Result<void>)> done)
{
    impl_->orderExperts(order, fence, std::move(done));
}

void EngineClient::probe(std::function<void(bool)> done)
{
    impl_->probe(std::move(done));
}

} // namespace magnolia::engine
