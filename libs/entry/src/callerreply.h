#ifndef MAGNOLIA_ENTRY_CALLERREPLY_H
#define MAGNOLIA_ENTRY_CALLERREPLY_H

#include "entry/completion.h"
#include "entry/requesttracker.h"
#include "http/httpserver.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::entry
{

/** The form in which a caller gets the answer. */
enum class ReplyForm : std::uint8_t {
    EventStream, ///< A model's pieces as server-sent events.
    WholeCompletion, ///< A model's pieces put together.
    Bytes, ///< A service's body.
};

/** Writes one answer to one caller: pieces as they come, or gathered; then its one end. */
class CallerReply
{
public:
    struct Options {
        ReplyForm form = ReplyForm::Bytes;
        RequestId id;
        std::size_t maxWholeBytes = 16U << 20U; ///< Of an answer that is gathered here.
        std::size_t maxPendingBytes = 4U << 20U; ///< Of a stream that the caller doesn't take.
    };

    CallerReply(std::shared_ptr<http::Exchange> exchange, Options options);

    /** @return a failure if the answer outgrows its limit; it is then to be given up. */
    std::optional<ErrorCode> add(std::string_view data);

    void succeed(const Conclude &end);
    void fail(const Failure &failure);

    /** Asks the caller to close the connection after this answer, since this entry is leaving. */
    void closeAfterwards()
    {
        closeAfterwards_ = true;
    }

    bool hasBegun() const
    {
        return hasBegun_;
    }

private:
    http::Headers headersFor(Verdict verdict) const;
    std::optional<ErrorCode> addToStream(std::string_view data);
    std::optional<ErrorCode> gather(std::string_view data);
    void begin();
    void endStream(const Conclude &end);
    void replyGathered(const Conclude &end);

    std::shared_ptr<http::Exchange> exchange_;
    Options options_;
    Completion completion_;
    std::string gathered_; ///< A service's body, or what an engine said that is no piece of a completion.
    std::size_t gatheredBytes_ = 0;
    bool hasBegun_ = false;
    bool isTooLarge_ = false;
    bool closeAfterwards_ = false;
};

} // namespace magnolia::entry

#endif
