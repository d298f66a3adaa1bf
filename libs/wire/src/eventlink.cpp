#include "eventlink.h"

#include "socketaddress.h"
#include "timevalue.h"
#include "wire/codec.h"

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/rand.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace magnolia::wire
{

namespace
{

constexpr std::size_t ReadPieceBytes = 16384;
constexpr std::size_t FrameOverheadBytes = 14; // RFC 6455: the longest header of a frame

MonoTime now()
{
    return MonoClock::now();
}

// A failing generator leaves no safe way to take part in a handshake.
LinkSession::Nonce freshNonce()
{
    LinkSession::Nonce nonce{};
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) {
        std::abort();
    }
    return nonce;
}

std::string_view asText(std::span<const std::uint8_t> bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::span<const std::uint8_t> asBytes(std::string_view text)
{
    return {reinterpret_cast<const std::uint8_t *>(text.data()), text.size()};
}

// TCP_NODELAY: the pieces of a streamed answer are small, and each is awaited by a person.
// TCP_USER_TIMEOUT: bytes that the peer's host does not acknowledge are given up on; without it the kernel would go on
// resending them for a quarter of an hour, and keep the buffers of each link that was closed for silence.
void setSocketOptions(evutil_socket_t socket, Duration silenceTimeout)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto timeout = static_cast<unsigned>(silenceTimeout.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

} // namespace

std::shared_ptr<EventLink> EventLink::connect(event_base *loop, std::string_view address, std::shared_ptr<const LinkOptions> options, Link::Callbacks callbacks)
{
    auto link = std::make_shared<EventLink>(loop, LinkSession::Side::Dialer, std::move(options));
    link->setCallbacks(std::move(callbacks));
    link->openWebSocket(std::string(address));
    link->armTimer();
    auto target = SocketAddress::parse(address);
    if (!target || target->port() == 0) {
        link->failLater({.code = ErrorCode::BadInput, .verdict = Verdict::NotRun, .detail = "not an IP address with a port", .retryAfter = {}});
        return link;
    }
    link->attach(BufferEventPtr(bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE)));
    if (!link->socket_ || bufferevent_socket_connect(link->socket_.get(), target->get(), target->size()) != 0) {
        link->failLater({.code = ErrorCode::ConnectionLost, .verdict = Verdict::NotRun, .detail = "no connection can be opened", .retryAfter = {}});
    }
    return link;
}

std::shared_ptr<EventLink> EventLink::accept(event_base *loop, evutil_socket_t socket, std::shared_ptr<const LinkOptions> options)
{
    auto link = std::make_shared<EventLink>(loop, LinkSession::Side::Listener, std::move(options));
    link->openWebSocket({});
    link->armTimer();
    setSocketOptions(socket, link->options_->silenceTimeout);
    link->attach(BufferEventPtr(bufferevent_socket_new(loop, socket, BEV_OPT_CLOSE_ON_FREE)));
    if (!link->socket_) {
        evutil_closesocket(socket);
        link->failLater({.code = ErrorCode::ConnectionLost, .verdict = Verdict::NotRun, .detail = "out of memory", .retryAfter = {}});
        return link;
    }
    link->webSocket_->start();
    return link;
}

EventLink::EventLink(event_base *loop, LinkSession::Side side, std::shared_ptr<const LinkOptions> options)
    : loop_(loop), options_(std::move(options)), session_(side, options_, freshNonce(), now())
{
    const auto onTimer = [](evutil_socket_t /*socket*/, short /*what*/, void *link) { static_cast<EventLink *>(link)->handleTimer(); };
    timer_.reset(event_new(loop_, -1, 0, onTimer, this));
}

EventLink::~EventLink()
{
    shutDown({});
}

void EventLink::setCallbacks(Link::Callbacks callbacks)
{
    callbacks_ = std::move(callbacks);
}

void EventLink::openWebSocket(const std::string &host)
{
    const auto side = host.empty() ? WebSocket::Side::Server : WebSocket::Side::Client;
    // These callbacks come from within calls of this object only, which hold it.
    WebSocket::Events events{
        .write =
            [this](std::string_view bytes) {
                if (socket_) {
                    bufferevent_write(socket_.get(), bytes.data(), bytes.size());
                }
            },
        .onOpen = [this] { act(session_.open(now())); },
        .onFrame = [this](std::string_view frame) { act(session_.receive(asBytes(frame), now())); },
        .onEnd = [this](WebSocket::End how, const std::string &reason) { fail(describeEnd(how, reason)); },
    };
    webSocket_ = std::make_unique<WebSocket>(side, host, std::move(events));
    webSocket_->setMaxFrameBytes(std::min(options_->maxFrameBytes, LinkSession::MaxHandshakeFrameBytes));
}

void EventLink::attach(BufferEventPtr socket)
{
    socket_ = std::move(socket);
    if (!socket_) {
        return;
    }
    const auto onRead = [](bufferevent * /*socket*/, void *link) { static_cast<EventLink *>(link)->readSocket(); };
    const auto onEvent = [](bufferevent * /*socket*/, short what, void *link) { static_cast<EventLink *>(link)->handleSocketEvent(what); };
    bufferevent_setcb(socket_.get(), onRead, nullptr, onEvent, this);
    bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
}

bool EventLink::send(const Message &message)
{
    if (!isReady()) {
        return false;
    }
    const LinkSession::Frame frame = encode(message);
    // The peer would close the link for a frame over the limit, and every request on it would suffer.
    if (frame.size() > options_->maxFrameBytes) {
        return false;
    }
    const std::size_t waiting = evbuffer_get_length(bufferevent_get_output(socket_.get()));
    if (waiting + frame.size() + FrameOverheadBytes > options_->maxSendBufferBytes) {
        failLater({.code = ErrorCode::ConnectionLost, .verdict = Verdict::MayHaveRun, .detail = "the peer reads too slowly", .retryAfter = {}});
        return false;
    }
    return sendFrame(frame);
}

bool EventLink::sendFrame(const LinkSession::Frame &frame)
{
    if (!webSocket_->send(asText(frame))) {
        return false;
    }
    session_.noteSent(now());
    return true;
}

void EventLink::close()
{
    shutDown({});
}

bool EventLink::isReady() const
{
    return !closed_ && !laterFailure_ && session_.isReady();
}

const PeerInfo &EventLink::peer() const
{
    return session_.peer();
}

Duration EventLink::spacing() const
{
    return session_.spacing();
}

Duration EventLink::heartbeatInterval() const
{
    return session_.heartbeatInterval();
}

void EventLink::countIn()
{
    if (options_->pacing && !std::exchange(isCounted_, true)) {
        options_->pacing->noteOpened();
    }
}

void EventLink::act(LinkSession::Step step)
{
    const auto self = shared_from_this();
    for (const LinkSession::Frame &frame : step.frames) {
        sendFrame(frame);
    }
    if (step.failure) {
        fail(*step.failure);
        return;
    }
    if (step.ready) {
        webSocket_->setMaxFrameBytes(options_->maxFrameBytes);
        countIn();
        armTimer();
        // A copy, since a listener sets other callbacks from within this one.
        const auto onReady = callbacks_.onReady;
        if (onReady) {
            onReady(session_.peer());
        }
    }
    if (step.message && !closed_ && callbacks_.onMessage) {
        callbacks_.onMessage(std::move(*step.message));
    }
}

void EventLink::readSocket()
{
    const auto self = shared_from_this();
    std::array<char, ReadPieceBytes> piece; // NOLINT(cppcoreguidelines-pro-type-member-init): written before it is read
    while (!closed_) {
        const std::size_t size = bufferevent_read(socket_.get(), piece.data(), piece.size());
        if (size == 0) {
            return;
        }
        session_.noteHeard(now());
        webSocket_->receive({piece.data(), size});
    }
}

void EventLink::handleSocketEvent(short what)
{
    const auto self = shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        setSocketOptions(bufferevent_getfd(socket_.get()), options_->silenceTimeout);
        webSocket_->start();
        return;
    }
    const std::string error = evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR());
    webSocket_->receiveEnd(); // reports the peer's reason, if it gave one
    if (!closed_) {
        fail(describeLoss(error));
    }
}

