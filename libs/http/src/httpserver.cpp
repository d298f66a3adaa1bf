#include "http/httpserver.h"

#include "headers.h"
#include "http/errorbody.h"
#include "http/eventhandles.h"
#include "http/socketaddress.h"
#include "lingeringclose.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/listener.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <unordered_map>
#include <utility>
#include <vector>

namespace magnolia::http
{

namespace
{

constexpr int StatusTooLarge = 413;
constexpr int StatusHeadersTooLarge = 431;
constexpr int StatusInternalError = 500;
constexpr int StatusUnavailable = 503;

// Room for the framing of chunked bodies in the check on bytes received; the exact check is on the body itself.
constexpr std::size_t FramingMargin = 64U << 10U;

struct HttpDeleter {
    void operator()(evhttp *handle) const
    {
        evhttp_free(handle);
    }
};

const char *reasonOf(int status)
{
    switch (status) {
    case StatusTooLarge:
        return "Content Too Large";
    case StatusHeadersTooLarge:
        return "Request Header Fields Too Large";
    case StatusUnavailable:
        return "Service Unavailable";
    default:
        return nullptr; // evhttp fills in the rest.
    }
}

std::string rawAnswer(int status, const Failure &failure)
{
    const std::string body = errorBody(failure);
    return "HTTP/1.1 " + std::to_string(status) + " Refused\r\nContent-Type: application/json\r\nX-Verdict: not-run\r\nConnection: close\r\n"
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Failure refusal(ErrorCode code, std::string detail)
{
    return Failure{.code = code, .verdict = Verdict::NotRun, .detail = std::move(detail), .retryAfter = {}};
}

bool hasBody(evhttp_cmd_type method, int status)
{
    return method != EVHTTP_REQ_HEAD && status != HTTP_NOCONTENT && status != HTTP_NOTMODIFIED;
}

// evhttp leaves the body of these methods unread and would take it for the next request.
bool isBodyLeftUnread(evhttp_request *request)
{
    const evhttp_cmd_type method = evhttp_request_get_command(request);
    if (method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT || method == EVHTTP_REQ_PATCH) {
        return false;
    }
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    const char *length = evhttp_find_header(headers, "Content-Length");
    const bool hasLength = length != nullptr && std::string_view(length) != "0";
    return hasLength || evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

class Connection;
class ServerImpl;

/** What stays of an exchange when its connection has gone: calls on it do nothing. */
class ExchangeImpl final : public Exchange
{
public:
    ExchangeImpl(Connection *connection, evhttp_request *request);
    ~ExchangeImpl() override;
    ExchangeImpl(const ExchangeImpl &) = delete;
    ExchangeImpl &operator=(const ExchangeImpl &) = delete;

    std::string_view method() const override
    {
        return method_;
    }
    std::string_view path() const override
    {
        return std::string_view(target_).substr(0, target_.find('?'));
    }
    std::string_view target() const override
    {
        return target_;
    }
    const Headers &headers() const override
    {
        return headers_;
    }
    std::string_view body() const override
    {
        return body_;
    }

    void reply(int status, const Headers &headers, std::string_view body) override;
    void beginStream(int status, const Headers &headers) override;
    void sendPiece(std::string_view data) override;
    void endStream() override;
    void abort() override;
    std::size_t pendingBytes() const override;
    void onHangup(std::function<void()> callback) override
    {
        hangupCallback_ = std::move(callback);
    }

    /** The connection has gone. @return what is to be told to whoever waits. */
    std::function<void()> detach();

private:
    enum class State {
        Open,
        Streaming,
        Ended,
    };

    void finish();

    Connection *connection_; ///< Null once the connection has gone or the answer has ended.
    evhttp_request *request_;
    evhttp_cmd_type command_;
    std::string method_;
    std::string target_;
    Headers headers_;
    std::string body_;
    State state_ = State::Open;
    std::function<void()> hangupCallback_;
};

/** One accepted connection, until evhttp closes it. */
class Connection
{
public:
    Connection(ServerImpl *server, evhttp_connection *handle);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bufferevent *stream() const
    {
        return evhttp_connection_get_bufferevent(handle_);
    }
    void handle(evhttp_request *request);
    void exchangeEnded();
    void abortSoon();

    /** evhttp is closing the connection. @return what is to be told to whoever waits for the exchange. */
    std::function<void()> closed();

private:
    void refuse(int status, const Failure &failure);
    void received(const evbuffer_cb_info &info);
    bool isHeaderTooLong() const;
    void watchHangup();
    void unwatchHangup();

    static void onInputChange(evbuffer *buffer, const evbuffer_cb_info *info, void *connection);
    static void onOutputChange(evbuffer *buffer, const evbuffer_cb_info *info, void *connection);
    static void onOwnAnswer(evutil_socket_t fd, short what, void *connection);
    static void onHangupSeen(evutil_socket_t fd, short what, void *connection);
    static void onAbort(evutil_socket_t fd, short what, void *connection);

    ServerImpl *server_;
    evhttp_connection *handle_;
    bool isReading_ = true; ///< A request is awaited or read; false while it is with the handler.
    bool isRefused_ = false;
    std::size_t received_ = 0; ///< Bytes of the request that is being read.
    std::size_t consumed_ = 0; ///< Those of them that evhttp has taken from the input buffer.
    evhttp_request *request_ = nullptr; ///< The one that is with the handler.
    std::weak_ptr<ExchangeImpl> exchange_;
    int watchedFd_ = -1;
    EventPtr hangupWatch_;
    EventPtr abortEvent_;
    EventPtr ownAnswerEvent_;
};

class ServerImpl final : public HttpServer
{
public:
    ServerImpl(event_base *loop, Options options, Handler handler)
        : loop_(loop)
        , options_(std::move(options))
        , handler_(std::move(handler))
        , lingering_(loop)
        , adoptEvent_(event_new(loop, -1, 0, &ServerImpl::onAdopt, this))
    {
    }
    ~ServerImpl() override;
    ServerImpl(const ServerImpl &) = delete;
    ServerImpl &operator=(const ServerImpl &) = delete;

    Result<void> bind();

    std::string address() const override
    {
        return address_;
    }
    void stopAccepting() override;
    std::size_t openExchanges() const override
    {
        return openExchanges_;
    }

    event_base *loop() const
    {
        return loop_;
    }
    const Options &options() const
    {
        return options_;
    }
    const Handler &handler() const
    {
        return handler_;
    }
    LingeringClose &lingering()
    {
        return lingering_;
    }
    void exchangeOpened()
    {
        ++openExchanges_;
    }
    void exchangeClosed()
    {
        --openExchanges_;
    }

private:
    static bufferevent *onAccept(event_base *loop, void *self);
    static void onAdopt(evutil_socket_t fd, short what, void *self);
    static void onRequest(evhttp_request *request, void *self);
    static void onClosed(evhttp_connection *handle, void *self);

    void adopt(bufferevent *stream);

    event_base *loop_;
    Options options_;
    Handler handler_;
    std::string address_;
    LingeringClose lingering_;
    EventPtr adoptEvent_;
    std::vector<bufferevent *> accepted_; ///< New connections that evhttp is just setting up; we hold a reference each.
    std::unique_ptr<evhttp, HttpDeleter> http_;
    evhttp_bound_socket *bound_ = nullptr;
    std::unordered_map<evhttp_connection *, std::unique_ptr<Connection>> connections_;
    std::size_t openExchanges_ = 0;
    bool isDestroyed_ = false;
};

ExchangeImpl::ExchangeImpl(Connection *connection, evhttp_request *request)
    : connection_(connection)
    , request_(request)
    , command_(evhttp_request_get_command(request))
    , method_(methodName(command_))
    , headers_(readHeaders(evhttp_request_get_input_headers(request)))
{
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = evhttp_uri_get_path(uri);
    const char *query = evhttp_uri_get_query(uri);
    target_ = path == nullptr || *path == '\0' ? "/" : path;
    if (query != nullptr) {
        target_.append("?").append(query);
    }
    evbuffer *input = evhttp_request_get_input_buffer(request);
    body_.resize(evbuffer_get_length(input));
    evbuffer_remove(input, body_.data(), body_.size());
}

ExchangeImpl::~ExchangeImpl()
{
    if (connection_ == nullptr) {
        return;
    }
    hangupCallback_ = nullptr;
    if (state_ == State::Streaming) {
        abort();
        return;
    }
    const Failure failure{.code = ErrorCode::Internal, .verdict = Verdict::MayHaveRun, .detail = "the request was dropped unanswered", .retryAfter = {}};
    reply(StatusInternalError, {{"content-type", "application/json"}, {"x-verdict", "may-have-run"}}, errorBody(failure));
}

std::function<void()> ExchangeImpl::detach()
{
    connection_ = nullptr;
    request_ = nullptr;
    return std::exchange(hangupCallback_, nullptr);
}

void ExchangeImpl::finish()
{
    state_ = State::Ended;
    Connection *connection = connection_;
    detach();
    connection->exchangeEnded();
}

void ExchangeImpl::reply(int status, const Headers &headers, std::string_view body)
{
    if (connection_ == nullptr || state_ != State::Open) {
        return;
    }
    writeHeaders(evhttp_request_get_output_headers(request_), headers);
    const EvbufferPtr content(evbuffer_new());
    if (hasBody(command_, status)) {
        evbuffer_add(content.get(), body.data(), body.size());
    } else if (command_ == EVHTTP_REQ_HEAD) {
        evhttp_add_header(evhttp_request_get_output_headers(request_), "Content-Length", std::to_string(body.size()).c_str());
    }
    evhttp_send_reply(request_, status, reasonOf(status), content.get());
    finish();
}

void ExchangeImpl::beginStream(int status, const Headers &headers)
{
    if (connection_ == nullptr || state_ != State::Open) {
        return;
    }
    writeHeaders(evhttp_request_get_output_headers(request_), headers);
    state_ = State::Streaming;
    evhttp_send_reply_start(request_, status, reasonOf(status));
}

void ExchangeImpl::sendPiece(std::string_view data)
{
    // An empty chunk would end a chunked body.
    if (connection_ == nullptr || state_ != State::Streaming || data.empty()) {
        return;
    }
    const EvbufferPtr piece(evbuffer_new());
    evbuffer_add(piece.get(), data.data(), data.size());
    evhttp_send_reply_chunk(request_, piece.get());
}

void ExchangeImpl::endStream()
{
    if (connection_ == nullptr || state_ != State::Streaming) {
        return;
    }
    evhttp_send_reply_end(request_);
    finish();
}

void ExchangeImpl::abort()
{
    if (connection_ == nullptr) {
        return;
    }
    state_ = State::Ended;
    Connection *connection = connection_;
    detach();
    connection->abortSoon();
}

std::size_t ExchangeImpl::pendingBytes() const
{
    return connection_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(connection_->stream()));
}

Connection::Connection(ServerImpl *server, evhttp_connection *handle)
    : server_(server)
    , handle_(handle)
    , abortEvent_(event_new(server->loop(), -1, 0, &Connection::onAbort, this))
    , ownAnswerEvent_(event_new(server->loop(), -1, 0, &Connection::onOwnAnswer, this))
{
    evbuffer_add_cb(bufferevent_get_input(stream()), &Connection::onInputChange, this);
    evbuffer_add_cb(bufferevent_get_output(stream()), &Connection::onOutputChange, this);
}

Connection::~Connection()
{
    evbuffer_remove_cb(bufferevent_get_input(stream()), &Connection::onInputChange, this);
    evbuffer_remove_cb(bufferevent_get_output(stream()), &Connection::onOutputChange, this);
    unwatchHangup();
}

void Connection::refuse(int status, const Failure &failure)
{
    if (isRefused_) {
        return;
    }
    isRefused_ = true;
    server_->lingering().refuse(bufferevent_getfd(stream()), rawAnswer(status, failure));
    bufferevent_disable(stream(), EV_READ | EV_WRITE);
    abortSoon();
}

void Connection::received(const evbuffer_cb_info &info)
{
    received_ += info.n_added;
    consumed_ += info.n_deleted;
    const HttpServer::Options &options = server_->options();
    const std::size_t framing = options.maxBodyBytes / 4 + FramingMargin;
    // evhttp would gather it all in memory, and says 413 with a page of its own for headers and bodies alike.
    if (received_ > options.maxHeaderBytes + options.maxBodyBytes + framing) {
        refuse(StatusTooLarge, refusal(ErrorCode::TooLarge, "the body is over the limit"));
    }
}

void Connection::handle(evhttp_request *request)
{
    isReading_ = false;
    received_ = 0;
    consumed_ = 0;
    if (isBodyLeftUnread(request)) {
        refuse(HTTP_BADREQUEST, refusal(ErrorCode::BadInput, "this method takes no body"));
        return;
    }
    if (evbuffer_get_length(evhttp_request_get_input_buffer(request)) > server_->options().maxBodyBytes) {
        refuse(StatusTooLarge, refusal(ErrorCode::TooLarge, "the body is over the limit"));
        return;
    }
    request_ = request;
    auto exchange = std::make_shared<ExchangeImpl>(this, request);
    exchange_ = exchange;
    server_->exchangeOpened();
    watchHangup();
    server_->handler()(std::move(exchange));
}

// evhttp stops reading while a request is worked on, so it doesn't see a caller hang up until it next writes; reading
// on would make it abort the process on unexpected data. A second descriptor of the socket is watched instead: edge
// triggered, since a reset or pipelined data would make a level-triggered watch spin.
void Connection::watchHangup()
{
    watchedFd_ = dup(bufferevent_getfd(stream()));
    if (watchedFd_ < 0) {
        return;
    }
    hangupWatch_.reset(event_new(server_->loop(), watchedFd_, EV_READ | EV_CLOSED | EV_ET | EV_PERSIST, &Connection::onHangupSeen, this));
    event_add(hangupWatch_.get(), nullptr);
}

void Connection::unwatchHangup()
{
    hangupWatch_.reset();
    if (watchedFd_ >= 0) {
        close(watchedFd_);
        watchedFd_ = -1;
    }
}

void Connection::exchangeEnded()
{
    isReading_ = true;
    request_ = nullptr;
    exchange_.reset();
    unwatchHangup();
    server_->exchangeClosed();
}

void Connection::abortSoon()
{
    // Not at once: a frame of evhttp that still uses the connection may be beneath us.
    event_active(abortEvent_.get(), EV_TIMEOUT, 0);
}

std::function<void()> Connection::closed()
{
    std::function<void()> callback;
    if (const std::shared_ptr<ExchangeImpl> exchange = exchange_.lock()) {
        callback = exchange->detach();
    }
    if (request_ == nullptr) {
        return callback;
    }
    server_->exchangeClosed();
    const bool isOurs = evhttp_request_get_connection(request_) == nullptr;
    if (isOurs) {
        // evhttp lets go of an unanswered request when its connection fails.
        evhttp_request_free(request_);
    }
    return callback;
}

void Connection::onInputChange(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *connection)
{
    static_cast<Connection *>(connection)->received(*info);
}

void Connection::onOutputChange(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *connection)
{
    auto *changed = static_cast<Connection *>(connection);
    if (info->n_added > 0 && changed->isReading_) {
        event_active(changed->ownAnswerEvent_.get(), EV_TIMEOUT, 0);
    }
}

// evhttp answers what it can't take by itself, in HTML. Our callers are promised JSON, so its answer is replaced
// before the loop gets to write it.
void Connection::onOwnAnswer(evutil_socket_t /*fd*/, short /*what*/, void *connection)
{
    constexpr std::size_t StatusOffset = sizeof("HTTP/1.1 ") - 1;
    constexpr std::size_t StatusDigits = 3;
    auto *answered = static_cast<Connection *>(connection);
    std::array<char, StatusOffset + StatusDigits> line{};
    evbuffer_copyout(bufferevent_get_output(answered->stream()), line.data(), line.size());
    int status = 0;
    std::from_chars(line.data() + StatusOffset, line.data() + line.size(), status);
    if (status < HTTP_BADREQUEST) {
        return; // "100 Continue".
    }
    if (answered->isHeaderTooLong()) {
        answered->refuse(StatusHeadersTooLarge, refusal(ErrorCode::TooLarge, "the headers are over the limit"));
        return;
    }
    // Bodies are limited by us; what evhttp calls too large is a chunk with a broken size.
    answered->refuse(status == StatusTooLarge ? HTTP_BADREQUEST : status, refusal(ErrorCode::BadInput, "the request is malformed"));
}

// evhttp says 400 of long headers too. It takes them line by line, and gives up on the line that is too much.
bool Connection::isHeaderTooLong() const
{
    const std::size_t limit = server_->options().maxHeaderBytes;
    evbuffer *input = bufferevent_get_input(stream());
    const std::size_t left = evbuffer_get_length(input);
    const bool isLineOpen = evbuffer_search_eol(input, nullptr, nullptr, EVBUFFER_EOL_LF).pos < 0;
    return consumed_ > limit || (isLineOpen && consumed_ + left > limit);
}

void Connection::onHangupSeen(evutil_socket_t fd, short /*what*/, void *connection)
{
    pollfd state{.fd = fd, .events = POLLRDHUP, .revents = 0};
    const bool isGone = poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    if (isGone) {
        evhttp_connection_free(static_cast<Connection *>(connection)->handle_);
    }
}

void Connection::onAbort(evutil_socket_t /*fd*/, short /*what*/, void *connection)
{
    evhttp_connection_free(static_cast<Connection *>(connection)->handle_);
}

ServerImpl::~ServerImpl()
{
    isDestroyed_ = true;
    for (bufferevent *stream : accepted_) {
        bufferevent_decref(stream);
    }
    http_.reset();
}

Result<void> ServerImpl::bind()
{
    const auto address = SocketAddress::parse(options_.address);
    if (!address) {
        return tl::unexpected<Failure>(address.error());
    }
    evconnlistener *listener = evconnlistener_new_bind(loop_,
                                                       nullptr,
                                                       nullptr,
                                                       LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                                       SOMAXCONN,
                                                       address->get(),
                                                       static_cast<int>(address->length));
    if (listener == nullptr) {
        return fail(ErrorCode::Unavailable, Verdict::NotRun, "cannot listen on " + options_.address + ": " + std::strerror(errno));
    }
    // Accepted sockets inherit these options.
    tuneSocket(evconnlistener_get_fd(listener));
    http_.reset(evhttp_new(loop_));
    bound_ = evhttp_bind_listener(http_.get(), listener);
    address_ = SocketAddress::ofSocket(evconnlistener_get_fd(listener)).toString();
    evhttp_set_allowed_methods(http_.get(), allowedMethods());
    evhttp_set_default_content_type(http_.get(), nullptr);
    evhttp_set_max_headers_size(http_.get(), static_cast<ev_ssize_t>(options_.maxHeaderBytes));
    const timeval idle = toTimeval(options_.idleTimeout);
    evhttp_set_timeout_tv(http_.get(), &idle);
    evhttp_set_bevcb(http_.get(), &ServerImpl::onAccept, this);
    evhttp_set_gencb(http_.get(), &ServerImpl::onRequest, this);
    return {};
}

void ServerImpl::stopAccepting()
{
    if (bound_ != nullptr) {
        evhttp_del_accept_socket(http_.get(), bound_);
        bound_ = nullptr;
    }
}

bufferevent *ServerImpl::onAccept(event_base *loop, void *self)
{
    auto *server = static_cast<ServerImpl *>(self);
    bufferevent *stream = bufferevent_socket_new(loop, -1, BEV_OPT_CLOSE_ON_FREE);
    if (stream != nullptr) {
        bufferevent_incref(stream);
        server->accepted_.push_back(stream);
        event_active(server->adoptEvent_.get(), EV_TIMEOUT, 0);
    }
    return stream;
}

void ServerImpl::onAdopt(evutil_socket_t /*fd*/, short /*what*/, void *self)
{
    auto *server = static_cast<ServerImpl *>(self);
    const std::vector<bufferevent *> accepted = std::exchange(server->accepted_, {});
    for (bufferevent *stream : accepted) {
        server->adopt(stream);
        bufferevent_decref(stream);
    }
}

// evhttp (2.1) tells of a connection only with its first whole request, but connections that never send one count as
// well. It registers its connection as the argument of the stream's callbacks, and that is where we take it from.
void ServerImpl::adopt(bufferevent *stream)
{
    void *argument = nullptr;
    bufferevent_getcb(stream, nullptr, nullptr, nullptr, &argument);
    auto *handle = static_cast<evhttp_connection *>(argument);
    if (handle == nullptr) {
        return; // Closed meanwhile.
    }
    if (connections_.size() >= options_.maxConnections) {
        lingering_.refuse(bufferevent_getfd(stream), rawAnswer(StatusUnavailable, refusal(ErrorCode::Unavailable, "too many connections")));
        evhttp_connection_free(handle);
        return;
    }
    connections_.emplace(handle, std::make_unique<Connection>(this, handle));
    evhttp_connection_set_closecb(handle, &ServerImpl::onClosed, this);
}

void ServerImpl::onRequest(evhttp_request *request, void *self)
{
    auto *server = static_cast<ServerImpl *>(self);
    const auto found = server->connections_.find(evhttp_request_get_connection(request));
    if (found != server->connections_.end()) {
        found->second->handle(request);
    }
}

void ServerImpl::onClosed(evhttp_connection *handle, void *self)
{
    auto *server = static_cast<ServerImpl *>(self);
    const auto found = server->connections_.find(handle);
    if (found == server->connections_.end()) {
        return;
    }
    const std::unique_ptr<Connection> connection = std::move(found->second);
    server->connections_.erase(found);
    const std::function<void()> callback = connection->closed();
    if (callback && !server->isDestroyed_) {
        callback();
    }
}

} // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::listen(event_base *loop, Options options, Handler handler)
{
    ignoreBrokenPipes();
    auto server = std::make_unique<ServerImpl>(loop, std::move(options), std::move(handler));
    if (const auto bound = server->bind(); !bound) {
        return tl::unexpected<Failure>(bound.error());
    }
    return server;
}

} // namespace magnolia::http
