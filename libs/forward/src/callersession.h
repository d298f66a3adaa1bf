#ifndef MAGNOLIA_FORWARD_CALLERSESSION_H
#define MAGNOLIA_FORWARD_CALLERSESSION_H

#include "answerbuffers.h"
#include "answerwriter.h"
#include "forwardedrequest.h"
#include "http/connection.h"
#include "http/timer.h"
#include "requestbody.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/**
 * One connection of a caller. Serves its requests in order, each read only after the previous one has been answered.
 *
 * Owned through shared_ptr by the task until onEnd. Used on the thread of the event loop only.
 */
class CallerSession final : public AnswerWriter, public std::enable_shared_from_this<CallerSession>
{
public:
    /** @param onEnd called once, when the connection has closed; it may release the session. */
    CallerSession(ForwardContext &context, std::shared_ptr<http::Connection> connection, std::function<void(CallerSession *)> onEnd);
    ~CallerSession() override;
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    void start();

    /** Closes the connection if no request is in progress or partly received, and the caller has taken all answers. @return true if it was closed. */
    bool closeIfIdle();

    /** Whether a request is in progress, or the caller has not taken its answer yet. */
    bool isBusy() const
    {
        return activeRequest_ != nullptr || pendingBytes() > 0;
    }

    void sendAnswer(int status, const http::HeaderList &headers, std::string body) override;
    void beginStream(int status, const http::HeaderList &headers) override;
    void sendPiece(std::string_view piece) override;
    void endStream() override;
    void abort() override;
    std::size_t pendingBytes() const override;
    bool hasCallerLeft() const override;

private:
    void onBytes(std::string_view bytes);
    void parse();
    bool mayParse() const;
    bool parseNext();
    void updateReading();
    bool checkHead();
    void appendBody(std::string_view piece);
    std::size_t bodyBytes() const;
    bool needsReservation() const;
    void reserveBody();
    void onBodyGranted();
    void readBody();
    void startRequest();
    void rejectAndClose(int status, std::string_view reason, std::optional<Duration> retryAfter = {});
    void rejectBody();
    void finishAnswer();
    void countUnread();
    void closeAfterAnswer();
    void closeAfterRest();
    void dropRest(std::string_view bytes);
    void waitWhileIdle();
    void onConnectionEnd();
    void onDrained();
    void onTimer();
    void checkForClose();
    void close();
    std::string headOf(int status, const http::HeaderList &headers) const;
    const routing::CallerLimits &limits() const;

    ForwardContext &context_;
    std::shared_ptr<http::Connection> connection_;
    std::function<void(CallerSession *)> onEnd_;
    http::MessageParser parser_{http::MessageParser::Kind::Request};
    http::Timer timer_; ///< Timeout for reading a request, or for an idle connection.
    http::Timer closeCheckTimer_; ///< Runs while reading is paused during a request, and once the answers are given up.
    http::Timer turnTimer_; ///< Runs while the backlog waits for the next turn of the loop.
    bool isParsing_ = false;
    std::string backlog_; ///< Bytes received after the request in progress.
    std::shared_ptr<RequestBody> body_; ///< Of the request that is being received; null until it is needed.
    std::size_t statedBodyBytes_ = 0; ///< 0 if the head does not state a length.
    bool isWaitingForMemory_ = false; ///< Nothing is read until there is memory for the body.
    std::optional<BootTime> backlogSince_; ///< When the first byte of the backlog arrived; nothing if no request was in progress then.
    BootTime requestSince_;
    bool isHeadChecked_ = false;
    bool isHead_ = false; ///< The request in progress is a HEAD.
    bool keepsAlive_ = true;
    bool isClosing_ = false; ///< The last answer is queued.
    bool isDroppingRest_ = false; ///< The request was rejected before all of it was received.
    bool hasEnded_ = false;
    AnswerBuffers::Share unreadAnswers_; ///< What was queued for the caller when it was last sent something.
    bool isGivenUp_ = false; ///< The caller has read too little of its answers, and is disconnected on the loop's next turn.
    std::size_t unacknowledgedBytes_ = 0; ///< Not acknowledged by the caller when timer_ was last started for an idle connection.
    std::string streamHead_; ///< Head of a stream, held back to be written together with the first piece.
    std::shared_ptr<ForwardedRequest> activeRequest_;
};

} // namespace magnolia::forward

#endif
