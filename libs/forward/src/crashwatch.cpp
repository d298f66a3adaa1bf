#include "crashwatch.h"

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

CrashWatch::CrashWatch(event_base *loop,
                       EndpointConnections &connections,
                       const routing::Quarantine::Options &options,
                       ForwardMetrics &metrics,
                       std::function<void()> quarantined)
    : quarantine_(options)
    , probe_(loop, connections)
    , metrics_(metrics)
    , quarantined_(std::move(quarantined))
    , sharing_{.publish = [](const routing::CrashReport &, const std::string &) {}, .withdraw = [](const std::string &, std::uint32_t) {}}
{
}

void CrashWatch::share(CrashReportPublisher sharing)
{
    sharing_ = std::move(sharing);
}

std::uint32_t CrashWatch::nextOrdinal(std::string_view fingerprint) const
{
    return quarantine_.nextOrdinal(fingerprint);
}

void CrashWatch::connectionBroke(const routing::EndpointPointer &endpoint, Run run, std::function<void()> judged)
{
    probe_.ask(endpoint, [this, id = endpoint->record.id, run = std::move(run), judged = std::move(judged)](EndpointFate fate) {
        if (fate == EndpointFate::Ended) {
            endpointEnded(id, run);
        }
        judged();
    });
}

void CrashWatch::endpointEnded(const std::string &endpoint, const Run &run)
{
    metrics_.endsUnderRequests.add();
    const routing::CrashReport report{.fingerprint = run.fingerprint, .ordinal = run.ordinal, .endedAt = BootClock::now()};
    const bool isNews = quarantine_.report(report, report.endedAt);
    log()->info("Endpoint ended under a request endpoint={} fingerprint={} ordinal={} reported={}", endpoint, run.fingerprint, run.ordinal, isNews);
    if (isNews) {
        note(report, "own");
        sharing_.publish(report, endpoint);
    }
}

void CrashWatch::answered(const std::string &fingerprint)
{
    for (const std::uint32_t ordinal : quarantine_.answered(fingerprint, BootClock::now())) {
        log()->info("Request cleared, it was answered fingerprint={} ordinal={}", fingerprint, ordinal);
        sharing_.withdraw(fingerprint, ordinal);
    }
    metrics_.reportedRequests.set(static_cast<double>(quarantine_.size()));
}

std::optional<Duration> CrashWatch::quarantineLeft(std::string_view fingerprint) const
{
    return quarantine_.timeLeft(fingerprint, BootClock::now());
}

void CrashWatch::takeReport(const routing::CrashReport &report)
{
    if (quarantine_.wasAnsweredLately(report.fingerprint)) {
        log()->info("Request cleared, it was answered here fingerprint={} ordinal={}", report.fingerprint, report.ordinal);
        sharing_.withdraw(report.fingerprint, report.ordinal);
        return;
    }
    if (quarantine_.report(report, BootClock::now())) {
        note(report, "peer");
    }
}

void CrashWatch::takeWithdrawal(std::string_view fingerprint, std::uint32_t ordinal)
{
    quarantine_.withdraw(fingerprint, ordinal);
    metrics_.reportedRequests.set(static_cast<double>(quarantine_.size()));
}

void CrashWatch::note(const routing::CrashReport &report, std::string_view source)
{
    metrics_.reportedRequests.set(static_cast<double>(quarantine_.size()));
    if (const auto left = quarantineLeft(report.fingerprint)) {
        log()->warn("Request quarantined fingerprint={} ordinal={} source={} left_ms={}", report.fingerprint, report.ordinal, source, left->count());
        quarantined_();
    }
}

} // namespace magnolia::forward
