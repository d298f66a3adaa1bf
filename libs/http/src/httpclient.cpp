#include "http/httpclient.h"

#include "headers.h"
#include "http/eventhandles.h"
#include "http/socketaddress.h"
#include "http/statuscode.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <deque>
#include <limits>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

namespace magnolia::http
{

namespace
{

constexpr ev_ssize_t MaxAnswerHeaderBytes = 64 << 10;

// evhttp's own timers are set out of the way: each call has its own.
constexpr Duration NoTimeout = std::chrono::hours(24);

bool isRequestTarget(std::string_view path)
{
    return path.starts_with('/') && std::all_of(path.begin(), path.end(), [](unsigned char c) { return c > ' ' && c != 0x7f; });
}

// An answer that ends with the connection can't be told from one that was cut, so it doesn't count as whole.
bool isFramed(evhttp_cmd_type method, int status, const Headers &headers)
{
    const bool hasNoBody = method == EVHTTP_REQ_HEAD || status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED;
    return hasNoBody || headers.contains("content-length") || headers.contains("transfer-encoding");
}

bool isAnnouncedTooLarge(const Headers &headers, std::size_t limit)
{
    const auto found = headers.find("content-length");
    std::size_t length = 0;
    if (found != headers.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), length);
    }
    return length > limit;
}

} // namespace

class HttpClient::Impl
{
public:
    Impl(event_base *loop, Options options);
    ~Impl();
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    CallId start(Request request, std::function<void(Result<Response>)> done, StreamCallbacks callbacks);
    void cancel(CallId id);
    void closeIdle();

private:
    struct Connection;

    struct Call : std::enable_shared_from_this<Call> {
        Impl *client = nullptr;
        CallId id = 0;
        Request request;
        evhttp_cmd_type method = EVHTTP_REQ_GET;
        std::function<void(Result<Response>)> done; ///< Set for send, empty for stream.
        StreamCallbacks callbacks;
        Connection *connection = nullptr;
        EventPtr deadlineTimer;
        EventPtr phaseTimer; ///< Limits the dialling, and later the silence.
        bool isSent = false; ///< A byte of the request has left the process.
        bool isAnswered = false; ///< A byte of the answer has come.
        Response response; ///< Without the body when streaming.
    };

    struct Connection {
        Impl *client = nullptr; ///< Null once the client is gone.
        evhttp_connection *handle = nullptr;
        Call *call = nullptr; ///< Null when idle or abandoned.
        EventPtr idleTimer;
        evhttp_request_error error = EVREQ_HTTP_EOF;
        bool isClosed = false;

        Connection() = default;
        ~Connection();
        Connection(const Connection &) = delete;
        Connection &operator=(const Connection &) = delete;

        bufferevent *stream() const
        {
            return evhttp_connection_get_bufferevent(handle);
        }
    };

    // Counts the frames of evhttp beneath us: a connection may be freed only when there is none.
    class EvhttpScope
    {
    public:
        explicit EvhttpScope(std::shared_ptr<int> depth) : depth_(std::move(depth))
        {
            ++*depth_;
        }
        ~EvhttpScope()
        {
            --*depth_;
        }
        EvhttpScope(const EvhttpScope &) = delete;
        EvhttpScope &operator=(const EvhttpScope &) = delete;

    private:
        std::shared_ptr<int> depth_;
    };

    static std::optional<Failure> refusalOf(const Request &request);

    void dispatchWaiting();
    void dispatch(Call &call);
    void sendOn(Connection &connection, Call &call);
    Connection *takeIdle();
    Connection *dial();
    void release(Connection &connection);
    void discard(Connection &connection);
    void sweep();

    void complete(Call &call);
    void failCall(Call &call, ErrorCode code, std::string detail);
    std::shared_ptr<Call> detach(Call &call);
    static void report(Call &call, Result<void> outcome);

    void answered(evhttp_request *request, Connection &connection);
    void received(Connection &connection, std::size_t buffered);

