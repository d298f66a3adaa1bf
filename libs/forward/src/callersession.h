#ifndef MAGNOLIA_FORWARD_CALLERSESSION_H
#define MAGNOLIA_FORWARD_CALLERSESSION_H

#include "answerwriter.h"
#include "forwardedrequest.h"
#include "http/connection.h"
#include "http/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/**
 * One connection of a caller: its requests one after the other, each answered before the next is read.
 *
 * Owned by shared_ptr by the task until onEnd. On its loop's thread.
 */
class CallerSession final : public AnswerWriter, public std::enable_shared_from_this<CallerSession>
{
public:
    /** @param onEnd called once, when the connection has gone; the session may be destroyed behind it. */
    CallerSession(ForwardContext &context, std::shared_ptr<http::Connection> connection, std::function<void(CallerSession *)> onEnd);
    ~CallerSession() override;
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    void start();

    /** Closes it now if no request is in progress or being read. @return true if it did. */
    bool closeIfIdle();

    bool isBusy() const
    {
        return activeRequest_ != nullptr;
    }

    void sendAnswer(int status, const http::HeaderList &headers, std::string_view body) override;
    void beginStream(int status, const http::HeaderList &headers) override;
    void sendPiece(std::string_view piece) override;
    void endStream() override;
    void abort() override;
    std::size_t pendingBytes() const override;
    bool hasCallerLeft() const override;

private:
    void onBytes(std::string_view bytes);
    void parse();
    bool checkHead();
    void startRequest();
    void rejectAndClose(int status, std::string_view reason);
    void finishAnswer();
    void onConnectionEnd();
    void onTimer();
    void close();
    std::string headOf(int status, const http::HeaderList &headers) const;
    const routing::CallerLimits &limits() const;

    ForwardContext &context_;
    std::shared_ptr<http::Connection> connection_;
    std::function<void(CallerSession *)> onEnd_;
    http::MessageParser parser_{http::MessageParser::Kind::Request};
    http::Timer timer_; ///< Of the head that is being read, or of idleness.
    std::string backlog_; ///< Received behind the request in progress.
    std::string body_;
    std::optional<BootTime> backlogSince_; ///< When its first byte came; nothing if it began while no request was in progress.
    BootTime requestSince_;
    bool isHeadChecked_ = false;
    bool isHead_ = false; ///< The request in progress is a HEAD.
    bool keepsAlive_ = true;
    bool isChunked_ = false; ///< The stream in progress is sent in chunks.
    bool hasEnded_ = false;
    std::string streamHead_; ///< Waits for the first piece, to leave with it in one write.
    std::shared_ptr<ForwardedRequest> activeRequest_;
};

} // namespace magnolia::forward

#endif
