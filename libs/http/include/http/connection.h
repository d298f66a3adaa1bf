#ifndef MAGNOLIA_HTTP_CONNECTION_H
#define MAGNOLIA_HTTP_CONNECTION_H

#include "http/eventhandles.h"
#include "http/socketaddress.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace magnolia::http
{

/** How a connection ended. */
enum class ConnectionEnd : std::uint8_t {
    Closed, ///< The far end closed it in order; all that it sent has arrived.
    Reset, ///< It was cut; what arrived may not be all.
    Refused, ///< It never came to be: not a byte was sent.
};

/**
 * One TCP connection on an event loop, with its output queued while the far end does not read.
 *
 * Bytes are written at once where the socket takes them, without a pass through the loop: a streamed event costs one read
 * and one write. Owned by shared_ptr; close() ends all callbacks, and may be called from within one. All on the loop's
 * thread.
 *
 * @code
 * auto connection = Connection::dial(loop, address, {.onData = [](std::string_view bytes) { ... }, .onEnd = ...});
 * connection->send("GET / HTTP/1.1\r\n\r\n");
 * @endcode
 */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    struct Callbacks {
        std::function<void()> onConnected{}; ///< Of a dialled one.
        std::function<void(std::string_view bytes)> onData{};
        std::function<void(ConnectionEnd)> onEnd{}; ///< At most once; the connection is closed by then.
        std::function<void()> onDrained{}; ///< The queued output has left.
    };

    /** Takes over a connected socket. */
    static std::shared_ptr<Connection> adopt(event_base *loop, int fd);

    /**
     * @param isRefused set if the far end refused it at once, as happens on one host.
     * @return null if it was, or no socket could be had. What is sent before it is connected is queued.
     */
    static std::shared_ptr<Connection> dial(event_base *loop, const SocketAddress &address, bool *isRefused = nullptr);

    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void setCallbacks(Callbacks callbacks);
    void send(std::string_view bytes);

    /** Sends a head and a body. A large body is not copied, but kept until it has left. */
    void send(std::string_view head, std::shared_ptr<const std::string> body);

    /** Closes once all queued output has left: at once if none is queued, else onEnd follows. */
    void closeWhenSent();

    void close();

    /** Closes it so that bytes which have not arrived yet are dropped: nobody may act on them any more. */
    void reset();

    /** Stops or resumes reading; the far end is then held back by flow control. */
    void setReading(bool enabled);

    /** The far end has closed or reset its side, and all that it sent has been read or reading is stopped; onEnd may not have been called yet. */
    bool isClosedByPeer() const;

    /** It is open, and the far end has sent nothing that has not been read, nor closed it. */
    bool isQuiet() const;

    bool isOpen() const
    {
        return fd_ >= 0;
    }
    bool isConnected() const
    {
        return isConnected_;
    }
    bool hasSent() const ///< A byte has left this process.
    {
        return hasSent_;
    }
    std::size_t pendingBytes() const
    {
        return output_.size() - outputBegin_ + sharedBytes();
    }

    /** @return the bytes that the far end has not acknowledged: those of pendingBytes() and those that the system holds, if it tells. */
    std::size_t unacknowledgedBytes() const;

private:
    Connection(event_base *loop, int fd, bool isConnected);

    void readable();
    void writable();
    void queue(std::string_view bytes);
    void startSending();
    bool flush();
    std::string_view nextOutput() const;
    void onSent(std::size_t bytes);
    std::size_t sharedBytes() const
    {
        return shared_ == nullptr ? 0 : shared_->size() - sharedBegin_;
    }
    void fail(ConnectionEnd end);
    void updateWriteEvent();

    event_base *loop_;
    int fd_;
    bool isConnected_;
    bool hasSent_ = false;
    bool closesWhenSent_ = false;
    bool isReading_ = true;
    bool isWriteEventOn_ = false;
    Callbacks callbacks_;
    std::string output_;
    std::size_t outputBegin_ = 0; ///< What stands before it has left.
    std::shared_ptr<const std::string> shared_; ///< Leaves after output_; null if there is none.
    std::size_t sharedBegin_ = 0; ///< As outputBegin_, of shared_.
    EventPtr readEvent_;
    EventPtr writeEvent_;
};

} // namespace magnolia::http

#endif
