#ifndef MAGNOLIA_FORWARD_CALLERSESSION_H
#define MAGNOLIA_FORWARD_CALLERSESSION_H

#include "answersink.h"
#include "forwarding.h"
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
class CallerSession final : public AnswerSink, public std::enable_shared_from_this<CallerSession>
{
public:
    /** @param onEnd called once, when the connection has gone; the session may be destroyed behind it. */
    CallerSession(ForwardCore &core, std::shared_ptr<http::Connection> connection, std::function<void(CallerSession *)> onEnd);
    ~CallerSession() override;
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    void start();

    /** Closes it now if no request is in progress or being read. @return true if it did. */
    bool closeIfIdle();

    bool isBusy() const
    {
        return forwarding_ != nullptr;
    }

    void answer(int status, const http::HeaderList &headers, std::string_view body) override;
    void beginStream(int status, const http::HeaderList &headers) override;
    void sendPiece(std::string_view piece) override;
    void endStream() override;
    void cut() override;
    std::size_t pendingBytes() const override;
    bool hasCallerLeft() const override;

private:
    void received(std::string_view bytes);
    void parse();
    bool takeHead();
    void takeRequest();
    void refuseBroken(int status, std::string_view reason);
    void answerEnded();
    void connectionEnded();
    void timerFired();
    void end();
    std::string headOf(int status, const http::HeaderList &headers) const;
    const routing::CallerLimits &limits() const;

    ForwardCore &core_;
    std::shared_ptr<http::Connection> connection_;
    std::function<void(CallerSession *)> onEnd_;
    http::MessageParser parser_{http::MessageParser::Kind::Request};
    http::Timer timer_; ///< Of the head that is being read, or of idleness.
    std::string backlog_; ///< Received behind the request in progress.
    std::string body_;
    std::optional<BootTime> backlogBegan_; ///< When its first byte came; nothing if it began while no request was in progress.
    BootTime requestBegan_;
    bool isHeadChecked_ = false;
    bool isHead_ = false; ///< The request in progress is a HEAD.
    bool keepsAlive_ = true;
    bool isChunked_ = false; ///< The stream in progress is sent in chunks.
    bool hasEnded_ = false;
    std::string streamHead_; ///< Waits for the first piece, to leave with it in one write.
    std::shared_ptr<Forwarding> forwarding_;
};

} // namespace magnolia::forward

#endif