void EventLink::handleTimer()
{
    const auto self = shared_from_this();
    if (laterFailure_) {
        fail(*std::exchange(laterFailure_, std::nullopt));
        return;
    }
    act(session_.tick(now()));
    armTimer();
}

// The timer is not moved with each frame that is sent or heard: it fires at the time that was next when it was set, finds nothing to do, and is set
// again. That costs one wakeup in an interval in place of one change of the timer for each frame.
void EventLink::armTimer()
{
    if (closed_ || laterFailure_) {
        return;
    }
    const timeval wait = toTimeValue(session_.nextTick() - now());
    event_add(timer_.get(), &wait);
}

// Used where the user's own call is still on the stack, and must not be answered by a callback.
void EventLink::failLater(Failure failure)
{
    if (closed_ || laterFailure_) {
        return;
    }
    laterFailure_ = std::move(failure);
    const timeval atOnce{};
    event_add(timer_.get(), &atOnce);
}

void EventLink::fail(const Failure &failure)
{
    if (closed_) {
        return;
    }
    const auto self = shared_from_this();
    shutDown(failure.code.message());
    if (callbacks_.onClosed) {
        callbacks_.onClosed(failure);
    }
}

void EventLink::shutDown(std::string_view reason)
{
    if (std::exchange(closed_, true)) {
        return;
    }
    webSocket_->close(reason);
    flushOutput();
    timer_.reset();
    socket_.reset();
    if (std::exchange(isCounted_, false)) {
        options_->pacing->noteClosed();
    }
}

