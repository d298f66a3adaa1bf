#include "relay.h"

#include <event2/bufferevent.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace magnolia::standins
{

struct StreamDeleter {
    void operator()(bufferevent *stream) const
    {
        bufferevent_free(stream);
    }
};

using StreamPtr = std::unique_ptr<bufferevent, StreamDeleter>;

struct Relay::Side {
    Pair *pair = nullptr;
    bool isCaller = false;
    StreamPtr stream;
};

struct Relay::Pair : std::enable_shared_from_this<Relay::Pair> {
    Relay *relay = nullptr;
    Side caller;
    Side target;
    bool isSilent = false;
};

Relay::Relay(event_base *loop, Options options)
    : loop_(loop), options_(std::move(options)), target_(http::SocketAddress::parse(options_.target).value()), scheduler_(loop)
{
    const auto address = http::SocketAddress::parse(options_.address).value();
    listener_.reset(evconnlistener_new_bind(loop,
                                            &Relay::onAccept,
                                            this,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                            SOMAXCONN,
                                            address.get(),
                                            static_cast<int>(address.length)));
    control_ =
        http::HttpServer::listen(loop, {.address = options_.control}, [this](const std::shared_ptr<http::Exchange> &exchange) { control(exchange); }).value();
}

Relay::~Relay() = default;

std::string Relay::address() const
{
    return listener_ ? http::SocketAddress::ofSocket(evconnlistener_get_fd(listener_.get())).toString() : std::string();
}

void Relay::silence()
{
    for (const auto &pair : pairs_) {
        pair->isSilent = true;
        // Not read either, so that the senders' windows fill as they would on a path that swallows everything.
        bufferevent_disable(pair->caller.stream.get(), EV_READ | EV_WRITE);
        bufferevent_disable(pair->target.stream.get(), EV_READ | EV_WRITE);
    }
}

void Relay::cut()
{
    const std::list<std::shared_ptr<Pair>> open = pairs_;
    for (const auto &pair : open) {
        close(pair, true);
    }
}

Json Relay::counts() const
{
    const auto silent = std::count_if(pairs_.begin(), pairs_.end(), [](const auto &pair) { return pair->isSilent; });
    return {{"accepted", accepted_}, {"open", pairs_.size()}, {"silent", silent}, {"bytes_to_target", bytesToTarget_}, {"bytes_to_caller", bytesToCaller_}};
}

void Relay::control(const std::shared_ptr<http::Exchange> &exchange)
{
    const std::string_view path = exchange->path();
    const bool isPost = exchange->method() == "POST";
    if (isPost && path == "/faults") {
        updateFaults(*exchange, faults_);
        return;
    }
    if (isPost && path == "/silence") {
        silence();
    } else if (isPost && path == "/cut") {
        cut();
    } else if (path != "/counts") {
        replyError(*exchange, 404, "no such path");
        return;
    }
    replyJson(*exchange, 200, counts());
}

void Relay::accept(int fd)
{
    ++accepted_;
    if (faults_.refuse) {
        ::close(fd);
        return;
    }
    auto pair = std::make_shared<Pair>();
    pair->relay = this;
    pair->caller = {.pair = pair.get(), .isCaller = true, .stream = StreamPtr(bufferevent_socket_new(loop_, fd, BEV_OPT_CLOSE_ON_FREE))};
    const int targetFd = http::openSocket(target_.storage.ss_family);
    pair->target = {.pair = pair.get(), .isCaller = false, .stream = StreamPtr(bufferevent_socket_new(loop_, targetFd, BEV_OPT_CLOSE_ON_FREE))};
    pairs_.push_back(pair);
    for (Side *side : {&pair->caller, &pair->target}) {
        bufferevent_setcb(side->stream.get(), &Relay::onRead, nullptr, &Relay::onEvent, side);
        bufferevent_enable(side->stream.get(), EV_READ | EV_WRITE);
    }
    bufferevent_socket_connect(pair->target.stream.get(), target_.get(), static_cast<int>(target_.length));
}

void Relay::forward(Side &from)
{
    evbuffer *input = bufferevent_get_input(from.stream.get());
    std::string data(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, data.data(), data.size());
    const bool isDropped = from.isCaller ? faults_.drop_to_target : faults_.drop_to_caller;
    if (isDropped || from.pair->isSilent) {
        return;
    }
    const bool toTarget = from.isCaller;
    const std::weak_ptr<Pair> pair = from.pair->weak_from_this();
    if (faults_.delay_ms == 0) {
        deliver(pair, toTarget, data);
        return;
    }
    scheduler_.after(Duration(faults_.delay_ms), [this, pair, toTarget, data] { deliver(pair, toTarget, data); });
}

void Relay::deliver(const std::weak_ptr<Pair> &pair, bool toTarget, const std::string &data)
{
    const std::shared_ptr<Pair> open = pair.lock();
    if (!open || open->isSilent) {
        return;
    }
    (toTarget ? bytesToTarget_ : bytesToCaller_) += data.size();
    const Side &side = toTarget ? open->target : open->caller;
    bufferevent_write(side.stream.get(), data.data(), data.size());
}

// One end has closed. What it sent before is still delivered, after the delay in force, and then the other end closed.
void Relay::ended(Side &side, bool isError)
{
    const std::shared_ptr<Pair> pair = side.pair->shared_from_this();
    if (pair->isSilent) {
        return;
    }
    if (isError) {
        close(pair, true);
        return;
    }
    closeOnceFlushed(pair);
}

void Relay::closeOnceFlushed(const std::weak_ptr<Pair> &pair)
{
    constexpr Duration CheckInterval{5};
    scheduler_.after(Duration(faults_.delay_ms) + CheckInterval, [this, pair] {
        const std::shared_ptr<Pair> open = pair.lock();
        if (!open || open->isSilent) {
            return;
        }
        const bool isFlushed = evbuffer_get_length(bufferevent_get_output(open->caller.stream.get())) == 0
            && evbuffer_get_length(bufferevent_get_output(open->target.stream.get())) == 0;
        if (isFlushed) {
            close(open, false);
        } else {
            closeOnceFlushed(open);
        }
    });
}

void Relay::close(const std::shared_ptr<Pair> &pair, bool isReset)
{
    for (const Side *side : {&pair->caller, &pair->target}) {
        const linger reset{.l_onoff = 1, .l_linger = 0};
        if (isReset) {
            (void)setsockopt(bufferevent_getfd(side->stream.get()), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        }
    }
    pairs_.remove(pair);
}

void Relay::onAccept(evconnlistener * /*listener*/, int fd, sockaddr * /*from*/, int /*length*/, void *self)
{
    http::tuneSocket(fd);
    static_cast<Relay *>(self)->accept(fd);
}

void Relay::onRead(bufferevent * /*stream*/, void *side)
{
    auto *from = static_cast<Side *>(side);
    from->pair->relay->forward(*from);
}

void Relay::onEvent(bufferevent * /*stream*/, short what, void *side)
{
    auto *from = static_cast<Side *>(side);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        from->pair->relay->ended(*from, (what & BEV_EVENT_ERROR) != 0);
    }
}

} // namespace magnolia::standins