    static void onWake(evutil_socket_t fd, short what, void *self);
    static void onDeadline(evutil_socket_t fd, short what, void *call);
    static void onPhaseTimeout(evutil_socket_t fd, short what, void *call);
    static void onIdleTimeout(evutil_socket_t fd, short what, void *connection);
    static void onAnswer(evhttp_request *request, void *connection);
    static int onAnswerHeaders(evhttp_request *request, void *connection);
    static void onAnswerData(evhttp_request *request, void *connection);
    static void onAnswerError(evhttp_request_error error, void *connection);
    static void onClosed(evhttp_connection *handle, void *connection);
    static void onOutputChange(evbuffer *buffer, const evbuffer_cb_info *info, void *connection);
    static void onInputChange(evbuffer *buffer, const evbuffer_cb_info *info, void *connection);
    static void onOrphaned(evutil_socket_t fd, short what, void *connection);

    event_base *loop_;
    Options options_;
    Result<SocketAddress> address_;
    CallId lastId_ = 0;
    std::unordered_map<CallId, std::shared_ptr<Call>> calls_;
    std::deque<CallId> waiting_;
    std::list<std::unique_ptr<Connection>> connections_; ///< Idle and busy ones.
    std::vector<Connection *> idle_;
    std::vector<std::unique_ptr<Connection>> discarded_; ///< To be freed outside of evhttp's frames.
    EventPtr wake_;
    std::shared_ptr<int> evhttpDepth_ = std::make_shared<int>(0);
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Expires when a callback destroys the client.
};

HttpClient::Impl::Connection::~Connection()
{
    if (handle != nullptr) {
        evhttp_connection_free(handle);
    }
}

HttpClient::Impl::Impl(event_base *loop, Options options)
    : loop_(loop), options_(std::move(options)), address_(SocketAddress::parse(options_.address)), wake_(event_new(loop, -1, 0, &Impl::onWake, this))
{
}

HttpClient::Impl::~Impl()
{
    for (auto &connection : connections_) {
        discarded_.push_back(std::move(connection));
    }
    for (auto &connection : discarded_) {
        connection->client = nullptr;
        connection->call = nullptr;
        connection->idleTimer.reset();
        if (*evhttpDepth_ > 0) {
            const timeval now{};
            event_base_once(loop_, -1, EV_TIMEOUT, &Impl::onOrphaned, connection.release(), &now);
        }
    }
}

HttpClient::CallId HttpClient::Impl::start(Request request, std::function<void(Result<Response>)> done, StreamCallbacks callbacks)
{
    auto call = std::make_shared<Call>();
    call->client = this;
    call->id = ++lastId_;
    call->method = methodFromName(request.method).value_or(EVHTTP_REQ_GET);
    call->request = std::move(request);
    call->done = std::move(done);
    call->callbacks = std::move(callbacks);
    call->deadlineTimer.reset(evtimer_new(loop_, &Impl::onDeadline, call.get()));
    call->phaseTimer.reset(evtimer_new(loop_, &Impl::onPhaseTimeout, call.get()));
    startTimer(call->deadlineTimer.get(), call->request.timeout);
    const CallId id = call->id;
    waiting_.push_back(id);
    calls_.emplace(id, std::move(call));
    event_active(wake_.get(), EV_TIMEOUT, 0);
    return id;
}

void HttpClient::Impl::cancel(CallId id)
{
    const auto found = calls_.find(id);
    if (found != calls_.end()) {
        detach(*found->second);
    }
}

void HttpClient::Impl::closeIdle()
{
    const std::vector<Connection *> idle = std::exchange(idle_, {});
    for (Connection *connection : idle) {
        discard(*connection);
    }
}

std::optional<Failure> HttpClient::Impl::refusalOf(const Request &request)
{
    if (!methodFromName(request.method)) {
        return Failure{.code = ErrorCode::BadInput, .verdict = Verdict::NotRun, .detail = "method not known: " + request.method, .retryAfter = {}};
    }
    if (!isRequestTarget(request.path)) {
        return Failure{.code = ErrorCode::BadInput, .verdict = Verdict::NotRun, .detail = "path can't be sent", .retryAfter = {}};
    }
    return std::nullopt;
}

