#include "coldmonitor.h"

#include "observe/log.h"

#include <iterator>
#include <string>
#include <string_view>

namespace magnolia::forward
{

namespace
{

using routing::ColdSource;

// Only for the log line and the metric; decisions look at the time themselves.
constexpr Duration CheckInterval{100};

// Far more than ever state something unreadable.
constexpr std::size_t MaxUnreadable = 1000;

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("endpoints");
    return instance;
}

std::string_view nameOf(ColdSource source)
{
    switch (source) {
    case ColdSource::Registration:
        return "registration";
    case ColdSource::Start:
        return "start";
    case ColdSource::Answer:
        return "answer";
    case ColdSource::Unreachable:
        return "unreachable";
    case ColdSource::Return:
        return "return";
    }
    return "unknown";
}

} // namespace

void ColdMonitor::onListed(const routing::Endpoint &endpoint)
{
    const routing::ColdEndpoints::Listing listing{
        .service = endpoint.record.service, .coldUntil = endpoint.record.coldUntil, .version = endpoint.record.listedAt};
    if (const auto source = options_.endpoints.coldEndpoints().onListed(listing, endpoint.stated->cold, BootClock::now())) {
        add(endpoint, *source);
    }
}

void ColdMonitor::onStated(const routing::Endpoint &endpoint, Duration timeLeft)
{
    const BootTime now = BootClock::now();
    if (options_.endpoints.coldEndpoints().onStated(endpoint.record.service, endpoint.stated->cold, now + timeLeft, now)) {
        add(endpoint, ColdSource::Answer);
    }
}

bool ColdMonitor::onUnreadable(const routing::Endpoint &endpoint)
{
    if (unreadable_.size() >= MaxUnreadable) {
        unreadable_.clear(); // Those that go on are logged once more.
    }
    return unreadable_.insert(endpoint.record.id).second;
}

void ColdMonitor::onUnreachable(const routing::Endpoint &endpoint)
{
    if (options_.endpoints.coldEndpoints().assumeCold(endpoint.record.service, endpoint.stated->cold, BootClock::now())) {
        add(endpoint, ColdSource::Unreachable);
    }
}

void ColdMonitor::onDataCentreReturned(std::string_view dataCentre)
{
    const BootTime now = BootClock::now();
    const routing::ColdEndpoints &cold = options_.endpoints.coldEndpoints();
    for (const std::string &service : cold.services()) {
        for (const routing::EndpointPointer &endpoint : options_.endpoints.endpointsOf(service)) {
            const bool isThere = endpoint->record.dataCentre == dataCentre;
            if (isThere && cold.assumeCold(service, endpoint->stated->cold, now)) {
                add(*endpoint, ColdSource::Return);
            }
        }
    }
}

void ColdMonitor::add(const routing::Endpoint &endpoint, ColdSource source)
{
    const auto left = std::chrono::ceil<Duration>(endpoint.stated->cold.coldUntil() - BootClock::now());
    log()->info("Endpoint cold id={} service={} data_centre={} source={} for_ms={}",
                endpoint.record.id,
                endpoint.record.service,
                endpoint.record.dataCentre,
                nameOf(source),
                left.count());
    if (const auto known = options_.endpoints.find(endpoint.record.id)) {
        cold_.insert_or_assign(endpoint.record.id, known);
        options_.metrics.coldEndpoints.set(static_cast<double>(cold_.size()));
        timer_.start(CheckInterval);
    }
}

/** Logs the endpoints that are no longer cold. */
void ColdMonitor::forgetWarm()
{
    const BootTime now = BootClock::now();
    for (auto entry = cold_.begin(); entry != cold_.end();) {
        const routing::Endpoint &endpoint = *entry->second;
        const bool isCold = options_.endpoints.coldEndpoints().isCold(endpoint.record.service, endpoint.stated->cold, now);
        if (!isCold && !endpoint.isRemoved) {
            log()->info("Endpoint warm id={} service={}", endpoint.record.id, endpoint.record.service);
        }
        entry = isCold && !endpoint.isRemoved ? std::next(entry) : cold_.erase(entry);
    }
    options_.metrics.coldEndpoints.set(static_cast<double>(cold_.size()));
    if (!cold_.empty()) {
        timer_.start(CheckInterval);
    }
}

} // namespace magnolia::forward
