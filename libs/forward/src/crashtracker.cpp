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
    , notifyTimer_(loop, [this] { notifyAttempts(); })
{
}

void CrashTracker::setPublisher(CrashReportPublisher publisher)
{
    publisher_ = std::move(publisher);
}

std::vector<routing::CrashSuspect> CrashTracker::suspectsOf(const routing::CrashCauses &causes) const
{
    return quarantine_.suspectsOf(causes, BootClock::now());
}

bool CrashTracker::hasReports(const routing::CrashCauses &causes) const
{
    return quarantine_.hasReports(causes);
}

void CrashTracker::probeEndpoint(const routing::EndpointPointer &endpoint, RequestAttempt attempt, std::function<void(ProbeResult)> onProbed)
{
    probe_.probe(endpoint, [this, id = endpoint->record.id, attempt = std::move(attempt), notify = std::move(onProbed)](ProbeResult result) {
        recordProbe(id, attempt, result);
        notify(result);
    });
}

void CrashTracker::recordProbe(const std::string &endpoint, const RequestAttempt &attempt, ProbeResult result)
{
    if (result == ProbeResult::Down) {
        recordCrash(endpoint, attempt);
    } else if (result == ProbeResult::Up && attempt.hadBegun) {
        quarantine_.onBrokenOffAtLiveEndpoint(attempt.suspects);
    }
}

void CrashTracker::recordCrash(const std::string &endpoint, const RequestAttempt &attempt)
{
    metrics_.endpointCrashes.add();
    const std::vector<routing::CrashReport> reports = quarantine_.onCrash(attempt.suspects, BootClock::now());
    log()->info("Endpoint crashed while running a request endpoint={} fingerprint={} parts={} reports={}",
                endpoint,
                attempt.suspects.empty() ? std::string_view() : std::string_view(attempt.suspects.front().fingerprint),
                attempt.promptParts,
                reports.size());
    for (const routing::CrashReport &report : reports) {
        applyReport(report, "own");
        publisher_.publish(report, endpoint);
    }
}

void CrashTracker::recordAnswer(const routing::CrashCauses &causes)
{
    for (const routing::CrashReport &report : quarantine_.onAnswered(causes, BootClock::now())) {
        log()->info("Crash report withdrawn after an answer fingerprint={} ordinal={}", report.fingerprint, report.ordinal);
        publisher_.withdraw(report.fingerprint, report.ordinal);
    }
    metrics_.reportedRequests.set(static_cast<double>(quarantine_.size()));
}

routing::Quarantine::Admission CrashTracker::admit(const routing::Quarantine::AdmissionRequest &request, Random &random)
{
    return quarantine_.admit(request, BootClock::now(), random);
}

void CrashTracker::addPeerReport(const routing::CrashReport &report)
{
    if (quarantine_.addReport(report, BootClock::now())) {
        applyReport(report, "peer");
    } else if (quarantine_.isRefuted(report)) {
        log()->info("Crash report of a peer withdrawn after an answer here fingerprint={} ordinal={}", report.fingerprint, report.ordinal);
        publisher_.withdraw(report.fingerprint, report.ordinal);
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
    log()->info("Crash report fingerprint={} ordinal={} companions={} source={}", report.fingerprint, report.ordinal, report.companions.size(), source);
    if (const auto left = quarantine_.timeLeft(report.fingerprint, BootClock::now())) {
        log()->warn("Quarantined fingerprint={} ordinal={} source={} left_ms={}", report.fingerprint, report.ordinal, source, left->count());
        onQuarantined_();
        notifyTimer_.start(Duration(0));
    }
}

void CrashTracker::addAttempt(const void *request, std::function<void()> onQuarantined)
{
    attempts_.insert_or_assign(request, std::move(onQuarantined));
}

void CrashTracker::removeAttempt(const void *request)
{
    attempts_.erase(request);
}

void CrashTracker::notifyAttempts()
{
    std::vector<std::function<void()>> callbacks; // They remove attempts.
    for (const auto &[request, onQuarantined] : attempts_) {
        callbacks.push_back(onQuarantined);
    }
    for (const auto &onQuarantined : callbacks) {
        onQuarantined();
    }
}

} // namespace magnolia::forward
