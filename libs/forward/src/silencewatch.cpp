#include "silencewatch.h"

#include "observe/log.h"

#include <utility>
#include <vector>

namespace magnolia::forward
{

namespace
{

// After which an endpoint is asked for a sign of life while its peers speak, and while all are silent.
constexpr Duration SilenceBesidePeers{300};
constexpr Duration SilenceOfAll{1000};

constexpr Duration AnswerTime{250};
constexpr Duration CheckInterval{1000}; ///< Between two checks of an endpoint that answered.
constexpr Duration RecheckInterval{500}; ///< Of one that is silent.
constexpr Duration TickInterval{50};

// A process that was held up itself can't tell who is late.
constexpr Duration LongestDelay{150};

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("endpoints");
    return instance;
}

std::int64_t milliseconds(BootClock::duration duration)
{
    return std::chrono::duration_cast<Duration>(duration).count();
}

} // namespace

SilenceWatch::SilenceWatch(event_base *loop, const routing::EndpointTable &endpoints, ForwardMetrics &metrics, std::string path)
    : loop_(loop), endpoints_(endpoints), metrics_(metrics), path_(std::move(path)), timer_(loop, [this] { tick(); })
{
}

void SilenceWatch::began(const routing::EndpointPointer &endpoint, const void *owner, std::function<void()> silent)
{
    if (!isEnabled()) {
        return;
    }
    if (watched_.empty()) {
        tickedAt_ = BootClock::now();
        timer_.start(TickInterval);
    }
    Watched &watched = watched_[endpoint->record.id];
    if (watched.endpoint != endpoint) {
        (void)unmark(watched);
        watched = {.endpoint = endpoint, .owners = {}, .client = nullptr, .checkedAt = {}};
    }
    watched.owners[owner] = std::move(silent);
}

void SilenceWatch::ended(std::string_view endpoint, const void *owner)
{
    const auto found = watched_.find(endpoint);
    if (found != watched_.end()) {
        found->second.owners.erase(owner);
    }
}

void SilenceWatch::tick()
{
    const BootTime now = BootClock::now();
    noteDelay(now);
    std::erase_if(watched_, [this](auto &entry) {
        const bool isOver = isIdle(entry.second);
        if (isOver) {
            (void)unmark(entry.second);
        }
        return isOver;
    });
    for (auto &[id, watched] : watched_) {
        if (watched.endpoint->isUnresponsive && watched.endpoint->lastReceivedAt > watched.checkedAt) {
            foundAnswering(watched, now);
        }
        if (isDue(watched, now)) {
            check(watched, now);
        }
    }
    if (!watched_.empty()) {
        timer_.start(TickInterval);
    }
}

void SilenceWatch::noteDelay(BootTime now)
{
    if (now - tickedAt_ > LongestDelay) {
        delayedAt_ = now;
    }
    tickedAt_ = now;
}

/** @return true if it was marked. */
bool SilenceWatch::unmark(const Watched &watched)
{
    if (watched.endpoint == nullptr) {
        return false;
    }
    watched.endpoint->isSuspected = false;
    const bool wasSilent = std::exchange(watched.endpoint->isUnresponsive, false);
    if (wasSilent) {
        metrics_.silentEndpoints.add(-1);
    }
    return wasSilent;
}

bool SilenceWatch::isIdle(const Watched &watched) const
{
    const bool isWanted = !watched.owners.empty() || (watched.endpoint->isUnresponsive && watched.endpoint->acceptsRequests());
    return !isWanted;
}

bool SilenceWatch::isDue(const Watched &watched, BootTime now) const
{
    const routing::Endpoint &endpoint = *watched.endpoint;
    if (endpoint.isSuspected) {
        return false; // It is being asked.
    }
    if (endpoint.isUnresponsive) {
        return now - watched.checkedAt >= RecheckInterval;
    }
    if (endpoint.limit.isLimited()) {
        return false; // A check would count against it.
    }
    const Duration patience = endpoints_.hasFallenBehind(endpoint) ? SilenceBesidePeers : SilenceOfAll;
    return now - endpoint.silentSince() >= patience && now - watched.checkedAt >= CheckInterval;
}

void SilenceWatch::check(Watched &watched, BootTime now)
{
    const std::string &id = watched.endpoint->record.id;
    watched.checkedAt = now;
    watched.endpoint->isSuspected = true;
    metrics_.livenessChecks.add();
    if (watched.client == nullptr) {
        watched.client = std::make_unique<http::HttpClient>(loop_, http::HttpClient::Options{.address = watched.endpoint->record.address, .maxConnections = 1});
    }
    watched.client->send({.path = path_, .timeout = AnswerTime}, [this, id](const Result<http::Response> &answer) { checked(id, answer); });
}

void SilenceWatch::checked(const std::string &id, const Result<http::Response> &answer)
{
    const auto found = watched_.find(id);
    if (found == watched_.end()) {
        return;
    }
    Watched &watched = found->second;
    const BootTime now = BootClock::now();
    noteDelay(now);
    watched.endpoint->isSuspected = false;
    // One that refuses the connection or closes it is within reach; its requests learn of its end by themselves.
    const bool isLate = !answer && answer.error().code == ErrorCode::DeadlineExceeded;
    if (!isLate) {
        foundAnswering(watched, now);
        return;
    }
    if (delayedAt_ < watched.checkedAt) {
        foundSilent(watched, now);
    }
}

void SilenceWatch::foundSilent(Watched &watched, BootTime now)
{
    routing::Endpoint &endpoint = *watched.endpoint;
    if (!std::exchange(endpoint.isUnresponsive, true)) {
        metrics_.silentEndpoints.add(1);
        log()->warn("Endpoint does not answer id={} address={} silent_ms={} service_silent_ms={} in_progress={}",
                    endpoint.record.id,
                    endpoint.record.address,
                    milliseconds(now - endpoint.silentSince()),
                    milliseconds(now - endpoints_.serviceLastReceivedAt(endpoint.record.service)),
                    endpoint.inFlight);
    }
    std::vector<std::function<void()>> told;
    for (const auto &[owner, silent] : watched.owners) {
        told.push_back(silent);
    }
    for (const auto &silent : told) {
        silent();
    }
}

void SilenceWatch::foundAnswering(Watched &watched, BootTime now)
{
    if (!unmark(watched)) {
        return;
    }
    routing::Endpoint &endpoint = *watched.endpoint;
    endpoint.failures = 0;
    endpoint.avoidUntil = {};
    log()->info(
        "Endpoint answers again id={} address={} silent_ms={}", endpoint.record.id, endpoint.record.address, milliseconds(now - endpoint.silentSince()));
}

} // namespace magnolia::forward
