#ifndef MAGNOLIA_HTTP_TESTS_RAWPEER_H
#define MAGNOLIA_HTTP_TESTS_RAWPEER_H

#include "http/eventhandles.h"
#include "http/socketaddress.h"
#include "http/timer.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnolia::http
{

struct StreamDeleter {
    void operator()(bufferevent *stream) const
    {
        bufferevent_free(stream);
    }
};

using StreamPtr = std::unique_ptr<bufferevent, StreamDeleter>;

inline void resetOnClose(bufferevent *stream)
{
    const linger reset{.l_onoff = 1, .l_linger = 0};
    (void)setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

/** A server that answers each request with scripted bytes, to misbehave as no HTTP library would. */
class RawPeer
{
public:
    enum class Then {
        KeepOpen,
        Close,
        Reset,
    };

    struct LaterBytes {
        Duration delay{0}; ///< Since the request.
        std::string bytes{};
    };

    struct Answer {
        std::string bytes{};
        Then then = Then::KeepOpen;
        std::vector<LaterBytes> later{}; ///< Sent if the connection is still open.
    };

    using Script = std::function<Answer(int requestNumber)>;

    RawPeer(event_base *loop, Script script) : loop_(loop), script_(std::move(script))
    {
        const SocketAddress any = SocketAddress::parse("127.0.0.1:0").value();
        listener_.reset(evconnlistener_new_bind(loop,
                                                &RawPeer::onAccept,
                                                this,
                                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                                SOMAXCONN,
                                                any.get(),
                                                static_cast<int>(any.length)));
    }

    std::string address() const
    {
        return SocketAddress::ofSocket(evconnlistener_get_fd(listener_.get())).toString();
    }
    int connections() const
    {
        return connections_;
    }
    int requests() const
    {
        return requests_;
    }
    const std::string &lastRequest() const
    {
        return lastRequest_;
    }
    /** @return the number of the connection of the last request, in the order in which they were accepted. */
    int lastConnection() const
    {
        return lastConnection_;
    }
    std::size_t open() const
    {
        return streams_.size();
    }
    void stopListening()
    {
        listener_.reset();
    }
    void closeAll()
    {
        answered_.clear();
        streams_.clear();
    }
    void resetAll()
    {
        for (const StreamPtr &stream : streams_) {
            resetOnClose(stream.get());
        }
        answered_.clear();
        streams_.clear();
    }
    /** Sends on connections whose last request had an answer that was not empty. */
    void sendOnAnswered(std::string_view bytes)
    {
        for (bufferevent *stream : answered_) {
            bufferevent_write(stream, bytes.data(), bytes.size());
        }
    }
    void sendOnAll(std::string_view bytes)
    {
        for (const StreamPtr &stream : streams_) {
            bufferevent_write(stream.get(), bytes.data(), bytes.size());
        }
    }

private:
    struct ListenerDeleter {
        void operator()(evconnlistener *handle) const
        {
            evconnlistener_free(handle);
        }
    };

    void sendLater(bufferevent *stream, const LaterBytes &later)
    {
        timers_.push_back(std::make_unique<Timer>(loop_, [this, stream, number = numbers_[stream], bytes = later.bytes] {
            const bool isOpen = std::any_of(streams_.begin(), streams_.end(), [stream](const StreamPtr &open) { return open.get() == stream; });
            const bool isClosing = std::find(closing_.begin(), closing_.end(), stream) != closing_.end();
            if (isOpen && !isClosing && numbers_[stream] == number) { // A later connection may have the same address in memory.
                bufferevent_write(stream, bytes.data(), bytes.size());
            }
        }));
        timers_.back()->start(later.delay);
    }

    void drop(bufferevent *stream)
    {
        std::erase(answered_, stream);
        std::erase_if(streams_, [stream](const StreamPtr &entry) { return entry.get() == stream; });
    }

    static void onAccept(evconnlistener * /*listener*/, int fd, sockaddr * /*from*/, int /*length*/, void *self)
    {
        auto *peer = static_cast<RawPeer *>(self);
        ++peer->connections_;
        StreamPtr stream(bufferevent_socket_new(peer->loop_, fd, BEV_OPT_CLOSE_ON_FREE));
        bufferevent_setcb(stream.get(), &RawPeer::onRead, &RawPeer::onWritten, &RawPeer::onEvent, peer);
        bufferevent_enable(stream.get(), EV_READ | EV_WRITE);
        peer->numbers_[stream.get()] = peer->connections_;
        peer->streams_.push_back(std::move(stream));
    }

    // Requests of these tests have their body in the same segment as their headers.
    static void onRead(bufferevent *stream, void *self)
    {
        auto *peer = static_cast<RawPeer *>(self);
        evbuffer *input = bufferevent_get_input(stream);
        std::string received(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, received.data(), received.size());
        if (received.find("\r\n\r\n") == std::string::npos) {
            return;
        }
        peer->lastRequest_ = received;
        peer->lastConnection_ = peer->numbers_[stream];
        const Answer answer = peer->script_(++peer->requests_);
        bufferevent_write(stream, answer.bytes.data(), answer.bytes.size());
        for (const LaterBytes &later : answer.later) {
            peer->sendLater(stream, later);
        }
        std::erase(peer->answered_, stream);
        if (!answer.bytes.empty()) {
            peer->answered_.push_back(stream);
        }
        if (answer.then == Then::Reset) {
            resetOnClose(stream);
        }
        if (answer.then != Then::KeepOpen) {
            peer->closing_.push_back(stream);
        }
        if (answer.bytes.empty()) {
            onWritten(stream, self);
        }
    }

    static void onWritten(bufferevent *stream, void *self)
    {
        auto *peer = static_cast<RawPeer *>(self);
        if (std::erase(peer->closing_, stream) > 0) {
            peer->drop(stream);
        }
    }

    static void onEvent(bufferevent *stream, short what, void *self)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<RawPeer *>(self)->drop(stream);
        }
    }

    event_base *loop_;
    Script script_;
    std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
    std::vector<StreamPtr> streams_;
    std::vector<bufferevent *> answered_;
    std::vector<bufferevent *> closing_; ///< To be closed once their answer is written.
    std::vector<std::unique_ptr<Timer>> timers_; ///< Of bytes to be sent later.
    int connections_ = 0;
    int requests_ = 0;
    std::string lastRequest_;
    int lastConnection_ = 0;
    std::map<bufferevent *, int> numbers_; ///< Of the connections.
};

