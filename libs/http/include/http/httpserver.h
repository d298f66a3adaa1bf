#ifndef MAGNOLIA_HTTP_HTTPSERVER_H
#define MAGNOLIA_HTTP_HTTPSERVER_H

#include "base/clock.h"
#include "base/failure.h"
#include "http/httpclient.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace magnolia::http
{

/**
 * One request received, and its answer.
 *
 * Held by shared_ptr as long as somebody means to answer; if the last holder lets go unanswered, the caller gets a 500.
 * After a hang-up all calls are harmless and do nothing. Same threading rule as HttpServer.
 */
class Exchange
{
public:
    virtual ~Exchange() = default;

    virtual std::string_view method() const = 0;
    virtual std::string_view path() const = 0; ///< Without the query.
    virtual std::string_view target() const = 0; ///< Path and query as received.
    virtual const Headers &headers() const = 0;
    virtual std::string_view body() const = 0;

    /** Answers whole. */
    virtual void reply(int status, const Headers &headers, std::string_view body) = 0;

    /** Answers piece by piece: begin once, then any number of pieces, then end. */
    virtual void beginStream(int status, const Headers &headers) = 0;
    virtual void sendPiece(std::string_view data) = 0;
    virtual void endStream() = 0;

    /** Cuts the connection, so that the caller sees that the streamed answer is not whole. */
    virtual void abort() = 0;

    /** Bytes accepted by sendPiece that the caller has not taken yet. */
    virtual std::size_t pendingBytes() const = 0;

    /** Called once if the caller closes its connection before the answer has ended. */
    virtual void onHangup(std::function<void()> callback) = 0;
};

/**
 * An HTTP/1.1 server on one address.
 *
 * Requests over the limits are answered here (413, 431, 503) as JSON errors. Lives on one event loop; all calls and
 * callbacks are on its thread.
 */
class HttpServer
{
public:
    struct Options {
        std::string address{}; ///< "IP:PORT"; port 0 picks a free one.
        std::size_t maxHeaderBytes = 16U << 10U;
        std::size_t maxBodyBytes = 4U << 20U;
        std::size_t maxConnections = 4096; ///< A further connection is answered 503 and closed.
        Duration idleTimeout{60000};
    };

    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    static Result<std::unique_ptr<HttpServer>> listen(event_base *loop, Options options, Handler handler);

    virtual ~HttpServer() = default;
    virtual std::string address() const = 0; ///< The bound "IP:PORT".
    virtual void stopAccepting() = 0; ///< No new connections; open exchanges go on.
    virtual std::size_t openExchanges() const = 0;
};

} // namespace magnolia::http

#endif
