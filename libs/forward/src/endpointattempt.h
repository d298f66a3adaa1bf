#ifndef MAGNOLIA_FORWARD_ENDPOINTATTEMPT_H
#define MAGNOLIA_FORWARD_ENDPOINTATTEMPT_H

#include "endpointconnectionpool.h"
#include "forward/protocol.h"
#include "http/messageparser.h"
#include "routing/endpointtable.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/** How an attempt ended. */
enum class AttemptEnd : std::uint8_t {
    Complete, ///< The complete answer was received.
    NotSent, ///< No byte of the request was sent, so it did not run there.
    Withdrawn, ///< As NotSent, because the endpoint asked for rest, leaves, was removed or was evacuated before the connection was established.
    ConnectionLost, ///< The connection closed before the answer was complete.
    Invalid, ///< The received bytes are no valid answer to this request.
    Endless, ///< More bytes came than any answer to this request may have.
};

/** @return "whole", "not-sent", "withdrawn", "lost", "spoilt" or "endless". */
std::string_view toString(AttemptEnd end);

/**
 * One dispatch of a request to one endpoint, on a pooled connection or a new one.
 *
 * Answers are matched by request id. An answer to another request, e.g. a late second one to the previous request, is
 * skipped, and the connection is not reused. So is an answer without an id on a connection that carried other requests; on
 * a new connection it counts as an answer that proves nothing. A request without an id has a connection of its own.
 *
 * A connection returns to the pool only if the answer was complete, the endpoint allows keep-alive, the request had been
 * sent in full before the answer ended, and no bytes followed the answer: an endpoint that answers early still reads, and
 * would take the next request for the rest of this one. Owned through shared_ptr; no callback runs after cancel(). Used on
 * the thread of the event loop only.
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
        std::string head{}; ///< Of the request, in wire format.
        std::shared_ptr<const std::string> body{}; ///< Null if it has none.
        bool isHead = false; ///< Its method is HEAD.
        Duration maxIdle{0}; ///< Maximum idle time of a pooled connection that may be used.
        std::span<const std::weak_ptr<http::Connection>> excluded{}; ///< Connections that must not be used. Used by start() only.
    };

    struct Callbacks {
        std::function<void(http::MessageHead &)> onHead{};
        std::function<void(std::string_view)> onBody{};
        std::function<void(const http::MessageHead &)> onSkipped{}; ///< An answer that is not to this request was received and is skipped.
        std::function<void(AttemptEnd)> onEnd{};
    };

    EndpointAttempt(Options options, Callbacks callbacks);
    ~EndpointAttempt();
    EndpointAttempt(const EndpointAttempt &) = delete;
    EndpointAttempt &operator=(const EndpointAttempt &) = delete;

    /** @return false if no connection could be opened; no callback follows then. */
    bool start();

    /** Resets the connection, which makes the endpoint stop its work. */
    void cancel();

    void setReading(bool enabled);
    bool isConnected() const;
    bool hasSent() const; ///< At least one byte of the request may have been sent. Also valid once the attempt has ended.
    bool hasAnswer() const ///< The head of the answer was received.
    {
        return hasAnswer_;
    }
    /** @return the connection that start() chose. */
    const std::weak_ptr<http::Connection> &connection() const
    {
        return chosenConnection_;
    }
    bool isReused() const ///< Its connection carried other requests before.
    {
        return isReused_;
    }
    bool isAnswerNamed() const ///< The answer has the id of this request.
    {
        return isAnswerNamed_;
    }

private:
    void onConnected();
    void onBytes(std::string_view bytes);
    bool handleHead();
    void onMessageEnd(std::string_view trailing);
    void onConnectionEnd(http::ConnectionEnd end);
    void finish(AttemptEnd end);
    void releaseConnection(bool isReusable);

    Options options_;
    Callbacks callbacks_;
    std::shared_ptr<http::Connection> connection_;
    std::weak_ptr<http::Connection> chosenConnection_;
    http::MessageParser parser_{http::MessageParser::Kind::Answer};
    std::size_t bytesBeforeAnswer_ = 0; ///< Received before the end of the answer's head.
    bool isReused_ = false;
    bool hasSent_ = false; ///< As hasSent(), as of when the connection was released.
    bool hasAnswer_ = false;
    bool isAnswerNamed_ = false;
    bool isSkipping_ = false; ///< The message that is being read is not the final answer to this request.
    bool mustClose_ = false; ///< The connection must not be reused.
};

} // namespace magnolia::forward

#endif