void HttpClient::Impl::dispatchWaiting()
{
    const std::weak_ptr<bool> alive = alive_;
    while (!waiting_.empty()) {
        const auto found = calls_.find(waiting_.front());
        if (found == calls_.end()) {
            waiting_.pop_front(); // Cancelled or timed out meanwhile.
            continue;
        }
        if (idle_.empty() && connections_.size() >= options_.maxConnections) {
            return;
        }
        waiting_.pop_front();
        dispatch(*found->second);
        if (alive.expired()) {
            return; // A callback destroyed the client.
        }
    }
}

void HttpClient::Impl::dispatch(Call &call)
{
    if (!address_) {
        failCall(call, ErrorCode::BadInput, address_.error().detail);
        return;
    }
    if (const auto refusal = refusalOf(call.request)) {
        failCall(call, ErrorCode::BadInput, refusal->detail);
        return;
    }
    Connection *connection = takeIdle();
    if (connection == nullptr) {
        connection = dial();
        startTimer(call.phaseTimer.get(), options_.connectTimeout);
    }
    if (connection == nullptr) {
        failCall(call, ErrorCode::Unavailable, "no socket could be opened");
        return;
    }
    sendOn(*connection, call);
}

void HttpClient::Impl::sendOn(Connection &connection, Call &call)
{
    connection.call = &call;
    call.connection = &connection;
    const bool isStream = !call.done;
    const ev_ssize_t limit = isStream ? std::numeric_limits<ev_ssize_t>::max() : static_cast<ev_ssize_t>(options_.maxBodyBytes);
    evhttp_connection_set_max_body_size(connection.handle, limit);

    evhttp_request *request = evhttp_request_new(&Impl::onAnswer, &connection);
    if (!writeHeaders(evhttp_request_get_output_headers(request), call.request.headers)) {
        evhttp_request_free(request);
        failCall(call, ErrorCode::BadInput, "a header can't be sent");
        return;
    }
    if (!call.request.headers.contains("host")) {
        // evhttp adds none, and servers that go by RFC 9112 answer a request without it 400.
        evhttp_add_header(evhttp_request_get_output_headers(request), "Host", options_.address.c_str());
    }
    if (!call.request.body.empty()) {
        // evhttp gives only POST and PUT a length; the body of a PATCH would pass for the start of the next request.
        evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Length", std::to_string(call.request.body.size()).c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), call.request.body.data(), call.request.body.size());
    evhttp_request_set_header_cb(request, &Impl::onAnswerHeaders);
    evhttp_request_set_chunked_cb(request, &Impl::onAnswerData);
    evhttp_request_set_error_cb(request, &Impl::onAnswerError);
    const EvhttpScope scope(evhttpDepth_);
    const CallId id = call.id;
    const std::string path = call.request.path;
    const std::weak_ptr<bool> alive = alive_;
    const int outcome = evhttp_make_request(connection.handle, request, call.method, path.c_str());
    if (outcome != 0 && !alive.expired() && calls_.contains(id)) {
        failCall(call, ErrorCode::Unavailable, "the connection could not be opened");
    }
}

HttpClient::Impl::Connection *HttpClient::Impl::takeIdle()
{
    while (!idle_.empty()) {
        Connection *connection = idle_.back();
        idle_.pop_back();
        evtimer_del(connection->idleTimer.get());
        // The far end may have closed it while idle, and its FIN waits unread. Sending on it would end as "may have
        // run" for a request that nobody got; seen before anything is sent, a fresh connection serves it.
        char byte = 0;
        const ssize_t peeked = recv(bufferevent_getfd(connection->stream()), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (!connection->isClosed && peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return connection;
        }
        discard(*connection);
    }
    return nullptr;
}

HttpClient::Impl::Connection *HttpClient::Impl::dial()
{
    const int fd = openSocket(address_->storage.ss_family);
    if (fd < 0) {
        return nullptr;
    }
    bufferevent *stream = bufferevent_socket_new(loop_, fd, BEV_OPT_CLOSE_ON_FREE);
    if (stream == nullptr) {
        close(fd);
        return nullptr;
    }
    auto connection = std::make_unique<Connection>();
    connection->client = this;
    connection->handle = evhttp_connection_base_bufferevent_new(loop_, nullptr, stream, address_->host().c_str(), address_->port());
    if (connection->handle == nullptr) {
        bufferevent_free(stream);
        return nullptr;
    }
    connection->idleTimer.reset(evtimer_new(loop_, &Impl::onIdleTimeout, connection.get()));
    // Never resend: a request whose connection closed under it may have run. (No retries is evhttp's default as well.)
    evhttp_connection_set_retries(connection->handle, 0);
    evhttp_connection_set_max_headers_size(connection->handle, MaxAnswerHeaderBytes);
    const timeval none = toTimeval(NoTimeout);
    evhttp_connection_set_timeout_tv(connection->handle, &none);
    evhttp_connection_set_closecb(connection->handle, &Impl::onClosed, connection.get());
    evbuffer_add_cb(bufferevent_get_output(stream), &Impl::onOutputChange, connection.get());
    evbuffer_add_cb(bufferevent_get_input(stream), &Impl::onInputChange, connection.get());
    connections_.push_back(std::move(connection));
    return connections_.back().get();
}

void HttpClient::Impl::release(Connection &connection)
{
    connection.call = nullptr;
    if (connection.isClosed) {
        discard(connection);
        return;
    }
    idle_.push_back(&connection);
    startTimer(connection.idleTimer.get(), options_.idleTimeout);
    event_active(wake_.get(), EV_TIMEOUT, 0);
}

void HttpClient::Impl::discard(Connection &connection)
{
    connection.call = nullptr;
    connection.isClosed = true;
    evtimer_del(connection.idleTimer.get());
    std::erase(idle_, &connection);
    const auto found = std::find_if(connections_.begin(), connections_.end(), [&connection](const auto &entry) { return entry.get() == &connection; });
    if (found != connections_.end()) {
        discarded_.push_back(std::move(*found));
        connections_.erase(found);
    }
    event_active(wake_.get(), EV_TIMEOUT, 0);
}

void HttpClient::Impl::sweep()
{
    discarded_.clear();
}

std::shared_ptr<HttpClient::Impl::Call> HttpClient::Impl::detach(Call &call)
{
    auto node = calls_.extract(call.id);
    if (call.connection != nullptr) {
        // Whatever still comes on it belongs to this call, so nobody else may use it.
        discard(*call.connection);
        call.connection = nullptr;
    }
    call.deadlineTimer.reset();
    call.phaseTimer.reset();
    return std::move(node.mapped());
}

void HttpClient::Impl::complete(Call &call)
{
    Connection *connection = std::exchange(call.connection, nullptr);
    const std::shared_ptr<Call> finished = detach(call);
    release(*connection);
    report(*finished, {});
}

void HttpClient::Impl::failCall(Call &call, ErrorCode code, std::string detail)
{
    const std::shared_ptr<Call> failed = detach(call);
    const Verdict verdict = failed->isSent ? Verdict::MayHaveRun : Verdict::NotRun;
    report(*failed, fail(code, verdict, std::move(detail)));
}

// Comes last in every path: the callback may destroy the client.
void HttpClient::Impl::report(Call &call, Result<void> outcome)
{
    if (!call.done) {
        if (call.callbacks.onEnd) {
            call.callbacks.onEnd(std::move(outcome));
        }
        return;
    }
    if (outcome) {
        call.done(std::move(call.response));
    } else {
        call.done(tl::unexpected<Failure>(outcome.error()));
    }
}

void HttpClient::Impl::answered(evhttp_request *request, Connection &connection)
{
    Call *call = connection.call;
    if (call == nullptr) {
        return;
    }
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        // One connection that closed under a request makes its idle siblings doubtful too (the far end restarted).
        closeIdle();
        const bool isMalformed = connection.error == EVREQ_HTTP_INVALID_HEADER || connection.error == EVREQ_HTTP_DATA_TOO_LONG;
        if (isAnnouncedTooLarge(call->response.headers, options_.maxBodyBytes)) {
            failCall(*call, ErrorCode::TooLarge, "the answer is over the limit");
        } else if (isMalformed) {
            // evhttp says "too long" of a chunk with a broken size as well.
            failCall(*call, ErrorCode::ProtocolError, "the answer is malformed, or a part of it over the limit");
        } else if (!call->isSent) {
            failCall(*call, ErrorCode::Unavailable, "could not connect");
        } else {
            failCall(*call, ErrorCode::ConnectionLost, "the connection closed before the answer was whole");
        }
        return;
    }
    if (!isFinalStatus(call->response.status)) {
        failCall(*call, ErrorCode::ProtocolError, "the answer's status is none of a final answer: " + std::to_string(call->response.status));
        return;
    }
    if (!isFramed(call->method, call->response.status, call->response.headers)) {
        failCall(*call, ErrorCode::ProtocolError, "the answer has no length, so it can't be told whether it is whole");
        return;
    }
    complete(*call);
}

void HttpClient::Impl::received(Connection &connection, std::size_t buffered)
{
    Call *call = connection.call;
    if (call == nullptr) {
        return;
    }
    call->isAnswered = true;
    if (call->request.silenceTimeout.count() > 0) {
        startTimer(call->phaseTimer.get(), call->request.silenceTimeout);
    }
    // evhttp gathers a chunk of any size before it hands it on; the limit holds for that as well.
    if (buffered > options_.maxBodyBytes + MaxAnswerHeaderBytes) {
        failCall(*call, ErrorCode::TooLarge, "a piece of the answer is over the limit");
    }
}

void HttpClient::Impl::onWake(evutil_socket_t /*fd*/, short /*what*/, void *self)
{
    auto *client = static_cast<Impl *>(self);
    client->sweep();
    client->dispatchWaiting();
}

void HttpClient::Impl::onDeadline(evutil_socket_t /*fd*/, short /*what*/, void *call)
{
    auto *expired = static_cast<Call *>(call);
    if (expired->connection != nullptr) {
        // The connection may have gone silent for good, and its idle siblings with it: the next call dials afresh.
        expired->client->closeIdle();
    }
    expired->client->failCall(*expired, ErrorCode::DeadlineExceeded, "no whole answer in time");
}

void HttpClient::Impl::onPhaseTimeout(evutil_socket_t /*fd*/, short /*what*/, void *call)
{
    auto *expired = static_cast<Call *>(call);
    expired->client->closeIdle();
    if (expired->isAnswered) {
        expired->client->failCall(*expired, ErrorCode::ConnectionLost, "the answer fell silent");
    } else {
        expired->client->failCall(*expired, ErrorCode::Unavailable, "could not connect in time");
    }
}

void HttpClient::Impl::onIdleTimeout(evutil_socket_t /*fd*/, short /*what*/, void *connection)
{
    auto *expired = static_cast<Connection *>(connection);
    expired->client->discard(*expired);
}

void HttpClient::Impl::onAnswer(evhttp_request *request, void *connection)
{
    auto *answeredOn = static_cast<Connection *>(connection);
    if (answeredOn->client != nullptr) {
        const EvhttpScope scope(answeredOn->client->evhttpDepth_);
        answeredOn->client->answered(request, *answeredOn);
    }
}

int HttpClient::Impl::onAnswerHeaders(evhttp_request *request, void *connection)
{
    auto *answeredOn = static_cast<Connection *>(connection);
    Call *call = answeredOn->call;
    if (call == nullptr) {
        return -1;
    }
    call->response.status = evhttp_request_get_response_code(request);
    call->response.headers = readHeaders(evhttp_request_get_input_headers(request));
    if (!isFinalStatus(call->response.status) || !call->callbacks.onHeaders) {
        return 0;
    }
    const EvhttpScope scope(answeredOn->client->evhttpDepth_);
    const std::shared_ptr<Call> keptWhileCalled = call->shared_from_this();
    call->callbacks.onHeaders(call->response.status, call->response.headers);
    return answeredOn->call == nullptr ? -1 : 0;
}

void HttpClient::Impl::onAnswerData(evhttp_request *request, void *connection)
{
    auto *answeredOn = static_cast<Connection *>(connection);
    Call *call = answeredOn->call;
    if (call == nullptr) {
        return;
    }
    evbuffer *input = evhttp_request_get_input_buffer(request);
    const std::size_t size = evbuffer_get_length(input);
    const auto *data = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
    if (data == nullptr) {
        return;
    }
    const std::string_view piece(data, size);
    if (call->done) {
        call->response.body.append(piece);
        return;
    }
    if (call->callbacks.onData && isFinalStatus(call->response.status)) {
        const EvhttpScope scope(answeredOn->client->evhttpDepth_);
        const std::shared_ptr<Call> keptWhileCalled = call->shared_from_this();
        call->callbacks.onData(piece);
    }
}

void HttpClient::Impl::onAnswerError(evhttp_request_error error, void *connection)
{
    static_cast<Connection *>(connection)->error = error;
}

void HttpClient::Impl::onClosed(evhttp_connection * /*handle*/, void *connection)
{
    auto *closed = static_cast<Connection *>(connection);
    const bool wasClosed = std::exchange(closed->isClosed, true);
    const bool isIdle = closed->call == nullptr;
    if (!wasClosed && isIdle && closed->client != nullptr) {
        closed->client->discard(*closed);
    }
}

// The only place that tells whether a byte has left: evhttp drains unsent bytes when it gives a connection up, but
// with writing switched off; only the socket takes bytes while it is on.
void HttpClient::Impl::onOutputChange(evbuffer * /*buffer*/, const evbuffer_cb_info *info, void *connection)
{
    auto *changed = static_cast<Connection *>(connection);
    Call *call = changed->call;
    if (call == nullptr) {
        return;
    }
    if (info->n_added > 0) {
        evtimer_del(call->phaseTimer.get()); // Connected: evhttp writes no sooner.
    }
    const bool isWriting = (bufferevent_get_enabled(changed->stream()) & EV_WRITE) != 0;
    if (info->n_deleted > 0 && isWriting) {
        call->isSent = true;
    }
}

void HttpClient::Impl::onInputChange(evbuffer *buffer, const evbuffer_cb_info *info, void *connection)
{
    auto *changed = static_cast<Connection *>(connection);
    if (info->n_added > 0 && changed->client != nullptr) {
        const EvhttpScope scope(changed->client->evhttpDepth_);
        changed->client->received(*changed, evbuffer_get_length(buffer));
    }
}

void HttpClient::Impl::onOrphaned(evutil_socket_t /*fd*/, short /*what*/, void *connection)
{
    const std::unique_ptr<Connection> orphan(static_cast<Connection *>(connection));
}

HttpClient::HttpClient(event_base *loop, Options options) : impl_(std::make_unique<Impl>(loop, std::move(options))) {}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::send(Request request, std::function<void(Result<Response>)> done)
{
    return impl_->start(std::move(request), std::move(done), {});
}

HttpClient::CallId HttpClient::stream(Request request, StreamCallbacks callbacks)
{
    return impl_->start(std::move(request), {}, std::move(callbacks));
}

void HttpClient::cancel(CallId call)
{
    impl_->cancel(call);
}

void HttpClient::closeIdle()
{
    impl_->closeIdle();
}

} // namespace magnolia::http
