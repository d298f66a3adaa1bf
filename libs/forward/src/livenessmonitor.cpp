#include "livenessmonitor.h"

#include "observe/log.h"

#include <utility>
#include <vector>

namespace magnolia::forward
{

namespace
{

// Time without data after which an endpoint is checked, while its peers send data and while the whole service is silent.
constexpr Duration SilenceWhilePeersAnswer{300};
constexpr Duration SilenceOfWholeService{1000};

constexpr Duration CheckTimeout{250};
constexpr Duration CheckInterval{1000}; ///< Between two checks of a responsive endpoint.
constexpr Duration RecheckInterval{500}; ///< Between two checks of an unresponsive endpoint.
constexpr Duration TimerInterval{50};

constexpr std::size_t MaxCheckAnswerBytes = 64U << 10U; ///< Only the head of an answer to a check is of interest.

// After a longer delay of this process itself a missing answer says nothing about the endpoint.
constexpr Duration MaxOwnDelay{150};

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

LivenessMonitor::LivenessMonitor(Options options) : options_(std::move(options)), timer_(options_.loop, [this] { checkAll(); }) {}

void LivenessMonitor::addRequest(const routing::EndpointPointer &endpoint, const void *request, std::function<void()> onUnresponsive)
{
    if (!isEnabled()) {
        return;
    }
    if (monitored_.empty()) {
        lastTimerAt_ = BootClock::now();
        timer_.start(TimerInterval);
    }
    MonitoredEndpoint &monitored = monitored_[endpoint->record.id];
    if (monitored.endpoint != endpoint) {
        (void)clearMarks(monitored);
        monitored = {.endpoint = endpoint, .callbacks = {}, .client = nullptr, .checkedAt = {}};
    }
    monitored.callbacks[request] = std::move(onUnresponsive);
}

void LivenessMonitor::removeRequest(std::string_view endpoint, const void *request)
{
    const auto found = monitored_.find(endpoint);
    if (found != monitored_.end()) {
        found->second.callbacks.erase(request);
    }
}

void LivenessMonitor::checkAll()
{
    const BootTime now = BootClock::now();
    detectOwnDelay(now);
    std::erase_if(monitored_, [this](auto &entry) {
        const bool isOver = isIdle(entry.second);
        if (isOver) {
            (void)clearMarks(entry.second);
        }
        return isOver;
    });
    for (auto &[id, monitored] : monitored_) {
        if (monitored.endpoint->isUnresponsive && monitored.endpoint->lastReceivedAt > monitored.checkedAt) {
            markResponsive(monitored, now);
        }
        if (isCheckDue(monitored, now)) {
            startCheck(monitored, now);
        }
    }
    if (!monitored_.empty()) {
        timer_.start(TimerInterval);
    }
}

void LivenessMonitor::detectOwnDelay(BootTime now)
{
    if (now - lastTimerAt_ > MaxOwnDelay) {
        lastDelayAt_ = now;
    }
    lastTimerAt_ = now;
}

/** Clears the marks for suspected and unresponsive. @return true if the endpoint was marked unresponsive. */
bool LivenessMonitor::clearMarks(const MonitoredEndpoint &monitored)
{
    if (monitored.endpoint == nullptr) {
        return false;
    }
    monitored.endpoint->isSuspected = false;
    const bool wasUnresponsive = std::exchange(monitored.endpoint->isUnresponsive, false);
    if (wasUnresponsive) {
        options_.metrics.silentEndpoints.add(-1);
    }
    return wasUnresponsive;
}

bool LivenessMonitor::isIdle(const MonitoredEndpoint &monitored) const
{
    const bool isWanted = !monitored.callbacks.empty() || (monitored.endpoint->isUnresponsive && monitored.endpoint->acceptsRequests());
    return !isWanted;
}

/** A check counts like a request while the endpoint is cold. */
bool LivenessMonitor::mayAskCold(const routing::Endpoint &endpoint, BootTime now) const
{
    const routing::ColdEndpoints::Subject subject{.id = endpoint.record.id, .service = endpoint.record.service, .share = endpoint.stated->cold};
    return options_.endpoints.coldEndpoints().mayDispatch(subject, now);
}

bool LivenessMonitor::isCheckDue(const MonitoredEndpoint &monitored, BootTime now) const
{
    const routing::Endpoint &endpoint = *monitored.endpoint;
    if (endpoint.isSuspected) {
        return false; // A check is running.
    }
    if (endpoint.stated->availability.isResting(now)) {
        return false;
    }
    if (!mayAskCold(endpoint, now)) {
        return false;
    }
    if (endpoint.isUnresponsive) {
        return now - monitored.checkedAt >= RecheckInterval;
    }
    if (endpoint.stated->limit.isLimited()) {
        return false; // A check would count against the endpoint's stated rate limit.
    }
    const Duration patience = options_.endpoints.hasFallenBehind(endpoint) ? SilenceWhilePeersAnswer : SilenceOfWholeService;
    return now - endpoint.silentSince() >= patience && now - monitored.checkedAt >= CheckInterval;
}

void LivenessMonitor::startCheck(MonitoredEndpoint &monitored, BootTime now)
{
    const std::string &id = monitored.endpoint->record.id;
    monitored.checkedAt = now;
    monitored.endpoint->isSuspected = true;
    options_.endpoints.coldEndpoints().onDispatch(monitored.endpoint->record.service, monitored.endpoint->stated->cold, now);
    options_.metrics.livenessChecks.add();
    if (monitored.client == nullptr) {
        monitored.client = std::make_unique<http::HttpClient>(
            options_.loop, http::HttpClient::Options{.address = monitored.endpoint->record.address, .maxConnections = 1, .maxBodyBytes = MaxCheckAnswerBytes});
    }
    monitored.client->send({.path = options_.path, .timeout = CheckTimeout}, [this, id](const Result<http::Response> &answer) { onCheckEnd(id, answer); });
}

void LivenessMonitor::onCheckEnd(const std::string &id, const Result<http::Response> &answer)
{
    const auto found = monitored_.find(id);
    if (found == monitored_.end()) {
        return;
    }
    MonitoredEndpoint &monitored = found->second;
    const BootTime now = BootClock::now();
    detectOwnDelay(now);
    monitored.endpoint->isSuspected = false;
    if (answer) {
        http::HeaderList headers;
        for (const auto &[name, value] : answer->headers) {
            headers.add(name, value);
        }
        options_.statements.readAvailability(*monitored.endpoint, {.status = answer->status, .headers = headers}, now);
    }
    // An endpoint that refuses or closes the connection is reachable; if it has crashed, its requests fail on their own connections.
    const bool isLate = !answer && answer.error().code == ErrorCode::DeadlineExceeded;
    if (!isLate) {
        markResponsive(monitored, now);
        return;
    }
    if (lastDelayAt_ < monitored.checkedAt) {
        markUnresponsive(monitored, now);
    }
}

void LivenessMonitor::markUnresponsive(MonitoredEndpoint &monitored, BootTime now)
{
    routing::Endpoint &endpoint = *monitored.endpoint;
    if (!std::exchange(endpoint.isUnresponsive, true)) {
        options_.metrics.silentEndpoints.add(1);
        log()->warn("Endpoint unresponsive id={} address={} silent_ms={} service_silent_ms={} in_progress={}",
                    endpoint.record.id,
                    endpoint.record.address,
                    milliseconds(now - endpoint.silentSince()),
                    milliseconds(now - options_.endpoints.serviceLastReceivedAt(endpoint.record.service)),
                    endpoint.inFlight);
    }
    std::vector<std::function<void()>> callbacks;
    for (const auto &[request, onUnresponsive] : monitored.callbacks) {
        callbacks.push_back(onUnresponsive);
    }
    for (const auto &onUnresponsive : callbacks) {
        onUnresponsive();
    }
}

void LivenessMonitor::markResponsive(MonitoredEndpoint &monitored, BootTime now)
{
    if (!clearMarks(monitored)) {
        return;
    }
    routing::Endpoint &endpoint = *monitored.endpoint;
    endpoint.failures = 0;
    endpoint.avoidUntil = {};
    log()->info(
        "Endpoint responsive again id={} address={} silent_ms={}", endpoint.record.id, endpoint.record.address, milliseconds(now - endpoint.silentSince()));
}

} // namespace magnolia::forward
