#ifndef MAGNOLIA_FORWARD_ANSWERWRITER_H
#define MAGNOLIA_FORWARD_ANSWERWRITER_H

#include "base/clock.h"
#include "http/messageparser.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/** A complete request of a caller. */
struct CallerRequest {
    http::MessageHead head;
    std::shared_ptr<const std::string> body{}; ///< Null if it has none.
    BootTime receivedAt; ///< When the first byte arrived.

    std::string_view bodyBytes() const
    {
        return body == nullptr ? std::string_view() : std::string_view(*body);
    }
};

/** Writes the answer to one request: either one call of sendAnswer(), or one stream. */
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;

    virtual void sendAnswer(int status, const http::HeaderList &headers, std::string body) = 0;

    virtual void beginStream(int status, const http::HeaderList &headers) = 0;
    virtual void sendPiece(std::string_view piece) = 0;
    virtual void endStream() = 0;

    /** Closes the connection, so that the caller can't take the answer for a complete one. */
    virtual void abort() = 0;

    virtual std::size_t pendingBytes() const = 0; ///< Bytes that the caller has not read yet.

    /** The caller has closed its connection; ForwardedRequest::onCallerLeft() follows soon. */
    virtual bool hasCallerLeft() const = 0;
};

} // namespace magnolia::forward

#endif
