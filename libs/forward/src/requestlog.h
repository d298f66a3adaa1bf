#ifndef MAGNOLIA_FORWARD_REQUESTLOG_H
#define MAGNOLIA_FORWARD_REQUESTLOG_H

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/** What decided how one request ended, for whoever looks for its cause later. */
struct RequestRecord {
    std::string_view requestId{};
    std::string_view route{};
    std::string_view service{};
    std::string_view organisation{};
    std::uint64_t routesVersion = 0;
    BootClock::duration proofAge{}; ///< Of the proof that those routes were the newest.
    std::string_view endpoint{}; ///< The last one tried.
    std::uint32_t attempts = 0; ///< To endpoints.
    int status = 0; ///< Told to the caller; 0: none, the connection was closed.
    std::string_view outcome{}; ///< One of few words.
    std::string_view cause{}; ///< Of an outcome other than an endpoint's answer passed on.
    BootClock::duration took{};
    BootClock::duration firstByte{}; ///< From the request to its answer's first byte; 0: none.
    std::uint64_t events = 0; ///< Of a stream.
    BootClock::duration slotWait{}; ///< For a place among the streams in progress.
    BootClock::duration longestPause{}; ///< Between two events of a stream.
    Duration objective{}; ///< For the first byte; 0: none.
    Duration pauseObjective{}; ///< For pauses; 0: none.
    std::string_view fingerprint{}; ///< The same for each attempt at the same request.
};

/** One sending that did not end with an answer passed on. */
struct FailedAttemptRecord {
    std::string_view requestId{};
    std::string_view fingerprint{};
    std::string_view endpoint{};
    std::string_view end{}; ///< One of few words.
    int status = 0; ///< Of the endpoint's answer; 0: none.
    std::string_view atFault{};
    std::string_view decision{}; ///< What is done with the request.
    BootClock::duration took{}; ///< From its sending to its end.
    std::uint32_t inProgressThere = 0; ///< Other requests of this instance in progress at that endpoint.
};

/** One sending that was given up while it was in progress. */
struct CancelledAttemptRecord {
    std::string_view requestId{};
    std::string_view endpoint{};
    std::string_view cause{};
    bool isConnected = false;
    bool isAnswering = false; ///< The head of an answer has come.
    BootClock::duration took{}; ///< Since it was sent.
    BootClock::duration callerStays{}; ///< For which the caller was still expected to stay; less than 0: it should have left.
    std::uint32_t unbegunAhead = 0; ///< Unbegun requests of this instance there when it was sent.
    BootClock::duration silenceWhenSent{}; ///< Of the endpoint when it was sent.
    BootClock::duration silence{}; ///< Since something last came for this request.
    BootClock::duration endpointSilence{}; ///< Since something last came from the endpoint for any request of this instance.
    BootClock::duration serviceSilence{}; ///< The same of all endpoints of its service.
    std::uint32_t inProgressThere = 0; ///< Requests of this instance in progress at that endpoint, this one included.
};

/**
 * Writes one line for each request that did not simply get its answer, and a sample of the others.
 *
 * The volume is bounded per second; what is left out is counted, and the count is written with the next second's first
 * line. One per entry.
 */
class RequestLog
{
public:
    void logEnd(const RequestRecord &record);

    void logFailedAttempt(const FailedAttemptRecord &record);

    void logCancelledAttempt(const CancelledAttemptRecord &record);

    /** @param perSecond from now on; nothing: it states no limit any more. */
    void logRateLimit(std::string_view endpoint, std::optional<double> perSecond);
    void logInvalidRateLimit(std::string_view endpoint, std::string_view text);

    /** Fewer streams of a service are let in from now on. */
    void logStreamLimit(std::string_view service, BootClock::duration pause, std::size_t inProgress, double limit);

private:
    bool reserveLine();

    BootTime secondSince_;
    std::uint32_t linesWritten_ = 0; ///< In this second.
    std::uint64_t omitted_ = 0;
};

} // namespace magnolia::forward

#endif
