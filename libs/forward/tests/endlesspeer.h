#ifndef MAGNOLIA_FORWARD_TESTS_ENDLESSPEER_H
#define MAGNOLIA_FORWARD_TESTS_ENDLESSPEER_H

#include "http/timer.h"
#include "rawpeer.h"

#include <event2/buffer.h>

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

namespace magnolia::forward
{

/** An endpoint that answers each request with bytes that don't end, until its peer closes the connection. */
class EndlessPeer
{
public:
    struct Script {
        std::string begin{}; ///< Sent once.
        std::string repeated{}; ///< Sent again and again.
        std::string only{}; ///< Requests that begin otherwise get no answer.
        Duration interval{0}; ///< Between two repetitions; 0: as fast as they are read.
    };

    EndlessPeer(event_base *loop, Script script) : loop_(loop), script_(std::move(script)), timer_(loop, [this] { sendOnAll(); })
    {
        http::ignoreBrokenPipes();
        block_ = script_.repeated;
        while (!isSlow() && block_.size() < MinBlockBytes) {
            block_ += script_.repeated;
        }
        sendOnAll();
        const http::SocketAddress any = http::SocketAddress::parse("127.0.0.1:0").value();
        listener_.reset(evconnlistener_new_bind(
            loop, &EndlessPeer::onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, SOMAXCONN, any.get(), static_cast<int>(any.length)));
    }

    std::string address() const
    {
        return http::SocketAddress::ofSocket(evconnlistener_get_fd(listener_.get())).toString();
    }
    int requests() const
    {
        return requests_;
    }
    std::size_t open() const
    {
        return answers_.size();
    }

    /** @return the most bytes that were sent for one request. */
    std::size_t mostBytes() const
    {
        return mostBytes_;
    }

    /** @return the longest time for which one request was answered, up to now for those in progress. */
    Duration longestAnswer() const
    {
        Duration longest = longestAnswer_;
        for (const auto &[stream, answer] : answers_) {
            longest = std::max(longest, timeOf(answer));
        }
        return longest;
    }

private:
    static constexpr std::size_t MinBlockBytes = 64U << 10U;

    struct FreeListener {
        void operator()(evconnlistener *handle) const
        {
            evconnlistener_free(handle);
        }
    };

    struct Answer {
        http::StreamPtr stream;
        MonoTime since;
        std::size_t bytes = 0;
        bool hasBegun = false;
    };

    static Duration timeOf(const Answer &answer)
    {
        return answer.hasBegun ? std::chrono::duration_cast<Duration>(MonoClock::now() - answer.since) : Duration(0);
    }

    static void onAccept(evconnlistener * /*listener*/, int fd, sockaddr * /*from*/, int /*length*/, void *self)
    {
        auto *peer = static_cast<EndlessPeer *>(self);
        http::StreamPtr stream(bufferevent_socket_new(peer->loop_, fd, BEV_OPT_CLOSE_ON_FREE));
        bufferevent *key = stream.get();
        bufferevent_setcb(key, &EndlessPeer::onRead, &EndlessPeer::onWritten, &EndlessPeer::onEnd, peer);
        bufferevent_enable(key, EV_READ | EV_WRITE);
        peer->answers_[key].stream = std::move(stream);
    }

    static void onRead(bufferevent *stream, void *self)
    {
        auto *peer = static_cast<EndlessPeer *>(self);
        evbuffer *input = bufferevent_get_input(stream);
        std::string received(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, received.data(), received.size());
        Answer &answer = peer->answers_.at(stream);
        if (answer.hasBegun || !received.starts_with(peer->script_.only)) {
            return;
        }
        answer.hasBegun = true;
        ++peer->requests_;
        answer.since = MonoClock::now();
        bufferevent_write(stream, peer->script_.begin.data(), peer->script_.begin.size());
        if (!peer->isSlow()) {
            peer->sendBlock(stream, answer);
        }
    }

    bool isSlow() const
    {
        return script_.interval.count() > 0;
    }

    void sendOnAll()
    {
        if (!isSlow()) {
            return;
        }
        timer_.start(script_.interval);
        for (auto &[stream, answer] : answers_) {
            if (answer.hasBegun) {
                sendBlock(stream, answer);
            }
        }
    }

    void sendBlock(bufferevent *stream, Answer &answer)
    {
        answer.bytes += block_.size();
        mostBytes_ = std::max(mostBytes_, answer.bytes);
        bufferevent_write(stream, block_.data(), block_.size());
    }

    static void onWritten(bufferevent *stream, void *self)
    {
        auto *peer = static_cast<EndlessPeer *>(self);
        Answer &answer = peer->answers_.at(stream);
        if (answer.hasBegun && !peer->isSlow()) {
            peer->sendBlock(stream, answer);
        }
    }

    static void onEnd(bufferevent *stream, short /*what*/, void *self)
    {
        auto *peer = static_cast<EndlessPeer *>(self);
        const auto found = peer->answers_.find(stream);
        peer->longestAnswer_ = std::max(peer->longestAnswer_, timeOf(found->second));
        peer->answers_.erase(found);
    }

    event_base *loop_;
    Script script_;
    std::string block_;
    std::unordered_map<bufferevent *, Answer> answers_; ///< By connection.
    std::size_t mostBytes_ = 0;
    Duration longestAnswer_{0};
    int requests_ = 0;
    http::Timer timer_;
    std::unique_ptr<evconnlistener, FreeListener> listener_;
};

} // namespace magnolia::forward

#endif
