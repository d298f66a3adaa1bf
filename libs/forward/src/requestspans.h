#ifndef MAGNOLIA_FORWARD_REQUESTSPANS_H
#define MAGNOLIA_FORWARD_REQUESTSPANS_H

#include "observe/trace.h"
#include "routing/endpointtable.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/**
 * The trace spans of one request: a server span, and a child span for the current attempt. Without a tracer all calls do
 * nothing. Used on the request's thread.
 *
 * @code
 * spans.begin(traceparent, requestId);
 * spans.beginAttempt(endpoint.id);
 * request.traceparent = spans.attemptTraceparent();
 * @endcode
 */
class RequestSpans
{
public:
    /** @param tracer outlives this; null: nothing is recorded. */
    explicit RequestSpans(observe::Tracer *tracer) : tracer_(tracer) {}

    /** @param traceparent the caller's header; if it is empty or malformed a new trace is started. */
    void begin(std::string_view traceparent, std::string_view requestId)
    {
        if (tracer_ != nullptr) {
            requestSpan_ = tracer_->start("forward.request", observe::TraceContext::parse(traceparent), observe::SpanKind::Server);
            requestSpan_.set("request.id", requestId);
        }
    }

    void beginAttempt(std::string_view endpoint)
    {
        if (tracer_ != nullptr) {
            attemptSpan_ = tracer_->start("forward.sending", requestSpan_.context(), observe::SpanKind::Client);
            attemptSpan_.set("endpoint", endpoint);
        }
    }

    /** @return value of the traceparent header for the endpoint; empty without a tracer. */
    std::string attemptTraceparent() const
    {
        return attemptSpan_.traceparent();
    }

    void endAttempt(int status, routing::AttemptOutcome outcome)
    {
        finish(attemptSpan_, status, failureOf(outcome));
    }

    /** @param isFailed the caller got no complete answer, and the request may have run. */
    void end(std::string_view outcome, int status, std::string_view service, std::string_view cause, bool isFailed)
    {
        requestSpan_.set("outcome", outcome);
        requestSpan_.set("service", service);
        if (!cause.empty()) {
            requestSpan_.set("cause", cause);
        }
        finish(requestSpan_, status, isFailed ? outcome : std::string_view());
    }

private:
    /** @return the failure to record in the span; empty if the outcome is not a failure of the endpoint. */
    static std::string_view failureOf(routing::AttemptOutcome outcome)
    {
        if (outcome == routing::AttemptOutcome::Failed || outcome == routing::AttemptOutcome::Hung) {
            return "failed";
        }
        return outcome == routing::AttemptOutcome::Unreachable ? "unreachable" : "";
    }

    /** @param failure empty if the span did not fail. */
    static void finish(observe::Span &span, int status, std::string_view failure)
    {
        span.set("status", status);
        if (!failure.empty()) {
            span.fail(failure);
        }
        span.end();
    }

    observe::Tracer *tracer_;
    observe::Span requestSpan_;
    observe::Span attemptSpan_;
};

} // namespace magnolia::forward

#endif
