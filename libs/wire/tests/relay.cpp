#include "relay.h"

#include "eventlink.h"
#include "socketaddress.h"

#include <event2/buffer.h>
#include <event2/listener.h>

#include <vector>

namespace magnolia::wire
{

class Relay::Connection
{
public:
    Connection(event_base *loop, evutil_socket_t caller, const SocketAddress &target, bool silent)
        : caller_(bufferevent_socket_new(loop, caller, BEV_OPT_CLOSE_ON_FREE))
        , target_(bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE))
        , silent_(silent)
    {
        setUp(caller_.get());
        setUp(target_.get());
        bufferevent_socket_connect(target_.get(), target.get(), target.size());
    }

    void silence()
    {
        silent_ = true;
    }

private:
    void setUp(bufferevent *end)
    {
        const auto onRead = [](bufferevent *from, void *self) { static_cast<Connection *>(self)->pass(from); };
        const auto onEvent = [](bufferevent *from, short what, void *self) {
            if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
                static_cast<Connection *>(self)->endFrom(from);
            }
        };
        bufferevent_setcb(end, onRead, nullptr, onEvent, this);
        bufferevent_enable(end, EV_READ | EV_WRITE);
    }

    bufferevent *other(const bufferevent *end) const
    {
        return end == caller_.get() ? target_.get() : caller_.get();
    }

    void pass(bufferevent *from)
    {
        if (silent_) {
            evbuffer_drain(bufferevent_get_input(from), evbuffer_get_length(bufferevent_get_input(from)));
        } else {
            bufferevent_write_buffer(other(from), bufferevent_get_input(from));
        }
    }

    void endFrom(bufferevent *from)
    {
        if (!silent_) {
            shutdown(bufferevent_getfd(other(from)), SHUT_RDWR);
        }
    }

    BufferEventPtr caller_;
    BufferEventPtr target_;
    bool silent_;
};

struct Relay::State {
    event_base *loop;
    SocketAddress target;
    evconnlistener *listener = nullptr;
    bool silentForNew = false;
    std::vector<std::unique_ptr<Connection>> connections;
};

Relay::Relay(event_base *loop, std::string_view target)
    : state_(std::make_unique<State>(State{.loop = loop, .target = *SocketAddress::parse(target), .connections = {}}))
{
    const auto onAccept = [](evconnlistener * /*listener*/, evutil_socket_t socket, sockaddr * /*peer*/, int /*size*/, void *data) {
        auto *state = static_cast<State *>(data);
        state->connections.push_back(std::make_unique<Connection>(state->loop, socket, state->target, state->silentForNew));
    };
    const auto any = *SocketAddress::parse("127.0.0.1:0");
    state_->listener = evconnlistener_new_bind(loop, onAccept, state_.get(), LEV_OPT_CLOSE_ON_FREE, -1, any.get(), any.size());
}

Relay::~Relay()
{
    evconnlistener_free(state_->listener);
}

std::string Relay::address() const
{
    return SocketAddress::ofSocket(evconnlistener_get_fd(state_->listener)).toString();
}

void Relay::silenceOpenConnections()
{
    for (const auto &connection : state_->connections) {
        connection->silence();
    }
}

void Relay::setSilentForNew(bool silent)
{
    state_->silentForNew = silent;
}

std::size_t Relay::connectionCount() const
{
    return state_->connections.size();
}

} // namespace magnolia::wire
