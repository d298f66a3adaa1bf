#include "endpointattempt.h"

#include "http/statuscode.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace magnolia::forward
{

namespace
{

constexpr int SwitchingProtocols = 101;
constexpr int FirstRedirectStatus = 300;

// Keep-alive time of an endpoint that does not state one.
constexpr Duration DefaultKeepAlive{4000};

// Limit on the keep-alive time that an endpoint may state.
constexpr std::chrono::seconds MaxKeepAlive{3600};

// An endpoint closes an idle connection when its stated keep-alive time ends. If a request is on its way at that moment, it
// is unknown whether it ran, so the connection is closed this much earlier.
constexpr Duration KeepAliveMargin{1000};

// Limit on what precedes the end of an answer's head: interim answers, and late answers to earlier requests.
constexpr std::size_t MaxBytesBeforeAnswer = 1U << 20U;

Duration keepAliveOf(const http::HeaderList &headers)
{
    const std::string_view value = headers.value("keep-alive");
    constexpr std::string_view Field = "timeout=";
    const std::size_t at = value.find(Field);
    if (at == std::string_view::npos) {
        return DefaultKeepAlive - KeepAliveMargin;
    }
    const std::string_view digits = value.substr(at + Field.size());
    std::int64_t seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::clamp(std::chrono::seconds(seconds), std::chrono::seconds(0), MaxKeepAlive) - KeepAliveMargin;
}

/** Whether the text contains the status line of an answer, such as "HTTP/1.1 503". */
bool containsStatusLine(std::string_view text)
{
    constexpr std::string_view Begin = "HTTP/1.";
    constexpr std::string_view Form = "0 000"; // Minor version and status; 0 stands for any digit.
    const auto isLike = [](char character, char wanted) { return wanted == '0' ? character >= '0' && character <= '9' : character == wanted; };
    for (std::size_t at = text.find(Begin); at != std::string_view::npos; at = text.find(Begin, at + 1)) {
        const std::string_view rest = text.substr(at + Begin.size());
        const bool isWhole = rest.size() == Form.size() || (rest.size() > Form.size() && rest[Form.size()] == ' ');
        if (isWhole && std::equal(Form.begin(), Form.end(), rest.begin(), [&](char wanted, char character) { return isLike(character, wanted); })) {
            return true;
        }
    }
    return false;
}

/** Whether the head consists of the remains of one answer and another one: it contains a second status line, or names two requests. */
bool isOfTwoAnswers(const http::MessageHead &head, std::string_view requestId)
{
    const std::string *first = head.headers.find(requestId);
    const auto &fields = head.headers.fields();
    return containsStatusLine(head.reason) || std::any_of(fields.begin(), fields.end(), [&](const http::HeaderField &field) {
               return containsStatusLine(field.value) || (http::equalsIgnoringCase(field.name, requestId) && field.value != *first);
           });
}

} // namespace

std::string_view toString(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Complete:
        return "whole";
    case AttemptEnd::NotSent:
        return "not-sent";
    case AttemptEnd::Withdrawn:
        return "withdrawn";
    case AttemptEnd::ConnectionLost:
        return "lost";
    case AttemptEnd::Invalid:
        return "spoilt";
    case AttemptEnd::Endless:
        return "endless";
    }
    return "spoilt";
}

EndpointAttempt::EndpointAttempt(Options options, Callbacks callbacks) : options_(std::move(options)), callbacks_(std::move(callbacks)) {}

EndpointAttempt::~EndpointAttempt()
{
    cancel();
}

bool EndpointAttempt::start()
{
    const routing::EndpointRecord &record = options_.endpoint->record;
    const bool isMatchedById = !options_.requestId.empty();
    connection_ = isMatchedById ? options_.connections->take(record.id, options_.maxIdle, options_.excluded) : nullptr;
    isReused_ = connection_ != nullptr;
    if (!isReused_) {
        const auto address = http::SocketAddress::parse(record.address);
        connection_ = address ? http::Connection::dial(options_.loop, *address) : nullptr;
    }
    if (connection_ == nullptr) {
        return false;
    }
    chosenConnection_ = connection_;
    connection_->setCallbacks({
        .onConnected = [this] { onConnected(); },
        .onData = [this](std::string_view bytes) { onBytes(bytes); },
        .onEnd = [this](http::ConnectionEnd end) { onConnectionEnd(end); },
    });
    if (options_.isHead) {
        parser_.expectNoBody();
    }
    if (connection_->isConnected()) {
        connection_->send(options_.head, options_.body);
    }
    return true;
}

/** Sends the request, unless the endpoint has stopped accepting requests while the connection was being established. */
void EndpointAttempt::onConnected()
{
    const auto self = shared_from_this();
    if (!options_.endpoint->acceptsRequests() || options_.endpoint->stated->availability.isResting(BootClock::now())) {
        finish(AttemptEnd::Withdrawn);
        return;
    }
    connection_->send(options_.head, options_.body);
}

