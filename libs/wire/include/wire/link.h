#ifndef MAGNOLIA_WIRE_LINK_H
#define MAGNOLIA_WIRE_LINK_H

#include "base/failure.h"
#include "wire/linkpacing.h"
#include "wire/messages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace magnolia::wire
{

/** A key that links prove knowledge of. Two may be valid at once, while they are rolled. */
struct LinkKey {
    std::string id;
    std::string secret;
};

/** Who is at the other end, once the handshake has proved that it belongs. */
struct PeerInfo {
    Role role = Role::Entry;
    std::string instance;
    std::string dataCentre;
    std::string endpoint; ///< Name of the endpoint, if the peer is an agent.
    Incarnation incarnation = 0;
    /** Set by the handshake: it follows the pace that it is told, and takes reports that leave `loaded` out. */
    bool isPaced = false;
};

/** What a process tells its peers and demands from them. */
struct LinkOptions {
    PeerInfo self;
    std::vector<LinkKey> keys; ///< The first one is used to prove; any is accepted.
    Duration heartbeatInterval{500}; ///< At the most links that the pacing allows it for; longer with more.
    /** A link with nothing received for so long is closed as ConnectionLost. Grows by twice what the interval grows. */
    Duration silenceTimeout{2000};
    std::shared_ptr<LinkPacing> pacing{}; ///< One for all links of a process; null: the interval stays as it is.
    Duration handshakeTimeout{2000};
    std::size_t maxFrameBytes = 16U << 20U;
    std::size_t maxSendBufferBytes = 64U << 20U; ///< A peer that reads too slowly loses the link.
};

/**
 * One authenticated connection between two processes of the system.
 *
 * Nothing but the handshake is decoded before the peer has proved a key. Heartbeats go both ways. The link reports its
 * end exactly once by onClosed and is dead from then on; a LinkDialer replaces it. Lives on one event loop: all calls
 * and callbacks are on that loop's thread. Callbacks may destroy the link.
 */
class Link
{
public:
    struct Callbacks {
        std::function<void(const PeerInfo &)> onReady;
        std::function<void(Message &&)> onMessage;
        std::function<void(const Failure &)> onClosed;
    };

    virtual ~Link() = default;

    /**
     * Queues a message.
     *
     * @return false if the link is not ready or is closed, if the message is over maxFrameBytes (the link goes on), or
     *         if the peer reads too slowly (the link then ends by onClosed). The message has then not left the process.
     */
    virtual bool send(const Message &message) = 0;

    /** Closes at once; onClosed is not called. */
    virtual void close() = 0;

    virtual bool isReady() const = 0;
    virtual const PeerInfo &peer() const = 0;

    /** @return the least mean time between two control messages on this link that both ends' budgets allow. */
    virtual Duration spacing() const = 0;

    /** @return how often each end shows that it is there; at least spacing(). */
    virtual Duration heartbeatInterval() const = 0;
};

/** Opens a link. @param address "IP:PORT" (IPv6 in brackets). Errors come by onClosed, never from within this call. */
std::unique_ptr<Link> connectLink(event_base *loop, std::string_view address, const LinkOptions &options, Link::Callbacks callbacks);

/**
 * Accepts links on one address.
 *
 * Owns the listening socket. Each accepted link is handed over by onLink once its handshake has proved the peer; the
 * receiver sets its callbacks there and then. Same threading rule as Link.
 */
class LinkListener
{
public:
    /** Receives a ready link; returns the callbacks that it shall use from now on (onReady is not called). */
    using OnLink = std::function<Link::Callbacks(std::unique_ptr<Link>)>;

    /** Told why a connection was not let in: a wrong key, another version, not our protocol, too slow. For logs and metrics. */
    using OnRefused = std::function<void(const Failure &)>;

    /** @param address "IP:PORT"; port 0 picks a free one. */
    static Result<std::unique_ptr<LinkListener>>
    listen(event_base *loop, std::string_view address, const LinkOptions &options, OnLink onLink, OnRefused onRefused = {});

    virtual ~LinkListener() = default;
    virtual std::string address() const = 0; ///< The bound "IP:PORT".
    virtual void stop() = 0; ///< Accepts no more; open links stay.
};

/**
 * Keeps one link to one address open: dials, and dials again after each end, with backoff and jitter.
 *
 * A silent link is replaced by a fresh connection at once, and the peer is reported lost only when that fails too,
 * because an open connection may be dead while new ones work.
 */
class LinkDialer
{
public:
    struct Callbacks {
        std::function<void(const PeerInfo &)> onUp; ///< A fresh link is ready.
        std::function<void(Message &&)> onMessage;
        std::function<void(const Failure &)> onDown; ///< The link ended; a new one is being dialled.
        std::function<void(const Failure &)> onPeerLost; ///< A fresh connection failed too; called once per outage.
    };

    static std::unique_ptr<LinkDialer> dial(event_base *loop, std::string_view address, const LinkOptions &options, Callbacks callbacks);

    virtual ~LinkDialer() = default;
    virtual bool send(const Message &message) = 0; ///< As Link::send.
    virtual bool isUp() const = 0;
    virtual const PeerInfo &peer() const = 0; ///< Of the latest link that was ready.
};

} // namespace magnolia::wire

#endif
