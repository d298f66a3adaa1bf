#ifndef MAGNOLIA_WIRE_WEBSOCKET_H
#define MAGNOLIA_WIRE_WEBSOCKET_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

// This header is read by C++17 and C++20 sources: websocketpp does not compile as C++20.

namespace magnolia::wire
{

/**
 * One side of a WebSocket connection without a socket: bytes come in and go out, binary frames go in and come out.
 *
 * Lives as long as its connection and may be destroyed from within its callbacks. Any one thread may use it.
 */
class WebSocket
{
public:
    enum class Side : std::uint8_t {
        Client,
        Server,
    };

    /** Why the connection ended. */
    enum class End : std::uint8_t {
        Closed, ///< The peer closed it, or the bytes ended.
        TooLarge, ///< A frame over the limit.
        Broken, ///< The peer broke the WebSocket protocol.
    };

    struct Events {
        std::function<void(std::string_view)> write; ///< Bytes for the peer. Must not destroy the WebSocket.
        std::function<void()> onOpen; ///< Frames may be sent from now on.
        std::function<void(std::string_view)> onFrame;
        std::function<void(End, const std::string &)> onEnd; ///< Once, unless ended from this side; with the peer's reason.
    };

    /** @param host "IP:PORT" of the peer, for the client's opening request. */
    WebSocket(Side side, const std::string &host, Events events);
    ~WebSocket();
    WebSocket(const WebSocket &) = delete;
    WebSocket &operator=(const WebSocket &) = delete;

    /** Begins: the client writes its opening request. */
    void start();

    /** Bytes from the peer. */
    void receive(std::string_view bytes);

    /** The bytes from the peer have ended. */
    void receiveEnd();

    /** @return false if the connection is not open. */
    bool send(std::string_view frame);

    /** Limits the frames taken from the peer from now on. */
    void setMaxFrameBytes(std::size_t limit);

    /** Writes a close frame with a short reason, if the connection is open. No event comes after it. */
    void close(std::string_view reason);

private:
    class Connection;
    std::shared_ptr<Connection> connection_;
};

} // namespace magnolia::wire

#endif