// Gives the kernel what it takes at once, so that the last messages and the close frame have a chance to arrive.
void EventLink::flushOutput()
{
    if (!socket_ || bufferevent_getfd(socket_.get()) < 0) {
        return;
    }
    evbuffer *output = bufferevent_get_output(socket_.get());
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, bufferevent_getfd(socket_.get()));
}

Failure EventLink::describeEnd(WebSocket::End how, const std::string &reason) const
{
    Failure failure = describeLoss(reason.empty() ? "the peer closed the link" : "the link ended: " + reason);
    if (how == WebSocket::End::TooLarge) {
        failure.code = ErrorCode::TooLarge;
    } else if (how == WebSocket::End::Broken) {
        failure.code = ErrorCode::ProtocolError;
    } else if (reason == make_error_code(ErrorCode::Unauthorised).message()) {
        failure.code = ErrorCode::Unauthorised;
    }
    return failure;
}

Failure EventLink::describeLoss(std::string detail) const
{
    const Verdict verdict = session_.isReady() ? Verdict::MayHaveRun : Verdict::NotRun;
    return {.code = ErrorCode::ConnectionLost, .verdict = verdict, .detail = std::move(detail), .retryAfter = {}};
}

LinkHandle::LinkHandle(std::shared_ptr<EventLink> link) : link_(std::move(link)) {}

LinkHandle::~LinkHandle()
{
    link_->close();
}

bool LinkHandle::send(const Message &message)
{
    return link_->send(message);
}

void LinkHandle::close()
{
    link_->close();
}

bool LinkHandle::isReady() const
{
    return link_->isReady();
}

const PeerInfo &LinkHandle::peer() const
{
    return link_->peer();
}

Duration LinkHandle::spacing() const
{
    return link_->spacing();
}

Duration LinkHandle::heartbeatInterval() const
{
    return link_->heartbeatInterval();
}

std::unique_ptr<Link> connectLink(event_base *loop, std::string_view address, const LinkOptions &options, Link::Callbacks callbacks)
{
    auto shared = std::make_shared<const LinkOptions>(options);
    return std::make_unique<LinkHandle>(EventLink::connect(loop, address, std::move(shared), std::move(callbacks)));
}

} // namespace magnolia::wire
