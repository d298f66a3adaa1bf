#ifndef MAGNOLIA_REVIEW_SLOWCHANNEL_H
#define MAGNOLIA_REVIEW_SLOWCHANNEL_H

#include "base/clock.h"
#include "http/connection.h"
#include "http/socketaddress.h"
#include "http/timer.h"

#include <event2/util.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace magnolia::review
{

/**
 * A client's channel for one request, over a link with a small window. It reads what has come at an interval.
 *
 * The options are those of its own socket: segments as on a usual network (on the loopback interface they would be 64 KB), and a small receive buffer.
 */
class SlowChannel
{
public:
    struct Options {
        std::string entry{};
        std::string message{};
        Duration readInterval{25};
        std::function<void(const SlowChannel &)> onEnd{}; ///< The answer is whole, or the channel has ended before.
    };

    SlowChannel(event_base *loop, Options options)
        : readInterval_(options.readInterval), onEnd_(std::move(options.onEnd)), readTimer_(loop, [this] { connection_->setReading(true); })
    {
        const auto address = http::SocketAddress::parse(options.entry).value();
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes, sizeof(SegmentBytes));
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &WindowBytes, sizeof(WindowBytes));
        if (::connect(fd, address.get(), address.length) != 0) {
            ::close(fd);
            return;
        }
        evutil_make_socket_nonblocking(fd);
        connection_ = http::Connection::adopt(loop, fd);
        connection_->setCallbacks({.onData = [this](std::string_view data) { onData(data); }, .onEnd = [this](http::ConnectionEnd) { end(); }});
        connection_->send(options.message);
    }
    ~SlowChannel()
    {
        if (connection_ != nullptr) {
            connection_->setCallbacks({});
            connection_->close();
        }
    }
    SlowChannel(const SlowChannel &) = delete;
    SlowChannel &operator=(const SlowChannel &) = delete;

    bool isOpen() const
    {
        return connection_ != nullptr;
    }
    bool hasBegun() const
    {
        return received_ > 0;
    }
    bool isComplete() const
    {
        return headBytes_ > 0 && received_ == headBytes_ + bodyBytes_;
    }
    std::size_t received() const
    {
        return received_;
    }
    int status() const
    {
        return status_;
    }

private:
    void onData(std::string_view data)
    {
        received_ += data.size();
        if (headBytes_ == 0) {
            head_.append(data);
            readHead();
        }
        if (isComplete()) {
            end();
            return;
        }
        connection_->setReading(false);
        readTimer_.start(readInterval_);
    }

    void readHead()
    {
        constexpr std::string_view LengthField = "Content-Length: ";
        constexpr std::size_t StatusAt = 9; // After "HTTP/1.1 ".
        const std::size_t end = head_.find("\r\n\r\n");
        const std::size_t length = head_.find(LengthField);
        if (end == std::string::npos || length == std::string::npos) {
            return;
        }
        headBytes_ = end + 4;
        std::from_chars(head_.data() + StatusAt, head_.data() + head_.size(), status_);
        std::from_chars(head_.data() + length + LengthField.size(), head_.data() + head_.size(), bodyBytes_);
    }

    void end()
    {
        readTimer_.stop();
        if (const auto onEnd = std::exchange(onEnd_, nullptr)) {
            onEnd(*this);
        }
    }

    static constexpr int SegmentBytes = 1460;
    static constexpr int WindowBytes = 2048;

    std::shared_ptr<http::Connection> connection_;
    Duration readInterval_;
    std::function<void(const SlowChannel &)> onEnd_;
    http::Timer readTimer_;
    std::string head_;
    std::size_t headBytes_ = 0;
    std::size_t bodyBytes_ = 0;
    std::size_t received_ = 0;
    int status_ = 0;
};

} // namespace magnolia::review

#endif
