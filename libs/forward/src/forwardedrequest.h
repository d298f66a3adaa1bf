#ifndef MAGNOLIA_FORWARD_FORWARDEDREQUEST_H
#define MAGNOLIA_FORWARD_FORWARDEDREQUEST_H

#include "admission.h"
#include "answerwriter.h"
#include "attempthistory.h"
#include "endpointattempt.h"
#include "eventsplitter.h"
#include "forwardcontext.h"
#include "http/timer.h"
#include "requestspans.h"
#include "routing/callerbounds.h"
#include "routing/sendingoutlook.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/**
 * One request of a caller, from its route to the end of its answer.
 *
 * Sends it to one endpoint after the other as far as its kind, the route's bound and the retry budget allow. Whatever may
 * have run is never sent again unless its route says that it may, and is never refused as not run. Owned by shared_ptr by
 * the caller's connection, which is its sink and outlives it or calls callerLeft(). On its loop's thread.
 */
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(ForwardContext &context, AnswerWriter &writer, CallerRequest request);
    ~ForwardedRequest();
    ForwardedRequest(const ForwardedRequest &) = delete;
    ForwardedRequest &operator=(const ForwardedRequest &) = delete;

    void start();

    /** The caller closed its connection: the endpoint is told to stop, and the sink is not used any more. */
    void onCallerLeft();

    /** The caller has taken what was queued for it. */
    void onCallerDrained();

private:
    enum class Waiting : std::uint8_t {
        ForNothing,
        ForUpdate, ///< Of routes, endpoints or its group.
        ForSlot, ///< Among the streams in progress.
        ForProbe, ///< Of the endpoint to which its connection broke.
    };

    struct BufferedAnswer {
        http::MessageHead head;
        std::string body;
    };

    // Admission.
    void admit();
    void pickService();
    void acquireSlot();
    bool stopWaitingFor(Waiting awaited);
    bool waitForUpdate();
    bool waitForGroup(const routing::Endpoint &endpoint);
    void beginWaiting(BootTime until);
    void resumeAfterUpdate();
    bool hasGroupRecovered() const;
    routing::EndpointPointer chooseEndpoint() const;
    void handleRejection(const Rejection &rejection);

    // Sendings.
    void dispatchNext();
    void dispatch(const routing::EndpointPointer &endpoint);
    std::optional<routing::Priority> priority() const;
    std::string messageFor(const routing::Endpoint &endpoint) const;
    bool isRepeatable() const;
    bool retryElsewhere(std::string_view cause);
    void waitForProbe();
    bool endIfQuarantined();

    /** Endpoints had ended under it when it was sent. */
    bool hasCrashReports() const
    {
        return ordinal_ > 1;
    }
    std::string_view reserveRetry();
    void logCancelledAttempt(std::string_view cause);
    void logFailedAttempt(std::string_view end, int status, std::string_view atFault, std::string_view decision);

    // Answers.
    void onAnswerHead(http::MessageHead &head);
    void updateRateLimit(const http::MessageHead &head);
    void onAnswerBody(std::string_view piece);
    void onAttemptEnd(AttemptEnd end);
    void handleWholeAnswer();
    void relayEvents(std::string_view piece);
    void recordPause();
    void handleStreamEnd(AttemptEnd end);
    void relayAnswer(BufferedAnswer answer);

    // Ends.
    void onTimer();
    void releaseUnbegun();
    bool leaveUnresponsive(std::string_view cause);
    bool moveToOtherEndpoint(std::string_view cause);
    void startTimer();
    BootTime attemptDeadline() const;
    routing::SendingOutlook timingPolicy() const;
    routing::SendingState attemptState() const;
    BootTime answerDue() const;
    BootTime latestDispatch() const;
    std::string_view overdueCause() const;
    void endOverdue(std::string_view cause);
    void endUnsuccessfully(std::string_view cause, int failedStatus);
    void endAttempt(routing::EndpointSign sign);
    void reject(int status, Duration retryAfter, std::string_view cause);
    void fail(int status, std::string_view cause);
    void sendLocalAnswer(int status, std::optional<Duration> retryAfter, std::string_view cause);
    void abortStream(std::string_view cause);
    void finish(std::string_view outcome, int status, std::string_view cause);

    BootClock::duration timeLeft() const;

    ForwardContext &context_;
    AnswerWriter *writer_; ///< Null once the request has ended or the caller has left.
    CallerRequest request_;
    std::string requestId_;
    routing::RouteTable::Pointer routes_; ///< Kept, since route_ and organisation_ point into it.
    const routing::Route *route_ = nullptr;
    const routing::Organisation *organisation_ = nullptr;
    std::uint32_t ordinal_ = 1; ///< Of the sending in progress, should its endpoint end.
    std::string fingerprint_; ///< Empty until route and organisation are known.
    std::string service_;
    SlotQueue *slots_ = nullptr; ///< Of the service; set once it is known.
    const routing::StepModel *stepModel_ = nullptr; ///< Of the service's engines; null if it has none. Lives in routes_.
    routing::CallerBounds bounds_;
    BootTime updateWaitEnds_; ///< News of routes and endpoints is waited for no longer.
    Waiting waitingFor_ = Waiting::ForNothing;
    BootTime waitingSince_; ///< For a place.
    BootTime waitingEnds_; ///< It is tried again or refused then at the latest.
    bool isWaiterRegistered_ = false; ///< Among those who wait for the next news.
    http::Timer timer_;

    AttemptHistory attempts_;
    RequestSpans spans_;
    bool isCountedUnbegun_ = false; ///< The call in progress is a stream whose answer has not begun.
    bool mayHaveRun_ = false;
    bool hasRetried_ = false;
    bool needsRetryBudget_ = false; ///< The next sending has to be within the retry budget.
    BootTime groupRefusedAt_; ///< When an endpoint last refused it for its group's sake.
    std::shared_ptr<EndpointAttempt> attempt_;
    routing::EndpointPointer endpoint_; ///< Of the call in progress.
    BootTime sentAt_;
    BootTime heardAt_; ///< When something last came from the endpoint.
    std::uint32_t unbegunWhenSent_ = 0; ///< Unbegun requests of this instance at the endpoint before this one.
    BootClock::duration silenceWhenSent_{0}; ///< Since something had come from the endpoint while it had requests.
    BufferedAnswer incoming_;
    std::optional<BufferedAnswer> fallback_; ///< An endpoint's failure, passed on if nothing better comes.

    bool mayRunUnreachably_ = false; ///< An endpoint out of reach still holds it.
    bool isReadingPaused_ = false; ///< The endpoint is not read until the caller has taken more.
    bool isStreaming_ = false; ///< The caller has the head of a stream.
    bool isStreamAnswer_ = false; ///< The call's answer is a stream of events.
    EventSplitter splitter_;
    std::uint64_t eventCount_ = 0;
    BootTime lastEventAt_; ///< When the last one was passed on.
    BootClock::duration longestPause_{0}; ///< Between two of them.
    BootClock::duration slotWait_{0}; ///< For a place.
    BootTime firstByteAt_;
};

} // namespace magnolia::forward

#endif
