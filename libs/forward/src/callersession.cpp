#include "callersession.h"

#include "localanswer.h"
#include "observe/log.h"
#include "retryafter.h"
#include "statuscodes.h"

#include <http_parser.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace magnolia::forward
{

namespace
{

// Maximum number of bytes buffered while a request is in progress; beyond it reading from the caller is paused.
constexpr std::size_t MaxBacklogBytes = 64U << 10U;

// Limit on the requests of one caller that are started in one turn of the loop, so that a backlog of requests which are answered at once does not keep others
// waiting.
constexpr int MaxRequestsPerTurn = 16;

// With more bytes than this queued for the caller, no further request of it is started.
constexpr std::size_t MaxUnreadBytes = 256U << 10U;

// Memory is reserved for bodies that are larger. As much is buffered for any connection.
constexpr std::size_t MaxUnreservedBytes = MaxBacklogBytes;

// How long the rest of a rejected request is read and dropped. Many callers read nothing before they have sent it, and a close with unread bytes would be a
// reset, which may destroy the answer on its way.
constexpr Duration LingerTime{2000};

// While reading is paused, the loop does not tell that the caller has disconnected.
constexpr Duration CloseCheckInterval{100};

constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string_view reasonOf(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

const routing::CallerLimits &defaultLimits()
{
    static const routing::CallerLimits limits;
    return limits;
}

} // namespace

CallerSession::CallerSession(ForwardContext &context, std::shared_ptr<http::Connection> connection, std::function<void(CallerSession *)> onEnd)
    : context_(context)
    , connection_(std::move(connection))
    , onEnd_(std::move(onEnd))
    , timer_(context.loop, [this] { onTimer(); })
    , closeCheckTimer_(context.loop, [this] { checkForClose(); })
    , turnTimer_(context.loop, [this] { parse(); })
    , unreadAnswers_(context.unreadAnswers, [this] {
        // Not ended here, since the call may come from within one of this session's own.
        isGivenUp_ = true;
        unreadAnswers_.resize(0);
        closeCheckTimer_.start(Duration(0));
    })
{
    context_.metrics.callers.add(1);
}

CallerSession::~CallerSession()
{
    context_.metrics.callers.add(-1);
    connection_->close();
    if (activeRequest_ != nullptr) {
        activeRequest_->onCallerLeft();
    }
}

void CallerSession::start()
{
    connection_->setCallbacks({
        .onData = [this](std::string_view bytes) { onBytes(bytes); },
        .onEnd = [this](http::ConnectionEnd) { onConnectionEnd(); },
        .onDrained = [this] { onDrained(); },
    });
    timer_.start(limits().idleTimeout);
}

const routing::CallerLimits &CallerSession::limits() const
{
    return context_.routes == nullptr ? defaultLimits() : context_.routes->config().limits;
}

bool CallerSession::closeIfIdle()
{
    if (isBusy() || parser_.hasBegun() || !backlog_.empty()) {
        return false;
    }
    close();
    return true;
}

void CallerSession::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (isClosing_) {
        dropRest(bytes);
        return;
    }
    if (activeRequest_ != nullptr && backlog_.empty()) {
        backlogSince_ = BootClock::now();
    }
    backlog_.append(bytes);
    parse();
    updateReading();
}

/** Reads on unless the backlog is full, or the body in progress waits for memory. */
void CallerSession::updateReading()
{
    const bool isFull = backlog_.size() > MaxBacklogBytes;
    connection_->setReading(!isFull && !isWaitingForMemory_);
    if (isFull) {
        closeCheckTimer_.start(CloseCheckInterval);
    }
}

/** Accounts for what the caller has not taken. */
void CallerSession::countUnread()
{
    if (!isGivenUp_) {
        unreadAnswers_.resize(pendingBytes());
    }
}

void CallerSession::onDrained()
{
    countUnread();
    if (activeRequest_ != nullptr) {
        activeRequest_->onCallerDrained();
    } else {
        parse();
    }
}

void CallerSession::checkForClose()
{
    if (isGivenUp_) {
        observe::logger("forward")->warn("Answers that callers don't read fill their memory, connection closed unread_bytes={}", pendingBytes());
        context_.metrics.unreadGivenUp.add();
        onConnectionEnd();
        return;
    }
    if (activeRequest_ == nullptr || !connection_->isOpen()) {
        return;
    }
    if (connection_->isClosedByPeer()) {
        onConnectionEnd();
        return;
    }
    closeCheckTimer_.start(CloseCheckInterval);
}

/** Starts the requests of the backlog. Not recursive, although requests that are answered at once end within startRequest(). */
void CallerSession::parse()
{
    if (isParsing_) {
        return;
    }
    const auto self = shared_from_this();
    isParsing_ = true;
    int started = 0;
    while (mayParse() && started < MaxRequestsPerTurn) {
        started += parseNext() ? 1 : 0;
    }
    isParsing_ = false;
    if (mayParse()) {
        turnTimer_.start(Duration(0));
    }
}

bool CallerSession::mayParse() const
{
    const bool isServing = !isClosing_ && !hasEnded_ && !isWaitingForMemory_ && connection_->isOpen();
    return isServing && activeRequest_ == nullptr && !backlog_.empty() && connection_->pendingBytes() <= MaxUnreadBytes;
}

/** @return true if a request was started. */
bool CallerSession::parseNext()
{
    if (!parser_.hasBegun()) {
        requestSince_ = std::exchange(backlogSince_, std::nullopt).value_or(BootClock::now());
        timer_.start(limits().headerTimeout);
    }
    const std::size_t taken = parser_.feed(backlog_, [this](std::string_view piece) { appendBody(piece); });
    backlog_.erase(0, taken);
    if (!parser_.hasHead() && parser_.headBytes() > limits().maxHeaderBytes) {
        rejectAndClose(StatusHeadersTooLarge, "the headers are over the limit");
        return false;
    }
    if (parser_.isBroken()) {
        parser_.isUnsupported() ? rejectAndClose(StatusNotImplemented, "the end of the request can't be told")
                                : rejectAndClose(StatusBadRequest, "the bytes are no request");
        return false;
    }
    if (parser_.hasHead() && !isHeadChecked_ && !checkHead()) {
        return false;
    }
    if (bodyBytes() > limits().maxBodyBytes) {
        rejectAndClose(StatusTooLarge, "the body is over the limit");
        return false;
    }
    if (!parser_.isComplete()) {
        if (needsReservation()) {
            reserveBody();
        }
        return false;
    }
    backlogSince_ = backlog_.empty() ? std::nullopt : std::optional(BootClock::now());
    startRequest();
    return true;
}

/** Checks the head against the limits. @return false if the request was rejected. */
bool CallerSession::checkHead()
{
    isHeadChecked_ = true;
    if (parser_.headBytes() > limits().maxHeaderBytes) {
        rejectAndClose(StatusHeadersTooLarge, "the headers are over the limit");
        return false;
    }
    timer_.start(limits().idleTimeout); // For the body.
    const http::HeaderList &headers = parser_.head().headers;
    const std::string_view length = headers.value("content-length");
    std::size_t bytes = 0;
    std::from_chars(length.data(), length.data() + length.size(), bytes);
    if (bytes > limits().maxBodyBytes) {
        rejectAndClose(StatusTooLarge, "the body is over the limit");
        return false;
    }
    statedBodyBytes_ = bytes;
    if (!parser_.isComplete() && !needsReservation()) {
        readBody();
    }
    return true;
}

void CallerSession::appendBody(std::string_view piece)
{
    if (body_ == nullptr) {
        body_ = std::make_shared<RequestBody>();
    }
    body_->bytes.append(piece);
}

std::size_t CallerSession::bodyBytes() const
{
    return body_ == nullptr ? 0 : body_->bytes.size();
}

/** Whether memory has to be reserved before more of the body is read. */
bool CallerSession::needsReservation() const
{
    const bool isReserved = body_ != nullptr && body_->share != nullptr;
    return !isReserved && parser_.hasHead() && std::max(statedBodyBytes_, bodyBytes()) > MaxUnreservedBytes;
}

/** Reserves memory for the whole body, or for the largest one if its length is not stated. */
void CallerSession::reserveBody()
{
    if (body_ == nullptr) {
        body_ = std::make_shared<RequestBody>();
    }
    body_->share = std::make_unique<BodyBudget::Share>(context_.bodyBudget, [this] { onBodyGranted(); });
    switch (body_->share->reserve(statedBodyBytes_ > 0 ? statedBodyBytes_ : limits().maxBodyBytes)) {
    case BodyBudget::Outcome::Granted:
        readBody();
        break;
    case BodyBudget::Outcome::Waits:
        context_.metrics.bodiesDelayed.add();
        isWaitingForMemory_ = true;
        timer_.start(MaxBodyWait);
        updateReading();
        break;
    case BodyBudget::Outcome::Denied:
        rejectBody();
        break;
    }
}

void CallerSession::onBodyGranted()
{
    isWaitingForMemory_ = false;
    timer_.start(limits().idleTimeout);
    readBody();
    updateReading();
    turnTimer_.start(Duration(0));
}

/** Prepares for the rest of the body, which the caller may send now. */
void CallerSession::readBody()
{
    if (statedBodyBytes_ > MaxUnreservedBytes) {
        body_->bytes.reserve(statedBodyBytes_); // Otherwise it takes up to three times its size while it grows.
    }
    if (bodyBytes() == 0 && http::equalsIgnoringCase(parser_.head().headers.value("expect"), "100-continue")) {
        connection_->send(Continue);
    }
}

void CallerSession::rejectBody()
{
    context_.metrics.bodiesDenied.add();
    rejectAndClose(StatusUnavailable, "there is no memory for the body", RetryAfterBodies);
}

void CallerSession::startRequest()
{
    timer_.stop();
    const auto body = std::exchange(body_, nullptr);
    if (body != nullptr && body->share != nullptr) {
        body->share->shrink(body->bytes.size());
    }
    CallerRequest request{.head = std::move(parser_.head()), .receivedAt = requestSince_};
    if (body != nullptr) {
        request.body = std::shared_ptr<const std::string>(body, &body->bytes);
    }
    keepsAlive_ = request.head.keepAlive;
    isHead_ = request.head.method == "HEAD";
    isHeadChecked_ = false;
    statedBodyBytes_ = 0;
    parser_.reset();
    activeRequest_ = std::make_shared<ForwardedRequest>(context_, *this, std::move(request));
    const auto started = activeRequest_;
    started->start();
}

void CallerSession::rejectAndClose(int status, std::string_view reason, std::optional<Duration> retryAfter)
{
    const std::string requestId(parser_.head().headers.value(context_.options.protocol.requestId));
    const LocalAnswer answer{.status = status, .retryAfter = retryAfter, .cause = reason, .requestId = requestId};
    const std::string body = bodyOf(answer);
    http::HeaderList headers = headersOf(answer, context_.options.protocol);
    headers.add("Content-Length", std::to_string(body.size()));
    keepsAlive_ = false;
    isWaitingForMemory_ = false;
    body_.reset();
    connection_->send(headOf(status, headers) + body);
    context_.log.logEnd({.requestId = requestId, .status = status, .outcome = "refused", .cause = reason});
    if (parser_.hasHead() && !parser_.isBroken()) {
        closeAfterRest();
    } else {
        closeAfterAnswer();
    }
}

std::string CallerSession::headOf(int status, const http::HeaderList &headers) const
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head.append(reasonOf(status)).append("\r\n");
    headers.appendTo(head);
    if (!keepsAlive_) {
        head.append("Connection: close\r\n");
    }
    head.append("\r\n");
    return head;
}

