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

/** Result of a call to an endpoint whose answer was complete. */
struct Completion {
    int status = 0;
    std::string contentType{};
    std::uint32_t chunks = 0; ///< Index after the last chunk.
};

/**
 * The only path to one endpoint: a model engine or a plain service.
 *
 * A model stream that falls silent while the endpoint answers on a new connection is resumed there
 * after its last chunk; no other request is ever sent twice. Lives on one event loop: all calls and callbacks are on its
 * thread. Destroying the client cancels its calls without callbacks.
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
        Duration silenceTimeout{3000}; ///< A stream without data for this long triggers a health check on a new connection.
        Duration probeTimeout{1000}; ///< Timeout of GET /health.
        Duration controlTimeout{5000}; ///< Timeout of state requests and orders.
        std::size_t maxChunkBytes = 1U << 20U;
        std::size_t maxBodyBytes = 16U << 20U;
        std::size_t maxConnections = 256;
    };

    /** A call of a model; the body is the JSON of the caller. */
    struct ModelRequest {
        std::string path{};
        http::Headers headers{};
        std::string body{};
        std::uint32_t priority = 0; ///< 0: paying, 1: trial; lower values go first.
        std::uint32_t resumeAfter = 0; ///< Number of chunks that the caller already has; also the index of the first one to be passed on.
        Duration timeout{60000};
    };

    /** A call of a plain service; never repeated. */
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

    /** Identifies a call in progress; never 0. */
    using CallId = std::uint64_t;

    EngineClient(event_base *loop, Options options);
    ~EngineClient();
    EngineClient(const EngineClient &) = delete;
    EngineClient &operator=(const EngineClient &) = delete;

    CallId runModel(ModelRequest request, Callbacks callbacks);
    CallId runPlain(PlainRequest request, Callbacks callbacks);

    /** Cancels a call and closes its connection. No callback follows. */
    void cancel(CallId call);

    void fetchState(std::function<void(Result<EngineState>)> done);

    /** Sends an order. A rejection has StaleFence (outdated fencing number), RateLimited (weight store, with retryAfter) or NotFound. */
    void order(const EngineOrder &order, std::uint64_t fence, std::function<void(Result<void>)> done);

    /** Reads the state of the rank, on a connection of its own: answers arrive in the order of the calls. */
    void fetchExperts(std::function<void(Result<ExpertStatus>)> done);

    /**
     * A rejection has StaleFence, RateLimited (weight store, with retryAfter), Conflict (the engine's state forbids it) or
     * NotFound (the engine is in no group). Success means that the order was accepted; its effect is read back.
     * An order that can't be encoded fails with BadInput within the call.
     */
    void orderExperts(const experts::EngineOrder &order, std::uint64_t fence, std::function<void(Result<void>)> done);

    /** Sends GET /health on a new connection. */
    void probe(std::function<void(bool alive)> done);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnolia::engine

#endif
