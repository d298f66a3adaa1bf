#include "endpointcall.h"

#include <charconv>
#include <utility>

namespace magnolia::forward
{

namespace
{

constexpr int FirstFinalStatus = 200;
constexpr int FirstRedirectStatus = 300;

// How long an endpoint keeps an idle connection if it does not say.
constexpr Duration UsualKeep{4000};

// An endpoint closes an idle connection at the end of the time that it states. A request that crosses that close may have
// run as far as can be told from here, so the connection is given up before.
constexpr Duration KeepMargin{1000};

Duration keepTime(const http::HeaderList &headers)
{
    const std::string_view value = headers.value("keep-alive");
    constexpr std::string_view Field = "timeout=";
    const std::size_t at = value.find(Field);
    if (at == std::string_view::npos) {
        return UsualKeep - KeepMargin;
    }
    const std::string_view digits = value.substr(at + Field.size());
    std::int64_t seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds) - KeepMargin;
}

} // namespace

std::string_view toString(CallEnd end)
{
    switch (end) {
    case CallEnd::Whole:
        return "whole";
    case CallEnd::NotSent:
        return "not-sent";
    case CallEnd::Lost:
        return "lost";
    case CallEnd::Spoilt:
        return "spoilt";
    }
    return "spoilt";
}

EndpointCall::EndpointCall(Options options, Callbacks callbacks) : options_(std::move(options)), callbacks_(std::move(callbacks)) {}

EndpointCall::~EndpointCall()
{
    cancel();
}

bool EndpointCall::start()
{
    const routing::EndpointRecord &record = options_.endpoint->record;
    connection_ = options_.connections->take(record.id, options_.longestIdle);
    isKept_ = connection_ != nullptr;
    if (!isKept_) {
        const auto address = http::SocketAddress::parse(record.address);
        connection_ = address ? http::Connection::dial(options_.loop, *address) : nullptr;
    }
    if (connection_ == nullptr) {
        return false;
    }
    connection_->setCallbacks({
        .onData = [this](std::string_view bytes) { received(bytes); },
        .onEnd = [this](http::ConnectionEnd end) { connectionEnded(end); },
    });
    if (options_.isHead) {
        parser_.expectNoBody();
    }
    connection_->send(options_.message);
    return true;
}

void EndpointCall::cancel()
{
    if (connection_ != nullptr) {
        // A request that waits in a buffer, e.g. for a lost packet to be sent again, would else reach the endpoint later.
        connection_->reset();
        connection_.reset();
    }
}

void EndpointCall::setReading(bool enabled)
{
    if (connection_ != nullptr) {
        connection_->setReading(enabled);
    }
}

bool EndpointCall::isConnected() const
{
    return connection_ != nullptr && connection_->isConnected();
}

bool EndpointCall::hasSent() const
{
    // A kept connection has sent earlier requests; whether this one left can't be told apart, so it counts as sent.
    return connection_ == nullptr || isKept_ || connection_->hasSent();
}

void EndpointCall::received(std::string_view bytes)
{
    const auto self = shared_from_this();
    while (connection_ != nullptr && !bytes.empty()) {
        const bool hadHead = parser_.hasHead();
        std::string early; // Body bytes that came with the head, which has to be handed on first.
        const std::size_t taken = parser_.feed(bytes, [this, hadHead, &early](std::string_view piece) {
            if (!hadHead) {
                early.append(piece);
            } else if (!isSkipping_ && connection_ != nullptr) {
                callbacks_.onBody(piece);
            }
        });
        if (connection_ == nullptr) {
            return; // Cancelled from within a callback.
        }
        bytes.remove_prefix(taken);
        if (parser_.isBroken()) {
            conclude(CallEnd::Spoilt);
            return;
        }
        if (!hadHead && parser_.hasHead()) {
            if (!takeHead()) {
                return;
            }
            if (!early.empty() && !isSkipping_) {
                callbacks_.onBody(early);
            }
        }
        if (connection_ != nullptr && parser_.isComplete()) {
            messageEnded(bytes);
        }
    }
}

/** @return false if the call has ended. */
bool EndpointCall::takeHead()
{
    http::MessageHead &head = parser_.head();
    if (head.status < FirstFinalStatus) {
        isSkipping_ = true;
        return true;
    }
    const std::string *id = head.headers.find(options_.protocol->requestId);
    const bool isSuccess = head.status < FirstRedirectStatus;
    if (id != nullptr && *id != options_.requestId) {
        // Left over from an earlier request on this connection. Its bytes are skipped; ours may follow.
        isSkipping_ = true;
        isDoubtful_ = true;
        return true;
    }
    if (id == nullptr && isSuccess) {
        conclude(CallEnd::Spoilt); // It can't be told whose it is.
        return false;
    }
    hasAnswer_ = true;
    callbacks_.onHead(head);
    return connection_ != nullptr;
}

void EndpointCall::messageEnded(std::string_view surplus)
{
    if (isSkipping_) {
        isSkipping_ = false;
        parser_.reset();
        if (options_.isHead) {
            parser_.expectNoBody();
        }
        return;
    }
    const bool isAllSent = connection_->pendingBytes() == 0;
    release(parser_.head().keepAlive && !isDoubtful_ && surplus.empty() && isAllSent);
    callbacks_.onEnd(CallEnd::Whole);
}

void EndpointCall::connectionEnded(http::ConnectionEnd end)
{
    const auto self = shared_from_this();
    if (end == http::ConnectionEnd::Refused) {
        conclude(CallEnd::NotSent);
        return;
    }
    if (end == http::ConnectionEnd::Closed && hasAnswer_ && parser_.finish()) {
        conclude(CallEnd::Whole);
        return;
    }
    conclude(CallEnd::Lost);
}

void EndpointCall::conclude(CallEnd end)
{
    release(false);
    callbacks_.onEnd(end);
}

void EndpointCall::release(bool isReusable)
{
    const auto connection = std::exchange(connection_, nullptr);
    if (connection == nullptr) {
        return;
    }
    const Duration keepFor = isReusable ? keepTime(parser_.head().headers) : Duration(0);
    if (keepFor.count() > 0 && options_.endpoint->acceptsRequests()) {
        options_.connections->keep(options_.endpoint->record.id, connection, keepFor);
    } else {
        connection->close();
    }
}

} // namespace magnolia::forward