void CallerSession::sendAnswer(int status, const http::HeaderList &headers, std::string body)
{
    keepsAlive_ = keepsAlive_ && !context_.isStopping;
    http::HeaderList framed = headers;
    framed.add("Content-Length", std::to_string(body.size()));
    const auto sent = isHead_ ? nullptr : std::make_shared<const std::string>(std::move(body));
    connection_->send(headOf(status, framed), sent);
    countUnread();
    finishAnswer();
}

void CallerSession::beginStream(int status, const http::HeaderList &headers)
{
    keepsAlive_ = keepsAlive_ && !context_.isStopping;
    http::HeaderList framed = headers;
    framed.add("Transfer-Encoding", "chunked");
    streamHead_ = headOf(status, framed);
}

void CallerSession::sendPiece(std::string_view piece)
{
    std::string chunk = std::exchange(streamHead_, {});
    chunk.append(fmt::format("{:x}\r\n", piece.size())).append(piece).append("\r\n");
    connection_->send(chunk);
    countUnread();
}

void CallerSession::endStream()
{
    connection_->send(std::exchange(streamHead_, {}) + "0\r\n\r\n");
    countUnread();
    finishAnswer();
}

void CallerSession::abort()
{
    const auto self = shared_from_this();
    activeRequest_.reset();
    close();
}

