#ifndef MAGNOLIA_ENGINE_ENGINECLIENT_H
#define MAGNOLIA_ENGINE_ENGINECLIENT_H

#include "base/clock.h"
#include "base/failure.h"
#include "engine/enginestate.h"
#include "engine/expertorders.h"
#include "http/httpclient.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace magnolia::engine
{

/** How a call to an endpoint ended whose answer came whole. */
struct Completion {
    int status = 0;
    std::string contentType{};
    std::uint32_t chunks = 0; ///< Index after the last chunk.
};

/**
 * The only path to one endpoint: a model engine or a plain service.
 *
 * A model stream that falls silent while the endpoint answers on a fresh connection is taken up again on a new connection
 * after its last chunk; nothing else is ever sent twice. Lives on one event loop: all calls and callbacks are on its
 * thread. Destroying the client gives its calls up without calling back.
 *
 * @code
 * EngineClient engine(loop, {.address = "127.0.0.1:9100"});
 * engine.runModel({.path = "/v1/chat/completions", .body = body}, {.onChunk = ..., .onEnd = ...});
 * @endcode
 */
class EngineClient
{
public:
    struct Options {
        std::string address{}; ///< "IP:PORT"
        Duration silenceTimeout{3000}; ///< A stream with nothing for so long is checked over a fresh connection.
        Duration probeTimeout{1000}; ///< Longest wait for GET /health.
        Duration controlTimeout{5000}; ///< Longest wait for state and orders.
        std::size_t maxChunkBytes = 1U << 20U;
        std::size_t maxBodyBytes = 16U << 20U;
        std::size_t maxConnections = 256;
    };

    /** A call of a model; its body is the caller's JSON. */
    struct ModelRequest {
        std::string path{};
        http::Headers headers{};
        std::string body{};
        std::uint32_t priority = 0; ///< 0 paying, 1 trial; lower goes first.
        std::uint32_t resumeAfter = 0; ///< Chunks that the caller has; the first one given has this index.
        Duration timeout{60000};
    };

    /** A call of a plain service; sent once whatever happens. */
    struct PlainRequest {
        std::string method{};
        std::string path{};
        http::Headers headers{};
        std::string body{};
        Duration timeout{60000};
    };

    struct Callbacks {
        std::function<void(std::uint32_t index, std::string_view data)> onChunk{}; ///< Indices are consecutive.
        std::function<void(Result<Completion>)> onEnd{}; ///< Exactly once, unless cancelled.
    };

    /** Names a call in progress; never 0. */
    using CallId = std::uint64_t;

    EngineClient(event_base *loop, Options options);
    ~EngineClient();
    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;

    CallId runModel(ModelRequest request, Callbacks callbacks);
    CallId runPlain(PlainRequest request, Callbacks callbacks);

    /** Gives a call up; the endpoint sees a hang-up. No callback follows. */
    void cancel(CallId call);

    void fetchState(std::function<void(Result<EngineState>)> done);

    /** A refusal has StaleFence (old fencing number), RateLimited (weight store, with retryAfter) or NotFound. */
    void order(const EngineOrder &order, std::uint64_t fence, std::function<void(Result<void>)> done);

    /** Reads the rank's state back, over a connection that only these reads use: answers come in the order of the calls. */
    void fetchExperts(std::function<void(Result<ExpertStatus>)> done);

    /**
     * A refusal has StaleFence, RateLimited (weight store, with retryAfter), Conflict (the engine's state forbids it) or
     * NotFound (the engine is in no group). Success tells that the order was taken; what became of it is read back.
     * An order that cannot be encoded is answered BadInput from within the call.
     */
    void orderExperts(const experts::EngineOrder &order, std::uint64_t fence, std::function<void(Result<void>)> done);

    /** Asks GET /health over a connection that was never used before. */
    void probe(std::function<void(bool alive)> done);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnolia::engine

#endif
