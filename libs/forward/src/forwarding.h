#ifndef MAGNOLIA_FORWARD_FORWARDING_H
#define MAGNOLIA_FORWARD_FORWARDING_H

#include "admission.h"
#include "answersink.h"
#include "endpointcall.h"
#include "eventsplitter.h"
#include "forwardcore.h"
#include "http/timer.h"
#include "requestspans.h"
#include "routing/callerbounds.h"
#include "routing/sendingoutlook.h"
#include "sendings.h"

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
class Forwarding : public std::enable_shared_from_this<Forwarding>
{
public:
    Forwarding(ForwardCore &core, AnswerSink &sink, CallerRequest request);
    ~Forwarding();
    Forwarding(const Forwarding &) = delete;
    Forwarding &operator=(const Forwarding &) = delete;

    void start();

    /** The caller closed its connection: the endpoint is told to stop, and the sink is not used any more. */
    void callerLeft();

    /** The caller has taken what was queued for it. */
    void callerDrained();

private:
    enum class Waiting : std::uint8_t {
        ForNothing,
        ForNews, ///< Of routes, endpoints or its group.
        ForPlace, ///< Among the streams in progress.
        ForFate, ///< Of the endpoint to which its connection broke.
    };

    struct HeldAnswer {
        http::MessageHead head;
        std::string body;
    };

    // Admission.
    void admit();
    void pickService();
    void takePlace();
    bool stopsWaitingFor(Waiting awaited);
    bool waitForNews();
    bool waitForGroup(const routing::Endpoint &endpoint);
    void beginWaiting(BootTime until);
    void endWaiting();
    bool isGroupBack() const;
    routing::EndpointPointer nextEndpoint() const;
    void turnAway(const Rejection &rejection);

    // Sendings.
    void sendNext();
    void send(const routing::EndpointPointer &endpoint);
    std::optional<routing::Priority> priority() const;
    std::string messageFor(const routing::Endpoint &endpoint) const;
    bool mayRepeat() const;
    bool retry(std::string_view cause);
    void noteBroken();
    bool endsAsQuarantined();

    /** Endpoints had ended under it when it was sent. */
    bool isSuspect() const
    {
        return ordinal_ > 1;
    }
    std::string_view retryObstacle();
    void logCancel(std::string_view cause);
    void logSending(std::string_view end, int status, std::string_view atFault, std::string_view decision);

    // Answers.
    void headCame(http::MessageHead &head);
    void noteLimit(const http::MessageHead &head);
    void bodyCame(std::string_view piece);
    void callEnded(CallEnd end);
    void wholeAnswerCame();
    void streamPieceCame(std::string_view piece);
    void judgePause();
    void streamEnded(CallEnd end);
    void passOn(HeldAnswer answer);

    // Ends.
    void timerFired();
    void noteBegun();
    bool leaveSilent(std::string_view cause);
    bool moveElsewhere(std::string_view cause);
    void startTimer();
    BootTime patienceEnds() const;
    routing::SendingOutlook outlook() const;
    routing::SendingState sendingState() const;
    BootTime answerDue() const;
    BootTime latestSending() const;
    std::string_view overdueCause() const;
    void giveUp(std::string_view cause);
    void conclude(std::string_view cause, int failedStatus);
    void endCall(routing::EndpointSign sign);
    void refuse(int status, Duration retryAfter, std::string_view cause);
    void fail(int status, std::string_view cause);
    void answerOwn(int status, std::optional<Duration> retryAfter, std::string_view cause);
    void cutStream(std::string_view cause);
    void finish(std::string_view outcome, int status, std::string_view cause);

    BootClock::duration left() const;

    ForwardCore &core_;
    AnswerSink *sink_; ///< Null once the request has ended or the caller has left.
    CallerRequest request_;
    std::string requestId_;
    routing::RouteTable::Pointer routes_; ///< Kept, since route_ and organisation_ point into it.
    const routing::Route *route_ = nullptr;
    const routing::Organisation *organisation_ = nullptr;
    std::uint32_t ordinal_ = 1; ///< Of the sending in progress, should its endpoint end.
    std::string fingerprint_; ///< Empty until route and organisation are known.
    std::string service_;
    PlaceQueue *places_ = nullptr; ///< Of the service; set once it is known.
    const routing::StepModel *steps_ = nullptr; ///< Of the service's engines; null if it has none. Lives in routes_.
    routing::CallerBounds bounds_;
    BootTime waitUntil_; ///< News of routes and endpoints is waited for no longer.
    Waiting waiting_ = Waiting::ForNothing;
    BootTime waitingSince_; ///< For a place.
    BootTime waitingEnds_; ///< It is tried again or refused then at the latest.
    bool isRegistered_ = false; ///< Among those who wait for the next news.
    http::Timer timer_;

    Sendings sendings_;
    RequestSpans spans_;
    bool isUnbegun_ = false; ///< The call in progress is a stream whose answer has not begun.
    bool mayHaveRun_ = false;
    bool hasRetried_ = false;
    bool isResending_ = false; ///< The next sending has to be within the retry budget.
    BootTime refusedAt_; ///< When an endpoint last refused it for its group's sake.
    std::shared_ptr<EndpointCall> call_;
    routing::EndpointPointer endpoint_; ///< Of the call in progress.
    BootTime sentAt_;
    BootTime heardAt_; ///< When something last came from the endpoint.
    std::uint32_t aheadWhenSent_ = 0; ///< Unbegun requests of this instance at the endpoint before this one.
    BootClock::duration silenceWhenSent_{0}; ///< Since something had come from the endpoint while it had requests.
    HeldAnswer incoming_;
    std::optional<HeldAnswer> fallback_; ///< An endpoint's failure, passed on if nothing better comes.

    bool isBeyondRecall_ = false; ///< An endpoint out of reach still holds it.
    bool isHeldBack_ = false; ///< The endpoint is not read until the caller has taken more.
    bool isStreaming_ = false; ///< The caller has the head of a stream.
    bool isStreamAnswer_ = false; ///< The call's answer is a stream of events.
    EventSplitter cutter_;
    std::uint64_t events_ = 0;
    BootTime eventAt_; ///< When the last one was passed on.
    BootClock::duration longestPause_{0}; ///< Between two of them.
    BootClock::duration waited_{0}; ///< For a place.
    BootTime firstByteAt_;
};

} // namespace magnolia::forward

#endif
