#include "http/connection.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace magnolia::http
{

namespace
{

constexpr std::size_t ReadBytes = 32U << 10U; ///< For one read; a burst of streamed events fits in it.

constexpr std::size_t MaxCopiedBodyBytes = 64U << 10U; ///< Up to this size a body leaves in one call with its head.

constexpr std::size_t MaxIdleOutputBytes = 64U << 10U; ///< Memory that a connection keeps for further output.

// Limit on the reads in one turn of the loop, so that a peer that sends without a pause does not keep all others waiting.
constexpr int MaxReadsPerTurn = 4;

} // namespace

Connection::Connection(event_base *loop, int fd, bool isConnected) : loop_(loop), fd_(fd), isConnected_(isConnected)
{
    const auto onReadable = [](evutil_socket_t, short, void *self) { static_cast<Connection *>(self)->readable(); };
    const auto onWritable = [](evutil_socket_t, short, void *self) { static_cast<Connection *>(self)->writable(); };
    readEvent_.reset(event_new(loop, fd, EV_READ | EV_PERSIST, onReadable, this));
    writeEvent_.reset(event_new(loop, fd, EV_WRITE | EV_PERSIST, onWritable, this));
    if (isConnected_) {
        event_add(readEvent_.get(), nullptr);
    } else {
        event_add(writeEvent_.get(), nullptr);
        isWriteEventOn_ = true;
    }
}

Connection::~Connection()
{
    close();
}

std::shared_ptr<Connection> Connection::adopt(event_base *loop, int fd)
{
    return std::shared_ptr<Connection>(new Connection(loop, fd, true));
}

std::shared_ptr<Connection> Connection::dial(event_base *loop, const SocketAddress &address, bool *isRefused)
{
    const int fd = openSocket(address.storage.ss_family);
    if (fd < 0) {
        return nullptr;
    }
    const int outcome = ::connect(fd, address.get(), address.length);
    if (outcome != 0 && errno != EINPROGRESS) {
        if (isRefused != nullptr) {
            *isRefused = errno == ECONNREFUSED;
        }
        ::close(fd);
        return nullptr;
    }
    return std::shared_ptr<Connection>(new Connection(loop, fd, outcome == 0));
}

void Connection::setCallbacks(Callbacks callbacks)
{
    callbacks_ = std::move(callbacks);
}

void Connection::send(std::string_view bytes)
{
    if (fd_ < 0) {
        return;
    }
    queue(bytes);
    startSending();
}

void Connection::send(std::string_view head, std::shared_ptr<const std::string> body)
{
    if (fd_ < 0) {
        return;
    }
    queue(head);
    if (body != nullptr && body->size() > MaxCopiedBodyBytes) {
        shared_ = std::move(body);
        sharedBegin_ = 0;
    } else if (body != nullptr) {
        output_.append(*body);
    }
    startSending();
}

/** Appends to the output. A shared body that has not left is copied then, since only one can be queued. */
void Connection::queue(std::string_view bytes)
{
    if (sharedBytes() > 0) {
        output_.append(std::string_view(*shared_).substr(sharedBegin_));
    }
    shared_.reset();
    output_.append(bytes);
}

void Connection::startSending()
{
    if (isConnected_ && !isWriteEventOn_) {
        if (!flush()) {
            // Told by the loop: the callback must not come from within a call of its owner.
            event_active(readEvent_.get(), EV_READ, 0);
            return;
        }
        updateWriteEvent();
    }
}

void Connection::closeWhenSent()
{
    if (fd_ < 0) {
        return;
    }
    if (pendingBytes() == 0) {
        close();
        return;
    }
    closesWhenSent_ = true;
}

void Connection::close()
{
    if (fd_ < 0) {
        return;
    }
    readEvent_.reset();
    writeEvent_.reset();
    shared_.reset();
    ::close(std::exchange(fd_, -1));
}

void Connection::reset()
{
    if (fd_ < 0) {
        return;
    }
    const linger dropUnsent{.l_onoff = 1, .l_linger = 0};
    (void)setsockopt(fd_, SOL_SOCKET, SO_LINGER, &dropUnsent, sizeof(dropUnsent)); // Without it the close is an orderly one.
    close();
}

void Connection::setReading(bool enabled)
{
    if (fd_ < 0 || isReading_ == enabled) {
        return;
    }
    isReading_ = enabled;
    if (!isConnected_) {
        return;
    }
    if (enabled) {
        event_add(readEvent_.get(), nullptr);
    } else {
        event_del(readEvent_.get());
    }
}

bool Connection::isClosedByPeer() const
{
    // Bytes that have not been read hide the end of the connection from recv().
    pollfd state{.fd = fd_, .events = POLLRDHUP, .revents = 0};
    if (!isReading_ && poll(&state, 1, 0) > 0) {
        return true;
    }
    char next = 0;
    const ssize_t count = recv(fd_, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool Connection::isQuiet() const
{
    char next = 0;
    return fd_ >= 0 && recv(fd_, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::size_t Connection::unacknowledgedBytes() const
{
    int held = 0;
    const bool isKnown = fd_ >= 0 && ioctl(fd_, SIOCOUTQ, &held) == 0 && held > 0;
    return pendingBytes() + (isKnown ? static_cast<std::size_t>(held) : 0);
}

void Connection::readable()
{
    const auto self = shared_from_this();
    static thread_local std::array<char, ReadBytes> buffer;
    bool mayHaveMore = true;
    for (int reads = 0; reads < MaxReadsPerTurn && mayHaveMore && fd_ >= 0 && isReading_; ++reads) {
        const ssize_t count = recv(fd_, buffer.data(), buffer.size(), 0);
        if (count == 0) {
            fail(ConnectionEnd::Closed);
            return;
        }
        if (count < 0) {
            if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
                fail(ConnectionEnd::Reset);
            }
            return;
        }
        mayHaveMore = static_cast<std::size_t>(count) == buffer.size();
        if (callbacks_.onData) {
            callbacks_.onData({buffer.data(), static_cast<std::size_t>(count)});
        }
    }
}

void Connection::writable()
{
    const auto self = shared_from_this();
    if (!isConnected_) {
        int error = 0;
        socklen_t length = sizeof(error);
        getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0) {
            fail(ConnectionEnd::Refused);
            return;
        }
        isConnected_ = true;
        if (isReading_) {
            event_add(readEvent_.get(), nullptr);
        }
        if (callbacks_.onConnected) {
            callbacks_.onConnected();
        }
        if (fd_ < 0) {
            return;
        }
    }
    if (!flush()) {
        fail(ConnectionEnd::Reset);
        return;
    }
    updateWriteEvent();
    if (pendingBytes() > 0) {
        return;
    }
    if (closesWhenSent_) {
        fail(ConnectionEnd::Closed);
        return;
    }
    if (callbacks_.onDrained) {
        callbacks_.onDrained();
    }
}

/** @return false if the connection is broken. */
bool Connection::flush()
{
    while (pendingBytes() > 0) {
        const std::string_view next = nextOutput();
        const ssize_t count = ::send(fd_, next.data(), next.size(), MSG_NOSIGNAL);
        if (count < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        }
        hasSent_ = true;
        onSent(static_cast<std::size_t>(count));
    }
    return true;
}

std::string_view Connection::nextOutput() const
{
    if (outputBegin_ < output_.size()) {
        return std::string_view(output_).substr(outputBegin_);
    }
    return std::string_view(*shared_).substr(sharedBegin_);
}

/** Frees what has left. */
void Connection::onSent(std::size_t bytes)
{
    std::size_t &begin = outputBegin_ < output_.size() ? outputBegin_ : sharedBegin_;
    begin += bytes;
    if (outputBegin_ == output_.size()) {
        output_.clear();
        outputBegin_ = 0;
        if (output_.capacity() > MaxIdleOutputBytes) {
            output_.shrink_to_fit();
        }
    }
    if (sharedBytes() == 0) {
        shared_.reset();
    }
}

void Connection::fail(ConnectionEnd end)
{
    close();
    if (callbacks_.onEnd) {
        callbacks_.onEnd(end);
    }
}

void Connection::updateWriteEvent()
{
    const bool isWanted = pendingBytes() > 0;
    if (isWanted == isWriteEventOn_) {
        return;
    }
    isWriteEventOn_ = isWanted;
    if (isWanted) {
        event_add(writeEvent_.get(), nullptr);
    } else {
        event_del(writeEvent_.get());
    }
}

} // namespace magnolia::http
