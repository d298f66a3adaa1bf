#ifndef MAGNOLIA_FORWARD_ENDPOINTATTEMPT_H
#define MAGNOLIA_FORWARD_ENDPOINTATTEMPT_H

#include "endpointconnectionpool.h"
#include "forward/protocol.h"
#include "http/messageparser.h"
#include "routing/endpointtable.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/** How one sending of a request to one endpoint ended. */
enum class AttemptEnd : std::uint8_t {
    Complete, ///< The whole answer has come.
    NotSent, ///< No byte of the request left: it has not run there.
    ConnectionLost, ///< The connection ended before the answer was whole.
    Invalid, ///< What came is no answer, or not to this request.
};

/** @return "whole", "not-sent", "lost" or "spoilt". */
std::string_view toString(AttemptEnd end);

/**
 * One sending of a request to one endpoint, on a kept connection or a new one.
 *
 * Answers are matched by the request's id: an answer to another request, e.g. a late second one to the request before, is
 * skipped, and the connection is not used again. A connection is kept for the next request only if the answer was whole,
 * the endpoint means to keep it, all of the request was sent before the answer ended, and nothing followed it: an endpoint
 * that answered early reads on, and would take the next request for the rest of this one. Owned by shared_ptr; cancel()
 * ends all callbacks. On its loop's thread.
 */
class EndpointAttempt : public std::enable_shared_from_this<EndpointAttempt>
{
public:
    struct Options {
        event_base *loop = nullptr;
        EndpointConnectionPool *connections = nullptr;
        const Protocol *protocol = nullptr;
        routing::EndpointPointer endpoint{};
        std::string requestId{};
        std::string message{}; ///< The whole request as it is sent.
        bool isHead = false; ///< Its method is HEAD.
        Duration maxIdle{0}; ///< Of a kept connection that may be used.
    };

    struct Callbacks {
        std::function<void(http::MessageHead &)> onHead{};
        std::function<void(std::string_view)> onBody{};
        std::function<void(AttemptEnd)> onEnd{};
    };

    EndpointAttempt(Options options, Callbacks callbacks);
    ~EndpointAttempt();
    EndpointAttempt(const EndpointAttempt &) = delete;
    EndpointAttempt &operator=(const EndpointAttempt &) = delete;

    /** @return false if no connection can even be begun; no callback follows. */
    bool start();

    /** Closes the connection, which tells the endpoint to stop its work. */
    void cancel();

    void setReading(bool enabled);
    bool isConnected() const;
    bool hasSent() const; ///< A byte of the request has left the process.
    bool hasAnswer() const ///< The head of the answer has come.
    {
        return hasAnswer_;
    }

private:
    void onBytes(std::string_view bytes);
    bool handleHead();
    void onMessageEnd(std::string_view trailing);
    void onConnectionEnd(http::ConnectionEnd end);
    void finish(AttemptEnd end);
    void releaseConnection(bool isReusable);

    Options options_;
    Callbacks callbacks_;
    std::shared_ptr<http::Connection> connection_;
    http::MessageParser parser_{http::MessageParser::Kind::Answer};
    bool isReused_ = false;
    bool hasAnswer_ = false;
    bool isSkipping_ = false; ///< The message that is being read belongs to another request.
    bool mustClose_ = false; ///< The connection must not be used again.
};

} // namespace magnolia::forward

#endif
