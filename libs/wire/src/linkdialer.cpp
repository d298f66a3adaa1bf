#include "eventlink.h"
#include "timevalue.h"
#include "wire/dialpolicy.h"
#include "wire/link.h"

#include "base/random.h"

#include <utility>

namespace magnolia::wire
{

namespace
{

/** The dialer's state. Held by its handle, and by itself while it calls back, so that a callback may destroy the handle. */
class DialerState : public std::enable_shared_from_this<DialerState>
{
public:
    DialerState(event_base *loop, std::string_view address, const LinkOptions &options, LinkDialer::Callbacks callbacks)
        : loop_(loop)
        , address_(address)
        , options_(std::make_shared<const LinkOptions>(options))
        , callbacks_(std::move(callbacks))
        , policy_({.stableAfter = options.silenceTimeout})
        , random_(seededRandom())
    {
        const auto onTimer = [](evutil_socket_t /*socket*/, short /*what*/, void *self) { static_cast<DialerState *>(self)->dial(); };
        timer_.reset(event_new(loop_, -1, 0, onTimer, this));
    }

    void dial()
    {
        const std::weak_ptr<DialerState> weak = weak_from_this();
        Link::Callbacks callbacks{
            .onReady =
                [weak](const PeerInfo &peer) {
                    if (const auto self = weak.lock()) {
                        self->handleUp(peer);
                    }
                },
            .onMessage =
                [weak](Message &&message) {
                    const auto self = weak.lock();
                    if (self && !self->stopped_ && self->callbacks_.onMessage) {
                        self->callbacks_.onMessage(std::move(message));
                    }
                },
            .onClosed =
                [weak](const Failure &failure) {
                    if (const auto self = weak.lock()) {
                        self->handleClosed(failure);
                    }
                },
        };
        link_ = EventLink::connect(loop_, address_, options_, std::move(callbacks));
    }

    void stop()
    {
        stopped_ = true;
        timer_.reset();
        if (const auto link = std::exchange(link_, nullptr)) {
            link->close();
        }
    }

    bool send(const Message &message)
    {
        return link_ && link_->send(message);
    }

    bool isUp() const
    {
        return link_ && link_->isReady();
    }

    const PeerInfo &peer() const
    {
        return peer_;
    }

private:
    void handleUp(const PeerInfo &peer)
    {
        wasUp_ = true;
        peer_ = peer;
        policy_.noteUp(MonoClock::now());
        if (!stopped_ && callbacks_.onUp) {
            callbacks_.onUp(peer_);
        }
    }

    void handleClosed(const Failure &failure)
    {
        if (stopped_) {
            return;
        }
        link_.reset();
        const bool wasUp = std::exchange(wasUp_, false);
        const auto decision = wasUp ? policy_.noteDown(MonoClock::now(), random_) : policy_.noteFailedAttempt(random_);
        const timeval delay = toTimeValue(decision.delay);
        event_add(timer_.get(), &delay);
        const auto &callback = wasUp ? callbacks_.onDown : callbacks_.onPeerLost;
        if (callback && (wasUp || decision.peerLost)) {
            callback(failure);
        }
    }

    event_base *loop_;
    std::string address_;
    std::shared_ptr<const LinkOptions> options_;
    LinkDialer::Callbacks callbacks_;
    DialPolicy policy_;
    Random random_;
    EventPtr timer_;
    std::shared_ptr<EventLink> link_;
    PeerInfo peer_;
    bool wasUp_ = false;
    bool stopped_ = false;
};

class EventLinkDialer final : public LinkDialer
{
public:
    explicit EventLinkDialer(std::shared_ptr<DialerState> state) : state_(std::move(state)) {}

    ~EventLinkDialer() override
    {
        state_->stop();
    }

    EventLinkDialer(const EventLinkDialer &) = delete;
    EventLinkDialer &operator=(const EventLinkDialer &) = delete;

    bool send(const Message &message) override
    {
        return state_->send(message);
    }

    bool isUp() const override
    {
        return state_->isUp();
    }

    const PeerInfo &peer() const override
    {
        return state_->peer();
    }

private:
    std::shared_ptr<DialerState> state_;
};

} // namespace

std::unique_ptr<LinkDialer> LinkDialer::dial(event_base *loop, std::string_view address, const LinkOptions &options, Callbacks callbacks)
{
    auto state = std::make_shared<DialerState>(loop, address, options, std::move(callbacks));
    state->dial();
    return std::make_unique<EventLinkDialer>(std::move(state));
}

} // namespace magnolia::wire
