#ifndef MAGNOLIA_FORWARD_FORWARDEDREQUEST_H
#define MAGNOLIA_FORWARD_FORWARDEDREQUEST_H

#include "admission.h"
#include "answerbuffers.h"
#include "answerkind.h"
#include "answerwriter.h"
#include "attempthistory.h"
#include "endpointattempt.h"
#include "eventsplitter.h"
#include "forwardcontext.h"
#include "http/timer.h"
#include "requestspans.h"
#include "requestwait.h"
#include "routing/attemptpolicy.h"
#include "routing/callerdeadlines.h"
#include "routing/crashcauses.h"
#include "routing/quarantine.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::forward
{

/**
 * One caller's request, from admission to the end of its answer.
 *
 * Dispatches the request to one endpoint after another as far as the route's kind, its limit on endpoints and the retry
 * budget allow. A request that may have run is repeated only if its route allows that, and is never reported to the
 * caller as not run. Owned through shared_ptr by the CallerSession, which implements the AnswerWriter and either outlives
 * the request or calls onCallerLeft(). Used on the thread of the event loop only.
 */
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(ForwardContext &context, AnswerWriter &writer, CallerRequest request);
    ~ForwardedRequest();
    ForwardedRequest(const ForwardedRequest &) = delete;
    ForwardedRequest &operator=(const ForwardedRequest &) = delete;

    void start();

    /** The caller closed its connection: cancels the attempt in progress; the writer is not used afterwards. */
    void onCallerLeft();

    /** The caller has read everything that was queued for it: resumes reading from the endpoint. */
    void onCallerDrained();

    /** Something was quarantined: cancels an attempt that carries it, unless the endpoint has begun to answer. */
    void onQuarantined();

private:
    struct BufferedAnswer {
        http::MessageHead head;
        std::string body;
    };

    /** What proves that an attempt did not run the request, beyond that nothing was sent. */
    enum class RunProof : std::uint8_t {
        None,
        Rejected, ///< The endpoint stated it in an answer to this attempt.
    };

    // Admission.
    void admit();
    void pickService();
    void acquireSlot();
    void acquireSlotByClass(BootTime now);
    void rejectByClass();
    bool isReturn() const;
    std::string_view organisationName() const;
    SlotQueue::Callback slotCallback();
    SlotQueue::Callback hopelessCallback();
    bool waitForUpdate();
    bool waitForGroup(const routing::Endpoint &endpoint);
    bool waitForRest();
    void beginWaiting(BootTime until);
    void resumeAfterUpdate();
    bool hasGroupRecovered() const;
    bool isBacklog() const;
    void joinBacklog();
    routing::EndpointPointer chooseEndpoint() const;
    void handleRejection(const Rejection &rejection);

    // Attempts.
    void dispatchNext();
    void dispatch(const routing::EndpointPointer &endpoint);
    void countDispatch(const routing::Endpoint &endpoint);
    std::optional<routing::Priority> priority() const;
    std::string headFor(const routing::Endpoint &endpoint) const;
    bool isRepeatable() const;
    bool retryElsewhere(std::string_view cause);
    void waitForProbe();
    void probeEndpoint(std::function<void(ProbeResult)> onProbed);
    bool endIfQuarantined();
    void endQuarantined(Duration retryAfter);
    bool hasRestingEndpoint(std::span<const std::string> excluded) const;
    bool waitForRestOrReject();
    void endEvacuated();
    std::string_view reserveRetry();
    bool takeRetry();
    void logCancelledAttempt(std::string_view cause);
    void logFailedAttempt(std::string_view end, int status, std::string_view atFault, std::string_view decision);

    // Answers.
    void onAnswerHead(http::MessageHead &head);
    void onAnswerBody(std::string_view piece);
    void onAnswerSkipped(const http::MessageHead &head);
    void onAttemptEnd(AttemptEnd end);
    bool needsEndProof() const;
    void holdEnd();
    void releaseHeldEnd(ProbeResult result);
    void handleAttemptEnd(AttemptEnd end);
    bool dispatchUnsent(AttemptEnd end);
    void handleWholeAnswer();
    void recordWholeAnswer();
    void handleRejectedAttempt(AnswerKind kind);
    void onAddressTaken();
    void onGroupDown(std::string_view atFault);
    void onAllResting();
    void handleFailure();
    void relayEvents(std::string_view piece);
    void sendEvents(std::string_view events);
    bool isOverLimit(const http::MessageHead &head) const;
    void updateHeldAnswers();
    void dropIncomplete(AttemptEnd end);
    void recordPause();
    void handleStreamEnd(AttemptEnd end);
    void relayAnswer(BufferedAnswer answer);

    // Timeouts and the end of the request.
    void onTimer();
    void releaseUnstarted();
    bool leaveUnresponsive(std::string_view cause);
    bool moveToOtherEndpoint(std::string_view cause);
    void startTimer();
    BootTime attemptDeadline() const;
    routing::AttemptPolicy timingPolicy() const;
    routing::AttemptState attemptState() const;
    BootTime answerDue() const;
    BootTime latestDispatch() const;
    std::string_view overdueCause() const;
    void endOverdue(std::string_view cause);
    void endUnsuccessfully(std::string_view cause, int failedStatus);
    void endAttempt(routing::AttemptOutcome outcome, RunProof proof = RunProof::None);
    void reject(int status, Duration retryAfter, std::string_view cause);
    void rejectUntilRestEnds();
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
    std::vector<std::string_view> promptParts_; ///< Ids of the parts that other requests may share; they point into request_.
    routing::CrashCauses causes_; ///< Empty until route, organisation and service are known.
    std::vector<routing::CrashSuspect> suspects_; ///< What the current attempt carries, as of its dispatch.
    bool isSuspect_ = false; ///< There were crash reports about something it carries when the current attempt was dispatched.
    bool isTrial_ = false; ///< It was allowed although something that it carries is quarantined, see routing::Quarantine.
    std::string service_;
    SlotQueue *slots_ = nullptr; ///< The slot queue of service_; null until the service is chosen.
    std::optional<routing::ClassAdmission::Ticket> slotTicket_; ///< Set while it waits for a slot by class.
    BootClock::duration predictedWait_{0}; ///< Until a slot is free for its class, as of its arrival.
    const routing::StepModel *stepModel_ = nullptr; ///< Step model of the service's engines, owned by routes_; null if the service has none.
    routing::CallerDeadlines callerDeadlines_;
    BootTime updateWaitEnds_; ///< Latest time to wait for a change of the routes or endpoints.
    RequestWait wait_;
    bool isWaiterRegistered_ = false; ///< This request is in ForwardContext::waiters.
    http::Timer timer_;

    AttemptHistory attempts_;
    RequestSpans spans_;
    bool isCountedUnstarted_ = false; ///< The current attempt is counted in Endpoint::unstartedStreams: a stream without an answer head yet.
    bool mayHaveRun_ = false; ///< An attempt that has ended may have run it. Set by endAttempt() only.
    bool hasRetried_ = false;
    bool wasRetryDenied_ = false;
    bool needsRetryBudget_ = false; ///< The next attempt is a retry and must be granted by the retry budget.
    BootTime refusedAt_; ///< When an endpoint last refused the request because its group was not running or it asked for rest.
    std::shared_ptr<EndpointAttempt> attempt_;
    std::vector<std::weak_ptr<http::Connection>> usedConnections_; ///< A late second answer to an attempt can't be told from the answer to the next one there.
    AttemptEvidence evidence_; ///< Of the latest attempt that has ended.
    routing::EndpointPointer endpoint_; ///< Endpoint of the latest attempt.
    BootTime sentAt_;
    BootTime lastReceivedAt_; ///< When the endpoint last sent data for this request.
    std::uint32_t unstartedWhenSent_ = 0; ///< Streams of this instance at the endpoint without an answer head when this one was sent.
    BootClock::duration silenceWhenSent_{0}; ///< How long the endpoint had sent nothing, with requests in progress, when this one was sent.
    BufferedAnswer incoming_;
    AnswerBuffers::Share heldAnswers_; ///< Of incoming_, fallback_ and splitter_.
    std::optional<BufferedAnswer> fallback_; ///< An endpoint's error answer, relayed if no later attempt succeeds.

    bool hasUncancellableAttempt_ = false; ///< An unreachable endpoint may still run an earlier attempt, which can't be cancelled.
    bool isReadingPaused_ = false; ///< Reading from the endpoint is paused until the caller has read what is queued.
    bool isStreaming_ = false; ///< The head of a stream has been sent to the caller.
    bool hasProbedEnd_ = false; ///< The endpoint was probed after the answer of the current attempt had ended with its connection.
    bool isStreamAnswer_ = false; ///< The answer of the current attempt is an event stream.
    EventSplitter splitter_;
    BootTime eventBegunAt_; ///< When the first bytes of the incomplete event were received.
    std::size_t bytesWithoutEvent_ = 0; ///< Received since the last event that was relayed.
    std::uint64_t eventCount_ = 0;
    BootTime lastEventAt_; ///< When events were last relayed.
    BootClock::duration longestPause_{0}; ///< Between two relays of events.
    BootClock::duration slotWait_{0}; ///< Time spent waiting for a slot.
    BootTime firstByteAt_;
};

} // namespace magnolia::forward

#endif
