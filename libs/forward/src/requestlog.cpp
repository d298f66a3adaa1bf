#include "requestlog.h"

#include "observe/log.h"

#include <spdlog/fmt/ranges.h>

namespace magnolia::forward
{

namespace
{

// Bounds the CPU time spent on logging when most requests fail.
constexpr std::uint32_t LinesPerSecond = 150;

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("request");
    return instance;
}

std::int64_t milliseconds(BootClock::duration duration)
{
    return std::chrono::duration_cast<Duration>(duration).count();
}

} // namespace

void RequestLog::logEnd(const RequestRecord &record)
{
    if (!reserveLine()) {
        return;
    }
    log()->info("Ended id={} fingerprint={} outcome={} status={} cause={} may_have_run={} route={} service={} organisation={} endpoint={} sendings={} "
                "took_ms={} first_ms={} events={} waited_ms={} longest_pause_ms={} objective_ms={} pause_objective_ms={} routes_version={} proof_age_ms={}",
                record.requestId,
                record.fingerprint,
                record.outcome,
                record.status,
                record.cause,
                record.mayHaveRun,
                record.route,
                record.service,
                record.organisation,
                record.endpoint,
                record.attempts,
                milliseconds(record.took),
                milliseconds(record.firstByte),
                record.events,
                milliseconds(record.slotWait),
                milliseconds(record.longestPause),
                record.objective.count(),
                record.pauseObjective.count(),
                record.routesVersion,
                milliseconds(record.proofAge));
}

void RequestLog::logFailedAttempt(const FailedAttemptRecord &record)
{
    if (!reserveLine()) {
        return;
    }
    log()->info("Sending failed id={} fingerprint={} parts={} endpoint={} end={} status={} at_fault={} decision={} took_ms={} alongside={} kept={} answered={} "
                "named={}",
                record.requestId,
                record.fingerprint,
                fmt::join(record.promptParts, " "),
                record.endpoint,
                record.end,
                record.status,
                record.atFault,
                record.decision,
                milliseconds(record.took),
                record.concurrentRequests,
                record.evidence.isReused,
                record.evidence.hasAnswer,
                record.evidence.isAnswerNamed);
}

void RequestLog::logSkippedAnswer(const SkippedAnswerRecord &record)
{
    if (reserveLine()) {
        log()->info("Answer skipped id={} endpoint={} answer_id={} status={}", record.requestId, record.endpoint, record.answerId, record.status);
    }
}

void RequestLog::logRetryDecision(const RetryDecisionRecord &record)
{
    if (!reserveLine()) {
        return;
    }
    log()->info("Retry decided id={} service={} allowed={} requests={} retries={} max_retries={:.1f} instances={} process_age_ms={}",
                record.requestId,
                record.service,
                record.isAllowed,
                record.requests,
                record.retries,
                record.maxRetries,
                record.instances,
                milliseconds(record.processAge));
}

void RequestLog::logCancelledAttempt(const CancelledAttemptRecord &record)
{
    if (!reserveLine()) {
        return;
    }
    log()->info("Sending cancelled id={} endpoint={} cause={} connected={} answering={} took_ms={} stays_ms={} ahead={} silent_when_sent_ms={} silent_ms={} "
                "endpoint_silent_ms={} service_silent_ms={} alongside={}",
                record.requestId,
                record.endpoint,
                record.cause,
                record.isConnected,
                record.isAnswering,
                milliseconds(record.took),
                milliseconds(record.callerStays),
                record.unstartedAhead,
                milliseconds(record.silenceWhenSent),
                milliseconds(record.silence),
                milliseconds(record.endpointSilence),
                milliseconds(record.serviceSilence),
                record.concurrentRequests);
}

void RequestLog::logClassRejection(const ClassRejectionRecord &record)
{
    if (!reserveLine()) {
        return;
    }
    log()->info("No slot for its priority id={} service={} organisation={} priority={} return={} predicted_wait_ms={} in_progress={} bound={:.1f} "
                "utilisation={:.2f} report_age_ms={} retry_after_ms={}",
                record.requestId,
                record.service,
                record.organisation,
                record.priority,
                record.isReturn,
                milliseconds(record.predictedWait),
                record.inProgress,
                record.bound,
                record.utilisation.value_or(-1),
                record.utilisation ? milliseconds(record.reportAge) : -1,
                record.retryAfter.count());
}

void RequestLog::logRateLimit(std::string_view endpoint, std::optional<double> perSecond)
{
    if (!reserveLine()) {
        return;
    }
    if (perSecond) {
        log()->info("Endpoint states a rate limit id={} per_second={:.3f}", endpoint, *perSecond);
    } else {
        log()->info("Endpoint states no rate limit any more id={}", endpoint);
    }
}

void RequestLog::logRest(std::string_view endpoint, Duration rest, int status)
{
    if (reserveLine()) {
        log()->info("Endpoint asks for rest id={} rest_ms={} status={}", endpoint, rest.count(), status);
    }
}

void RequestLog::logLeaving(std::string_view endpoint)
{
    if (reserveLine()) {
        log()->info("Endpoint states that it leaves id={}", endpoint);
    }
}

void RequestLog::logUnreadable(std::string_view what, std::string_view endpoint, std::string_view text)
{
    if (reserveLine()) {
        log()->warn("{} of an endpoint unreadable id={} text={}", what, endpoint, text);
    }
}

void RequestLog::logStreamLimit(std::string_view service, BootClock::duration pause, std::size_t inProgress, double limit)
{
    if (!reserveLine()) {
        return;
    }
    log()->info("Concurrency limit lowered service={} pause_ms={} in_progress={} limit={:.1f}", service, milliseconds(pause), inProgress, limit);
}

bool RequestLog::reserveLine()
{
    const BootTime now = BootClock::now();
    if (now - secondSince_ >= std::chrono::seconds(1)) {
        if (omitted_ > 0) {
            log()->info("Lines left out={} in the time since the last", omitted_);
        }
        secondSince_ = now;
        linesWritten_ = 0;
        omitted_ = 0;
    }
    if (linesWritten_ >= LinesPerSecond) {
        ++omitted_;
        return false;
    }
    ++linesWritten_;
    return true;
}

} // namespace magnolia::forward