void EndpointAttempt::cancel()
{
    if (connection_ != nullptr) {
        hasSent_ = hasSent();
        // Without a reset, a request still in a send buffer, e.g. waiting for a retransmission, would reach the endpoint later.
        connection_->reset();
        connection_.reset();
    }
}

void EndpointAttempt::setReading(bool enabled)
{
    if (connection_ != nullptr) {
        connection_->setReading(enabled);
    }
}

bool EndpointAttempt::isConnected() const
{
    return connection_ != nullptr && connection_->isConnected();
}

bool EndpointAttempt::hasSent() const
{
    // On a reused connection the bytes of this request can't be told from those of earlier ones, so it counts as sent.
    return hasSent_ || isReused_ || (connection_ != nullptr && connection_->hasSent());
}

void EndpointAttempt::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    while (connection_ != nullptr && !bytes.empty()) {
        const bool hadHead = parser_.hasHead();
        std::string early; // Body bytes received together with the head; onHead has to be called before onBody.
        const std::size_t taken = parser_.feed(bytes, [this, hadHead, &early](std::string_view piece) {
            if (!hadHead) {
                early.append(piece);
            } else if (!isSkipping_ && connection_ != nullptr) {
                callbacks_.onBody(piece);
            }
        });
        if (connection_ == nullptr) {
            return; // Cancelled by the callback.
        }
        bytes.remove_prefix(taken);
        bytesBeforeAnswer_ += hasAnswer_ ? 0 : taken;
        if (parser_.isBroken()) {
            finish(AttemptEnd::Invalid);
            return;
        }
        if (bytesBeforeAnswer_ > MaxBytesBeforeAnswer) {
            finish(AttemptEnd::Endless);
            return;
        }
        if (!hadHead && parser_.hasHead()) {
            if (!handleHead()) {
                return;
            }
            if (!early.empty() && !isSkipping_) {
                callbacks_.onBody(early);
            }
        }
        if (connection_ != nullptr && parser_.isComplete()) {
            onMessageEnd(bytes);
        }
    }
}

/** @return false if the attempt has ended. */
bool EndpointAttempt::handleHead()
{
    http::MessageHead &head = parser_.head();
    if (head.status == SwitchingProtocols) {
        finish(AttemptEnd::Invalid); // No request asks for another protocol, and what follows is none of HTTP.
        return false;
    }
    if (!http::isFinalStatus(head.status)) {
        isSkipping_ = true;
        return true;
    }
    if (isOfTwoAnswers(head, options_.protocol->requestId)) {
        finish(AttemptEnd::Invalid);
        return false;
    }
    const std::string *id = head.headers.find(options_.protocol->requestId);
    isAnswerNamed_ = id == nullptr ? options_.requestId.empty() : *id == options_.requestId;
    const bool isForOther = !isAnswerNamed_ && id != nullptr;
    if (isForOther || (!isAnswerNamed_ && isReused_)) {
        // Probably left over from an earlier request on this connection: the answer to this request may follow.
        isSkipping_ = true;
        mustClose_ = true;
        callbacks_.onSkipped(head);
        return true;
    }
    const bool isSuccess = head.status < FirstRedirectStatus;
    if (!isAnswerNamed_ && isSuccess) {
        finish(AttemptEnd::Invalid); // A successful answer without an id can't be matched to this request.
        return false;
    }
    hasAnswer_ = true;
    callbacks_.onHead(head);
    return connection_ != nullptr;
}

void EndpointAttempt::onMessageEnd(std::string_view trailing)
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
    releaseConnection(parser_.head().keepAlive && isAnswerNamed_ && !mustClose_ && trailing.empty() && isAllSent);
    callbacks_.onEnd(AttemptEnd::Complete);
}

void EndpointAttempt::onConnectionEnd(http::ConnectionEnd end)
{
    const auto self = shared_from_this();
    if (end == http::ConnectionEnd::Refused) {
        finish(AttemptEnd::NotSent);
        return;
    }
    if (end == http::ConnectionEnd::Closed && hasAnswer_ && parser_.finish()) {
        finish(AttemptEnd::Complete);
        return;
    }
    finish(AttemptEnd::ConnectionLost);
}

void EndpointAttempt::finish(AttemptEnd end)
{
    releaseConnection(false);
    callbacks_.onEnd(end);
}

void EndpointAttempt::releaseConnection(bool isReusable)
{
    hasSent_ = hasSent();
    const auto connection = std::exchange(connection_, nullptr);
    if (connection == nullptr) {
        return;
    }
    const Duration keepFor = isReusable ? keepAliveOf(parser_.head().headers) : Duration(0);
    if (keepFor.count() > 0 && options_.endpoint->acceptsRequests()) {
        options_.connections->put(options_.endpoint->record.id, connection, keepFor);
    } else {
        connection->close();
    }
}

} // namespace magnolia::forward
