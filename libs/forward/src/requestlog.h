#ifndef MAGNOLIA_FORWARD_REQUESTLOG_H
#define MAGNOLIA_FORWARD_REQUESTLOG_H

#include "base/clock.h"
#include "routing/routingconfig.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/** How a request ended, and what decided it. */
struct RequestRecord {
    std::string_view requestId{};
    std::string_view route{};
    std::string_view service{};
    std::string_view organisation{};
    std::uint64_t routesVersion = 0;
    BootClock::duration proofAge{}; ///< Age of the proof that these routes were the newest.
    std::string_view endpoint{}; ///< Endpoint of the last attempt.
    std::uint32_t attempts = 0; ///< Number of attempts.
    int status = 0; ///< Sent to the caller; 0: none, the connection was closed.
    std::string_view outcome{}; ///< "answered", "refused", "failed", "cut" or "hung-up".
    std::string_view cause{}; ///< Reason for an outcome other than a relayed answer.
    bool mayHaveRun = false; ///< At an endpoint.
    BootClock::duration took{};
    BootClock::duration firstByte{}; ///< From the request's first byte to the answer's; 0: no answer.
    std::uint64_t events = 0; ///< Relayed pieces of a stream.
    BootClock::duration slotWait{}; ///< Time spent waiting for a slot.
    BootClock::duration longestPause{}; ///< Longest time between two events of a stream.
    Duration objective{}; ///< Latency objective for the first byte; 0: none.
    Duration pauseObjective{}; ///< Objective for the time between events; 0: none.
    std::string_view fingerprint{}; ///< Identical for all requests with the same content, e.g. a caller's retries.
};

/** What tells whether the answer to an attempt is the answer to its request. */
struct AttemptEvidence {
    bool isReused = false; ///< The connection carried other requests before.
    bool hasAnswer = false;
    bool isAnswerNamed = false; ///< The answer has the id of the request.
};

/** An attempt whose answer was not relayed. */
struct FailedAttemptRecord {
    std::string_view requestId{};
    std::string_view fingerprint{};
    std::span<const std::string_view> promptParts{}; ///< Ids of the parts that other requests may share.
    std::string_view endpoint{};
    std::string_view end{}; ///< How the attempt ended, e.g. "lost" or "not-run".
    int status = 0; ///< Of the endpoint's answer; 0: none.
    std::string_view atFault{};
    std::string_view decision{}; ///< What happens to the request next.
    BootClock::duration took{}; ///< From dispatch to the end of the attempt.
    std::uint32_t concurrentRequests = 0; ///< Other requests of this instance in progress at the endpoint.
    AttemptEvidence evidence{};
};

/** An answer that was received in place of the one to a request. */
struct SkippedAnswerRecord {
    std::string_view requestId{}; ///< Of the request whose answer is due.
    std::string_view endpoint{};
    std::string_view answerId{}; ///< Empty: the answer names no request.
    int status = 0;
};

/** An attempt that was cancelled while in progress. */
struct CancelledAttemptRecord {
    std::string_view requestId{};
    std::string_view endpoint{};
    std::string_view cause{};
    bool isConnected = false;
    bool isAnswering = false; ///< The head of the answer was received.
    BootClock::duration took{}; ///< Time since dispatch.
    BootClock::duration callerStays{}; ///< How long the caller was expected to stay; negative if it should have left already.
    std::uint32_t unstartedAhead = 0; ///< Streams of this instance at the endpoint without an answer head at dispatch.
    BootClock::duration silenceWhenSent{}; ///< Time since the endpoint last sent anything, at dispatch.
    BootClock::duration silence{}; ///< Time since the endpoint last sent data for this request.
    BootClock::duration endpointSilence{}; ///< Time since the endpoint last sent data for any request of this instance.
    BootClock::duration serviceSilence{}; ///< Time since any endpoint of the service last sent data for this instance.
    std::uint32_t concurrentRequests = 0; ///< Requests of this instance in progress at the endpoint, this one included.
};

/** A stream that was rejected because its service has too few slots for streams of its priority. */
struct ClassRejectionRecord {
    std::string_view requestId{};
    std::string_view service{};
    std::string_view organisation{};
    routing::Priority priority = 0;
    bool isReturn = false; ///< Its caller was rejected before.
    BootClock::duration predictedWait{}; ///< Until a slot is free for it.
    std::size_t inProgress = 0; ///< Streams of this instance.
    double bound = 0; ///< Number of streams of this instance at which its priority is rejected.
    std::optional<double> utilisation{}; ///< Of the slots of all endpoints, as reported.
    BootClock::duration reportAge{}; ///< Since the last load report.
    Duration retryAfter{};
};

/** Whether the retry budget of a service allows one more retry, and what decided it. */
struct RetryDecisionRecord {
    std::string_view requestId{};
    std::string_view service{};
    bool isAllowed = false;
    double requests = 0; ///< Of this instance in the budget's window.
    double retries = 0; ///< Of this instance, before this one.
    double maxRetries = 0;
    std::size_t instances = 0; ///< Number of instances that share the budget.
    BootClock::duration processAge{};
};

/**
 * Writes one line for each ended request, failed attempt, cancelled attempt, change of a limit and statement of an endpoint.
 *
 * The number of lines per second is limited. Omitted lines are counted, and the count is logged before the first line of a
 * later second. One per entry.
 */
class RequestLog
{
public:
    void logEnd(const RequestRecord &record);

    void logFailedAttempt(const FailedAttemptRecord &record);

    void logSkippedAnswer(const SkippedAnswerRecord &record);

    void logCancelledAttempt(const CancelledAttemptRecord &record);

    void logClassRejection(const ClassRejectionRecord &record);

    void logRetryDecision(const RetryDecisionRecord &record);

    /** @param perSecond the new limit; nothing: the endpoint no longer states one. */
    void logRateLimit(std::string_view endpoint, std::optional<double> perSecond);

    /** An endpoint turned a request away and asked for rest. */
    void logRest(std::string_view endpoint, Duration rest, int status);

    /** An endpoint stated for the first time that it leaves. */
    void logLeaving(std::string_view endpoint);

    /** @param what the statement of an endpoint that can't be read, e.g. "Rate limit". */
    void logUnreadable(std::string_view what, std::string_view endpoint, std::string_view text);

    /** The concurrency limit of a service was lowered after a long pause of a stream. */
    void logStreamLimit(std::string_view service, BootClock::duration pause, std::size_t inProgress, double limit);

private:
    bool reserveLine();

    BootTime secondSince_;
    std::uint32_t linesWritten_ = 0; ///< Lines written in the current second.
    std::uint64_t omitted_ = 0;
};

} // namespace magnolia::forward

#endif
