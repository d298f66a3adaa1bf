#ifndef MAGNOLIA_FORWARD_ANSWERWRITER_H
#define MAGNOLIA_FORWARD_ANSWERWRITER_H

#include "base/clock.h"
#include "http/messageparser.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/** A caller's request, whole. */
struct CallerRequest {
    http::MessageHead head;
    std::string body;
    BootTime receivedAt; ///< When its first byte came.
};

/** Where the answer to one request goes. One of the two ways is taken, once. */
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;

    virtual void sendAnswer(int status, const http::HeaderList &headers, std::string_view body) = 0;

    virtual void beginStream(int status, const http::HeaderList &headers) = 0;
    virtual void sendPiece(std::string_view piece) = 0;
    virtual void endStream() = 0;

    /** Closes the connection, so that the answer can't pass for whole. */
    virtual void abort() = 0;

    virtual std::size_t pendingBytes() const = 0; ///< Not taken by the caller yet.

    /** It has closed its connection, which is told by callerLeft() soon. */
    virtual bool hasCallerLeft() const = 0;
};

} // namespace magnolia::forward

#endif