std::size_t CallerSession::pendingBytes() const
{
    return connection_->pendingBytes();
}

bool CallerSession::hasCallerLeft() const
{
    return connection_->isClosedByPeer();
}

void CallerSession::finishAnswer()
{
    const auto self = shared_from_this();
    activeRequest_.reset();
    if (!keepsAlive_) {
        closeAfterAnswer();
        return;
    }
    waitWhileIdle();
    parse();
    updateReading();
}

/** Ends the session once the caller has taken the last answer, or has stopped taking it. */
void CallerSession::closeAfterAnswer()
{
    isClosing_ = true;
    backlog_ = {};
    connection_->closeWhenSent();
    if (!connection_->isOpen()) {
        close();
        return;
    }
    waitWhileIdle();
}

/** Ends the session once the caller has sent the rest of its request, which is dropped. */
void CallerSession::closeAfterRest()
{
    isClosing_ = true;
    isDroppingRest_ = true;
    connection_->setReading(true);
    timer_.start(LingerTime);
    dropRest(std::exchange(backlog_, {}));
}

void CallerSession::dropRest(std::string_view bytes)
{
    if (!isDroppingRest_) {
        return;
    }
    parser_.feed(bytes, [](std::string_view) {});
    if (parser_.isComplete() || parser_.isBroken()) {
        isDroppingRest_ = false;
        closeAfterAnswer();
    }
}

