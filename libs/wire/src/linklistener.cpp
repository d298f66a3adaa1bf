#include "eventlink.h"
#include "socketaddress.h"
#include "wire/link.h"

#include <event2/listener.h>

#include <unordered_map>
#include <utility>

namespace magnolia::wire
{

namespace
{

struct ListenerDeleter {
    void operator()(evconnlistener *what) const
    {
        evconnlistener_free(what);
    }
};

/** Holds the links whose handshake is under way. Outlives the listener while a callback of it runs. */
class PendingLinks : public std::enable_shared_from_this<PendingLinks>
{
public:
    PendingLinks(event_base *loop, const LinkOptions &options, LinkListener::OnLink onLink, LinkListener::OnRefused onRefused)
        : loop_(loop), options_(std::make_shared<const LinkOptions>(options)), onLink_(std::move(onLink)), onRefused_(std::move(onRefused))
    {
    }

    void accept(evutil_socket_t socket)
    {
        auto link = EventLink::accept(loop_, socket, options_);
        EventLink *key = link.get();
        const std::weak_ptr<PendingLinks> weak = weak_from_this();
        link->setCallbacks({
            .onReady =
                [weak, key](const PeerInfo & /*peer*/) {
                    if (const auto self = weak.lock()) {
                        self->handOver(key);
                    }
                },
            .onMessage = {},
            .onClosed =
                [weak, key](const Failure &failure) {
                    if (const auto self = weak.lock()) {
                        self->drop(key, failure);
                    }
                },
        });
        links_.emplace(key, std::move(link));
    }

    void clear()
    {
        for (const auto &[key, link] : std::exchange(links_, {})) {
            link->close();
        }
    }

    std::size_t size() const
    {
        return links_.size();
    }

private:
    void handOver(EventLink *key)
    {
        const auto node = links_.extract(key);
        const auto link = node.mapped();
        Link::Callbacks callbacks = onLink_(std::make_unique<LinkHandle>(link));
        link->setCallbacks(std::move(callbacks));
    }

    void drop(EventLink *key, const Failure &failure)
    {
        links_.erase(key);
        if (onRefused_) {
            onRefused_(failure);
        }
    }

    event_base *loop_;
    std::shared_ptr<const LinkOptions> options_;
    LinkListener::OnLink onLink_;
    LinkListener::OnRefused onRefused_;
    std::unordered_map<EventLink *, std::shared_ptr<EventLink>> links_;
};

class EventLinkListener final : public LinkListener
{
public:
    EventLinkListener(std::shared_ptr<PendingLinks> pending) : pending_(std::move(pending)) {}

    ~EventLinkListener() override
    {
        pending_->clear();
    }

    EventLinkListener(const EventLinkListener &) = delete;
    EventLinkListener &operator=(const EventLinkListener &) = delete;

    bool open(event_base *loop, const SocketAddress &address)
    {
        constexpr unsigned Flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
        constexpr int DefaultBacklog = -1;
        const auto onAccept = [](evconnlistener * /*listener*/, evutil_socket_t socket, sockaddr * /*peer*/, int /*size*/, void *self) {
            static_cast<EventLinkListener *>(self)->pending_->accept(socket);
        };
        listener_.reset(evconnlistener_new_bind(loop, onAccept, this, Flags, DefaultBacklog, address.get(), address.size()));
        if (!listener_) {
            return false;
        }
        address_ = SocketAddress::ofSocket(evconnlistener_get_fd(listener_.get())).toString();
        return true;
    }

    std::string address() const override
    {
        return address_;
    }

    void stop() override
    {
        listener_.reset();
    }

private:
    std::shared_ptr<PendingLinks> pending_;
    std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
    std::string address_;
};

} // namespace

Result<std::unique_ptr<LinkListener>>
LinkListener::listen(event_base *loop, std::string_view address, const LinkOptions &options, OnLink onLink, OnRefused onRefused)
{
    const auto target = SocketAddress::parse(address);
    if (!target) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "not an IP address with a port: " + std::string(address));
    }
    auto pending = std::make_shared<PendingLinks>(loop, options, std::move(onLink), std::move(onRefused));
    auto listener = std::make_unique<EventLinkListener>(std::move(pending));
    if (!listener->open(loop, *target)) {
        const std::string reason = evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
        return fail(ErrorCode::Unavailable, Verdict::NotRun, "cannot listen on " + std::string(address) + ": " + reason);
    }
    return listener;
}

} // namespace magnolia::wire
