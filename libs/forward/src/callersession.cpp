#include "callersession.h"

#include "http/errorbody.h"

#include <http_parser.h>
#include <spdlog/fmt/fmt.h>

#include <charconv>
#include <utility>

namespace magnolia::forward
{

namespace
{

constexpr int StatusBadRequest = 400;
constexpr int StatusRequestTimeout = 408;
constexpr int StatusTooLarge = 413;
constexpr int StatusHeadersTooLarge = 431;

// Bytes that a caller may send ahead of the answer to its request; then it is held back.
constexpr std::size_t MostBacklogBytes = 64U << 10U;

constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";

std::string_view reasonOf(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

const routing::CallerLimits &usualLimits()
{
    static const routing::CallerLimits limits;
    return limits;
}

} // namespace

CallerSession::CallerSession(ForwardCore &core, std::shared_ptr<http::Connection> connection, std::function<void(CallerSession *)> onEnd)
    : core_(core), connection_(std::move(connection)), onEnd_(std::move(onEnd)), timer_(core.loop, [this] { timerFired(); })
{
    core_.metrics.callers.add(1);
}

CallerSession::~CallerSession()
{
    core_.metrics.callers.add(-1);
    connection_->close();
    if (forwarding_ != nullptr) {
        forwarding_->callerLeft();
    }
}

void CallerSession::start()
{
    connection_->setCallbacks({
        .onData = [this](std::string_view bytes) { received(bytes); },
        .onEnd = [this](http::ConnectionEnd) { connectionEnded(); },
        .onDrained =
            [this] {
                if (forwarding_ != nullptr) {
                    forwarding_->callerDrained();
                }
            },
    });
    timer_.start(limits().idleTimeout);
}

const routing::CallerLimits &CallerSession::limits() const
{
    return core_.routes == nullptr ? usualLimits() : core_.routes->config().limits;
}

bool CallerSession::closeIfIdle()
{
    if (forwarding_ != nullptr || parser_.hasBegun() || !backlog_.empty()) {
        return false;
    }
    end();
    return true;
}

void CallerSession::received(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (forwarding_ != nullptr && backlog_.empty()) {
        backlogBegan_ = BootClock::now();
    }
    backlog_.append(bytes);
    if (forwarding_ != nullptr) {
        if (backlog_.size() > MostBacklogBytes) {
            connection_->setReading(false);
        }
        return;
    }
    parse();
}

void CallerSession::parse()
{
    while (forwarding_ == nullptr && !hasEnded_ && connection_->isOpen() && !backlog_.empty()) {
        if (!parser_.hasBegun()) {
            requestBegan_ = std::exchange(backlogBegan_, std::nullopt).value_or(BootClock::now());
            timer_.start(limits().headerTimeout);
        }
        const std::size_t taken = parser_.feed(backlog_, [this](std::string_view piece) { body_.append(piece); });
        backlog_.erase(0, taken);
        if (!parser_.hasHead() && parser_.headBytes() > limits().maxHeaderBytes) {
            refuseBroken(StatusHeadersTooLarge, "the headers are over the limit");
            return;
        }
        if (parser_.isBroken()) {
            refuseBroken(StatusBadRequest, "the bytes are no request");
            return;
        }
        if (parser_.hasHead() && !isHeadChecked_ && !takeHead()) {
            return;
        }
        if (body_.size() > limits().maxBodyBytes) {
            refuseBroken(StatusTooLarge, "the body is over the limit");
            return;
        }
        if (parser_.isComplete()) {
            backlogBegan_ = backlog_.empty() ? std::nullopt : std::optional(BootClock::now());
            takeRequest();
        }
    }
}

/** @return false if the request has been refused. */
bool CallerSession::takeHead()
{
    isHeadChecked_ = true;
    if (parser_.headBytes() > limits().maxHeaderBytes + body_.size() + backlog_.size()) {
        refuseBroken(StatusHeadersTooLarge, "the headers are over the limit");
        return false;
    }
    timer_.start(limits().idleTimeout); // For the body.
    const http::HeaderList &headers = parser_.head().headers;
    const std::string_view length = headers.value("content-length");
    std::size_t bytes = 0;
    std::from_chars(length.data(), length.data() + length.size(), bytes);
    if (bytes > limits().maxBodyBytes) {
        refuseBroken(StatusTooLarge, "the body is over the limit");
        return false;
    }
    if (http::equalsIgnoringCase(headers.value("expect"), "100-continue") && !parser_.isComplete()) {
        connection_->send(Continue);
    }
    return true;
}

void CallerSession::takeRequest()
{
    timer_.stop();
    CallerRequest request{.head = std::move(parser_.head()), .body = std::exchange(body_, {}), .receivedAt = requestBegan_};
    keepsAlive_ = request.head.keepAlive;
    isHead_ = request.head.method == "HEAD";
    isHeadChecked_ = false;
    parser_.reset();
    forwarding_ = std::make_shared<Forwarding>(core_, *this, std::move(request));
    const auto started = forwarding_;
    started->start();
}

void CallerSession::refuseBroken(int status, std::string_view reason)
{
    const Failure failure{.code = ErrorCode::BadInput, .verdict = Verdict::NotRun, .detail = std::string(reason), .retryAfter = {}};
    http::HeaderList headers;
    headers.add("Content-Type", "application/json");
    const std::string body = http::errorBody(failure);
    headers.add("Content-Length", std::to_string(body.size()));
    keepsAlive_ = false;
    connection_->send(headOf(status, headers) + body);
    core_.log.write({.requestId = parser_.head().headers.value(core_.options.protocol.requestId), .status = status, .outcome = "refused", .cause = reason});
    connection_->closeWhenSent();
    if (!connection_->isOpen()) {
        end();
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

void CallerSession::answer(int status, const http::HeaderList &headers, std::string_view body)
{
    keepsAlive_ = keepsAlive_ && !core_.isStopping;
    http::HeaderList framed = headers;
    framed.add("Content-Length", std::to_string(body.size()));
    std::string message = headOf(status, framed);
    if (!isHead_) {
        message.append(body);
    }
    connection_->send(message);
    answerEnded();
}

void CallerSession::beginStream(int status, const http::HeaderList &headers)
{
    keepsAlive_ = keepsAlive_ && !core_.isStopping;
    http::HeaderList framed = headers;
    framed.add("Transfer-Encoding", "chunked");
    streamHead_ = headOf(status, framed);
}

void CallerSession::sendPiece(std::string_view piece)
{
    std::string chunk = std::exchange(streamHead_, {});
    chunk.append(fmt::format("{:x}\r\n", piece.size())).append(piece).append("\r\n");
    connection_->send(chunk);
}

void CallerSession::endStream()
{
    connection_->send(std::exchange(streamHead_, {}) + "0\r\n\r\n");
    answerEnded();
}

void CallerSession::cut()
{
    const auto self = shared_from_this();
    forwarding_.reset();
    end();
}

std::size_t CallerSession::pendingBytes() const
{
    return connection_->pendingBytes();
}

bool CallerSession::hasCallerLeft() const
{
    return connection_->isClosedByPeer();
}

void CallerSession::answerEnded()
{
    const auto self = shared_from_this();
    forwarding_.reset();
    if (!keepsAlive_) {
        connection_->closeWhenSent();
        if (!connection_->isOpen()) {
            end();
        }
        return;
    }
    connection_->setReading(true);
    timer_.start(limits().idleTimeout);
    if (!backlog_.empty()) {
        parse();
    }
}

void CallerSession::connectionEnded()
{
    const auto self = shared_from_this();
    if (const auto left = std::exchange(forwarding_, nullptr)) {
        left->callerLeft();
    }
    end();
}

void CallerSession::timerFired()
{
    const auto self = shared_from_this();
    const bool isReading = parser_.hasBegun();
    if (isReading) {
        refuseBroken(StatusRequestTimeout, "the request did not come in time");
        return;
    }
    end();
}

void CallerSession::end()
{
    if (std::exchange(hasEnded_, true)) {
        return;
    }
    timer_.stop();
    connection_->close();
    if (const auto ended = std::exchange(onEnd_, nullptr)) {
        ended(this);
    }
}

} // namespace magnolia::forward