void CallerSession::waitWhileIdle()
{
    unacknowledgedBytes_ = pendingBytes() > 0 ? connection_->unacknowledgedBytes() : 0;
    timer_.start(limits().idleTimeout);
}

void CallerSession::onConnectionEnd()
{
    const auto self = shared_from_this();
    if (const auto request = std::exchange(activeRequest_, nullptr)) {
        request->onCallerLeft();
    }
    close();
}

void CallerSession::onTimer()
{
    const auto self = shared_from_this();
    if (isWaitingForMemory_) {
        rejectBody();
        return;
    }
    const bool isReading = parser_.hasBegun() && !isClosing_;
    if (isReading) {
        rejectAndClose(StatusRequestTimeout, "the request did not come in time");
        return;
    }
    if (pendingBytes() > 0 && connection_->unacknowledgedBytes() < unacknowledgedBytes_) {
        waitWhileIdle(); // The caller takes its answer, slowly.
        return;
    }
    if (pendingBytes() > 0) {
        observe::logger("forward")->info("Caller stopped reading its answer, connection closed unread_bytes={}", pendingBytes());
    }
    close();
}

void CallerSession::close()
{
    if (std::exchange(hasEnded_, true)) {
        return;
    }
    timer_.stop();
    closeCheckTimer_.stop();
    turnTimer_.stop();
    connection_->close();
    if (const auto onEnd = std::exchange(onEnd_, nullptr)) {
        onEnd(this);
    }
}

} // namespace magnolia::forward
