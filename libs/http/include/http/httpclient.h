#ifndef MAGNOLIA_HTTP_HTTPCLIENT_H
#define MAGNOLIA_HTTP_HTTPCLIENT_H

#include "base/clock.h"
#include "base/failure.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace magnolia::http
{

/** Header names are in lower case. */
using Headers = std::map<std::string, std::string>;

struct Response {
    int status = 0;
    Headers headers;
    std::string body;
};

/**
 * A pool of HTTP/1.1 connections to one address.
 *
 * Never sends a request twice: a connection that closes or falls silent under a request ends it with ConnectionLost. The
 * verdict is NotRun only if no byte of the request was sent; else MayHaveRun. A connection with an abandoned request on
 * it is closed, never reused, so that a late answer cannot reach another request. Lives on one event loop: all calls and
 * callbacks are on its thread. Destroying the client abandons its calls without calling back.
 *
 * @code
 * HttpClient client(loop, {.address = "127.0.0.1:8000"});
 * client.send({.method = "GET", .path = "/health"}, [](Result<Response> response) { ... });
 * @endcode
 */
class HttpClient
{
public:
    struct Options {
        std::string address{}; ///< "IP:PORT" (IPv6 in brackets)
        std::size_t maxConnections = 256; ///< Further calls wait; waiting counts against their timeout.
        Duration connectTimeout{1000};
        Duration idleTimeout{10000}; ///< An idle connection older than this is closed, not reused.
        std::size_t maxBodyBytes = 16U << 20U;
    };

    struct Request {
        std::string method = "GET"; ///< GET, HEAD, POST, PUT, DELETE, PATCH or OPTIONS
        std::string path{}; ///< Path and query, beginning with '/'.
        Headers headers{};
        std::string body{};
        Duration timeout{5000}; ///< For the whole call.
        Duration silenceTimeout{0}; ///< Longest gap with nothing received once the answer began; 0: no limit of its own.
    };

    /** Names a call in progress; never 0. */
    using CallId = std::uint64_t;

    struct StreamCallbacks {
        std::function<void(int status, const Headers &headers)> onHeaders{};
        std::function<void(std::string_view data)> onData{};
        std::function<void(Result<void>)> onEnd{}; ///< Exactly once, unless cancelled. Success only if the answer is whole.
    };

    HttpClient(event_base *loop, Options options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a request and gathers the whole answer. The callback comes exactly once, never from within this call. */
    CallId send(Request request, std::function<void(Result<Response>)> done);

    /** Sends a request and hands on the answer's body as it comes. */
    CallId stream(Request request, StreamCallbacks callbacks);

    /** Gives a call up: closes its connection, which the far end sees as a hang-up. No callback follows. */
    void cancel(CallId call);

    /** Closes all idle connections, e.g. after one was found silent, so that the next call dials afresh. */
    void closeIdle();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnolia::http

#endif
