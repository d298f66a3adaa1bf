#include "requestlog.h"

#include "observe/log.h"

namespace magnolia::forward
{

namespace
{

// Bounds what logging takes of the processor when most requests fail.
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

void RequestLog::write(const RequestRecord &record)
{
    if (!mayWrite()) {
        return;
    }
    log()->info(
        "Ended id={} fingerprint={} outcome={} status={} cause={} route={} service={} organisation={} endpoint={} sendings={} took_ms={} first_ms={} events={} "
        "waited_ms={} longest_pause_ms={} objective_ms={} pause_objective_ms={} routes_version={} proof_age_ms={}",
        record.requestId,
        record.fingerprint,
        record.outcome,
        record.status,
        record.cause,
        record.route,
        record.service,
        record.organisation,
        record.endpoint,
        record.sendings,
        milliseconds(record.took),
        milliseconds(record.firstByte),
        record.events,
        milliseconds(record.waited),
        milliseconds(record.longestPause),
        record.objective.count(),
        record.pauseObjective.count(),
        record.routesVersion,
        milliseconds(record.proofAge));
}

void RequestLog::sendingEnded(const SendingRecord &record)
{
    if (!mayWrite()) {
        return;
    }
    log()->info("Sending failed id={} fingerprint={} endpoint={} end={} status={} at_fault={} decision={} took_ms={} alongside={}",
                record.requestId,
                record.fingerprint,
                record.endpoint,
                record.end,
                record.status,
                record.atFault,
                record.decision,
                milliseconds(record.took),
                record.alongside);
}

void RequestLog::sendingCancelled(const CancelRecord &record)
{
    if (!mayWrite()) {
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
                milliseconds(record.stays),
                record.ahead,
                milliseconds(record.silenceWhenSent),
                milliseconds(record.silence),
                milliseconds(record.endpointSilence),
                milliseconds(record.serviceSilence),
                record.alongside);
}

void RequestLog::limitStated(std::string_view endpoint, std::optional<double> perSecond)
{
    if (!mayWrite()) {
        return;
    }
    if (perSecond) {
        log()->info("Endpoint states a limit id={} per_second={:.3f}", endpoint, *perSecond);
    } else {
        log()->info("Endpoint states no limit any more id={}", endpoint);
    }
}

void RequestLog::limitUnreadable(std::string_view endpoint, std::string_view text)
{
    if (mayWrite()) {
        log()->warn("Limit can't be read id={} text={}", endpoint, text);
    }
}

void RequestLog::limited(std::string_view service, BootClock::duration pause, std::size_t inProgress, double limit)
{
    if (!mayWrite()) {
        return;
    }
    log()->info("Streams limited service={} pause_ms={} in_progress={} limit={:.1f}", service, milliseconds(pause), inProgress, limit);
}

bool RequestLog::mayWrite()
{
    const BootTime now = BootClock::now();
    if (now - second_ >= std::chrono::seconds(1)) {
        if (leftOut_ > 0) {
            log()->info("Lines left out={} in the time since the last", leftOut_);
        }
        second_ = now;
        written_ = 0;
        leftOut_ = 0;
    }
    if (written_ >= LinesPerSecond) {
        ++leftOut_;
        return false;
    }
    ++written_;
    return true;
}

} // namespace magnolia::forward
