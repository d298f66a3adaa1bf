#include "crashtracker.h"

#include "observe/log.h"

#include <utility>

namespace magnolia::forward
{

namespace
{

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("crashes");
    return instance;
}

} // namespace

CrashTracker::CrashTracker(event_base *loop,
                           EndpointConnectionPool &connections,
                           const routing::Quarantine::Options &options,
                           ForwardMetrics &metrics,
                           std::function<void()> onQuarantined)
    : quarantine_(options)
    , probe_(loop, connections)
    , metrics_(metrics)
    , onQuarantined_(std::move(onQuarantined))
    , publisher_{.publish = [](const routing::CrashReport &, const std::string &) {}, .withdraw = [](const std::string &, std::uint32_t) {}}
{
}

void CrashTracker::setPublisher(CrashReportPublisher publisher)
{
    publisher_ = std::move(publisher);
}

std::uint32_t CrashTracker::nextOrdinal(std::string_view fingerprint) const
{
    return quarantine_.nextOrdinal(fingerprint);
}

void CrashTracker::probeEndpoint(const routing::EndpointPointer &endpoint, RequestAttempt attempt, std::function<void()> onProbed)
{
    probe_.probe(endpoint, [this, id = endpoint->record.id, attempt = std::move(attempt), onProbed = std::move(onProbed)](ProbeResult result) {
        if (result == ProbeResult::Down) {
            recordCrash(id, attempt);
        }
        onProbed();
    });
}

void CrashTracker::recordCrash(const std::string &endpoint, const RequestAttempt &attempt)
{
    metrics_.endpointCrashes.add();
    const routing::CrashReport report{.fingerprint = attempt.fingerprint, .ordinal = attempt.ordinal, .endedAt = BootClock::now()};
    const bool isNew = quarantine_.addReport(report, report.endedAt);
    log()->info(
        "Endpoint crashed while running a request endpoint={} fingerprint={} parts={} ordinal={} reported={}",
        endpoint,
        attempt.fingerprint,
        attempt.promptParts,
        attempt.ordinal,
        isNew);
    if (isNew) {
        applyReport(report, "own");
        publisher_.publish(report, endpoint);
    }
}

void CrashTracker::recordAnswer(const std::string &fingerprint)
{
    for (const std::uint32_t ordinal : quarantine_.onAnswered(fingerprint, BootClock::now())) {
        log()->info("Crash report withdrawn after an answer fingerprint={} ordinal={}", fingerprint, ordinal);
        publisher_.withdraw(fingerprint, ordinal);
    }
    metrics_.reportedRequests.set(static_cast<double>(quarantine_.size()));
}

std::optional<Duration> CrashTracker::quarantineLeft(std::string_view fingerprint) const
{
    return quarantine_.timeLeft(fingerprint, BootClock::now());
}

void CrashTracker::addPeerReport(const routing::CrashReport &report)
{
    if (quarantine_.wasAnsweredRecently(report.fingerprint)) {
        log()->info("Crash report of a peer withdrawn after an answer here fingerprint={} ordinal={}", report.fingerprint, report.ordinal);
        publisher_.withdraw(report.fingerprint, report.ordinal);
        return;
    }
    if (quarantine_.addReport(report, BootClock::now())) {
        applyReport(report, "peer");
    }
}

void CrashTracker::withdrawPeerReport(std::string_view fingerprint, std::uint32_t ordinal)
{
    quarantine_.withdraw(fingerprint, ordinal);
    metrics_.reportedRequests.set(static_cast<double>(quarantine_.size()));
}

void CrashTracker::applyReport(const routing::CrashReport &report, std::string_view source)
{
    metrics_.reportedRequests.set(static_cast<double>(quarantine_.size()));
    if (const auto left = quarantineLeft(report.fingerprint)) {
        log()->warn("Request quarantined fingerprint={} ordinal={} source={} left_ms={}", report.fingerprint, report.ordinal, source, left->count());
        onQuarantined_();
    }
}

} // namespace magnolia::forward