/** A caller that sends whatever bytes a test likes. */
class RawCaller
{
public:
    /** @param receiveBytes what the system may hold of what it has not read; 0: as usual. */
    RawCaller(event_base *loop, std::string_view address, int receiveBytes = 0)
    {
        const SocketAddress target = SocketAddress::parse(address).value();
        const int fd = socket(target.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (receiveBytes > 0) {
            (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof(receiveBytes));
        }
        stream_.reset(bufferevent_socket_new(loop, fd, BEV_OPT_CLOSE_ON_FREE));
        bufferevent_setcb(stream_.get(), &RawCaller::onRead, nullptr, &RawCaller::onEvent, this);
        bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
        bufferevent_socket_connect(stream_.get(), target.get(), static_cast<int>(target.length));
    }

    void send(std::string_view bytes)
    {
        bufferevent_write(stream_.get(), bytes.data(), bytes.size());
    }
    void pauseReading()
    {
        bufferevent_disable(stream_.get(), EV_READ);
    }
    void resumeReading()
    {
        bufferevent_enable(stream_.get(), EV_READ);
    }
    void close()
    {
        stream_.reset();
    }
    void reset()
    {
        resetOnClose(stream_.get());
        stream_.reset();
    }
    const std::string &received() const
    {
        return received_;
    }
    bool isClosed() const
    {
        return isClosed_;
    }

private:
    static void onRead(bufferevent *stream, void *self)
    {
        auto *caller = static_cast<RawCaller *>(self);
        evbuffer *input = bufferevent_get_input(stream);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        caller->received_ += bytes;
    }

    static void onEvent(bufferevent * /*stream*/, short what, void *self)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<RawCaller *>(self)->isClosed_ = true;
        }
    }

    StreamPtr stream_;
    std::string received_;
    bool isClosed_ = false;
};

} // namespace magnolia::http

#endif
