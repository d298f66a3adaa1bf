#ifndef MAGNOLIA_WIRE_EVENTLINK_H
#define MAGNOLIA_WIRE_EVENTLINK_H

#include "websocket.h"
#include "wire/link.h"
#include "wire/linksession.h"

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::wire
{

/** Frees what libevent made. */
struct EventDeleter {
    void operator()(event *what) const
    {
        event_free(what);
    }
    void operator()(bufferevent *what) const
    {
        bufferevent_free(what);
    }
};

using EventPtr = std::unique_ptr<event, EventDeleter>;
using BufferEventPtr = std::unique_ptr<bufferevent, EventDeleter>;

/**
 * Joins a socket (bufferevent), a WebSocket and a LinkSession on one event loop.
 *
 * Held by its Link handle, and by itself while it calls back, so that a callback may destroy the handle.
 */
class EventLink : public std::enable_shared_from_this<EventLink>
{
public:
    static std::shared_ptr<EventLink>
    connect(event_base *loop, std::string_view address, std::shared_ptr<const LinkOptions> options, Link::Callbacks callbacks);
    static std::shared_ptr<EventLink> accept(event_base *loop, evutil_socket_t socket, std::shared_ptr<const LinkOptions> options);

    EventLink(event_base *loop, LinkSession::Side side, std::shared_ptr<const LinkOptions> options);
    ~EventLink();
    EventLink(const EventLink &) = delete;
    EventLink &operator=(const EventLink &) = delete;

    void setCallbacks(Link::Callbacks callbacks);
    bool send(const Message &message);
    void close();
    bool isReady() const;
    const PeerInfo &peer() const;
    Duration spacing() const;
    Duration heartbeatInterval() const;

private:
    void openWebSocket(const std::string &host);
    void attach(BufferEventPtr socket);
    void failLater(Failure failure);
    void fail(const Failure &failure);
    void shutDown(std::string_view reason);
    void flushOutput();
    void act(LinkSession::Step step);
    bool sendFrame(const LinkSession::Frame &frame);
    void readSocket();
    void handleSocketEvent(short what);
    void handleTimer();
    void armTimer();
    void countIn();
    Failure describeEnd(WebSocket::End how, const std::string &reason) const;
    Failure describeLoss(std::string detail) const;

    event_base *loop_;
    std::shared_ptr<const LinkOptions> options_;
    LinkSession session_;
    std::unique_ptr<WebSocket> webSocket_;
    BufferEventPtr socket_;
    EventPtr timer_;
    Link::Callbacks callbacks_;
    std::optional<Failure> laterFailure_;
    bool isCounted_ = false; ///< In the pacing of all links.
    bool closed_ = false;
};

/** The handle that owns an EventLink on behalf of its user. */
class LinkHandle final : public Link
{
public:
    explicit LinkHandle(std::shared_ptr<EventLink> link);
    ~LinkHandle() override;
    LinkHandle(const LinkHandle &) = delete;
    LinkHandle &operator=(const LinkHandle &) = delete;

    bool send(const Message &message) override;
    void close() override;
    bool isReady() const override;
    const PeerInfo &peer() const override;
    Duration spacing() const override;
    Duration heartbeatInterval() const override;

private:
    std::shared_ptr<EventLink> link_;
};

} // namespace magnolia::wire

#endif
