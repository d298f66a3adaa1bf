#include "callerreply.h"

#include "entry/erroranswer.h"

#include <fmt/format.h>

#include <optional>

namespace magnolia::entry
{

namespace
{

constexpr int StatusOk = 200;
constexpr std::uint32_t FirstErrorStatus = 400;
constexpr std::string_view EndOfStream = "data: [DONE]\n\n";
constexpr std::string_view EndMark = "[DONE]";

/** A piece with line breaks would end its event early; each of its lines becomes a data line, as the standard has it. */
std::string eventOf(std::string_view data)
{
    std::string event;
    event.reserve(data.size() + 8);
    while (true) {
        const std::size_t end = data.find('\n');
        event += "data: ";
        event += data.substr(0, end);
        event += '\n';
        if (end == std::string_view::npos) {
            break;
        }
        data.remove_prefix(end + 1);
    }
    event += '\n';
    return event;
}

} // namespace

CallerReply::CallerReply(std::shared_ptr<http::Exchange> exchange, Options options) : exchange_(std::move(exchange)), options_(options) {}

http::Headers CallerReply::headersFor(Verdict verdict) const
{
    http::Headers headers = answerHeaders(options_.id, verdict);
    if (closeAfterwards_) {
        headers["connection"] = "close";
    }
    return headers;
}

void CallerReply::begin()
{
    // A first piece is the proof that the request runs.
    http::Headers headers = headersFor(Verdict::Ran);
    headers["content-type"] = "text/event-stream";
    headers["cache-control"] = "no-cache";
    exchange_->beginStream(StatusOk, headers);
    hasBegun_ = true;
    if (!gathered_.empty()) {
        exchange_->sendPiece(eventOf(gathered_));
    }
}

std::optional<ErrorCode> CallerReply::add(std::string_view data)
{
    if (options_.form != ReplyForm::Bytes && data == EndMark) {
        return std::nullopt;
    }
    return options_.form == ReplyForm::EventStream ? addToStream(data) : gather(data);
}

std::optional<ErrorCode> CallerReply::addToStream(std::string_view data)
{
    if (!hasBegun_ && gathered_.empty() && !isCompletionPiece(data)) {
        // An engine that refuses says so in its one piece, and its status comes after it. Were the stream begun now, the
        // caller would get 200 and the error as a piece of the answer.
        return gather(data);
    }
    if (!hasBegun_) {
        begin();
    }
    exchange_->sendPiece(eventOf(data));
    // A caller that takes its answer more slowly than it is made would fill this process's memory.
    if (exchange_->pendingBytes() > options_.maxPendingBytes) {
        return ErrorCode::Cancelled;
    }
    return std::nullopt;
}

std::optional<ErrorCode> CallerReply::gather(std::string_view data)
{
    gatheredBytes_ += data.size();
    if (gatheredBytes_ > options_.maxWholeBytes) {
        isTooLarge_ = true;
        return ErrorCode::TooLarge;
    }
    const bool isPiece = options_.form == ReplyForm::WholeCompletion && completion_.add(data);
    if (!isPiece) {
        gathered_ += data;
    }
    return std::nullopt;
}

void CallerReply::succeed(const Conclude &end)
{
    const bool isError = end.status >= FirstErrorStatus;
    if (isTooLarge_) {
        fail({.code = ErrorCode::TooLarge, .verdict = Verdict::Ran, .detail = "the answer is too large", .retryAfter = {}});
    } else if (options_.form == ReplyForm::EventStream && (hasBegun_ || !isError)) {
        endStream(end);
    } else if (options_.form == ReplyForm::Bytes || isError) {
        replyGathered(end);
    } else if (!gathered_.empty()) {
        fail({.code = ErrorCode::EndpointError, .verdict = Verdict::Ran, .detail = "the endpoint's answer is no chat completion", .retryAfter = {}});
    } else {
        http::Headers headers = headersFor(end.verdict);
        headers["content-type"] = "application/json";
        exchange_->reply(StatusOk, headers, completion_.toJson());
    }
}

void CallerReply::endStream(const Conclude &end)
{
    if (end.status >= FirstErrorStatus) {
        fail({.code = ErrorCode::EndpointError, .verdict = Verdict::Ran, .detail = "the endpoint refused to go on", .retryAfter = {}});
        return;
    }
    if (!hasBegun_) {
        begin();
    }
    exchange_->sendPiece(EndOfStream);
    exchange_->endStream();
}

void CallerReply::replyGathered(const Conclude &end)
{
    http::Headers headers = headersFor(end.verdict);
    if (end.replayed) {
        headers["idempotent-replayed"] = "true";
    }
    if (!end.contentType.empty()) {
        headers["content-type"] = end.contentType;
    }
    exchange_->reply(end.status == 0 ? StatusOk : static_cast<int>(end.status), headers, gathered_);
}

void CallerReply::fail(const Failure &failure)
{
    if (hasBegun_ && failure.code == ErrorCode::Cancelled) {
        exchange_->abort();
        return;
    }
    if (hasBegun_) {
        exchange_->sendPiece(fmt::format("event: error\n{}", eventOf(errorObject(failure, options_.id))));
        exchange_->endStream();
        return;
    }
    HttpAnswer answer = errorAnswer(failure, options_.id);
    if (closeAfterwards_) {
        answer.headers["connection"] = "close";
    }
    exchange_->reply(answer.status, answer.headers, answer.body);
}

} // namespace magnolia::entry
