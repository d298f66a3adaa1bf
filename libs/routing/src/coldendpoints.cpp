#include "routing/coldendpoints.h"

#include <algorithm>
#include <cmath>

namespace magnolia::routing
{

void ColdEndpoints::setServices(std::span<const Service> services)
{
    services_.clear();
    if (!bound_) {
        return;
    }
    for (const Service &service : services) {
        if (service.coldStart.isConfigured()) {
            services_.emplace(service.name, ServiceRate{.time = service.coldStart.time, .rate = coldRateOf(service.coldStart, *bound_)});
        }
    }
}

std::vector<std::string> ColdEndpoints::services() const
{
    std::vector<std::string> names;
    for (const auto &[name, rate] : services_) {
        names.push_back(name);
    }
    return names;
}

std::optional<ColdSource> ColdEndpoints::onListed(const Listing &listing, ColdRateShare &share, BootTime now) const
{
    const bool isOtherRun = !share.isListed();
    // A registration that is received again, with the whole list or from a peer, would otherwise prolong the time that it states.
    const bool isNewVersion = share.onListed(listing.version);
    const bool hasStarted = isOtherRun && isFirstListComplete_ && assumeCold(listing.service, share, now);
    const bool isStatedCold = isNewVersion && share.extend(listing.coldUntil, now) && rateOf(listing.service) != nullptr;
    if (hasStarted) {
        return ColdSource::Start;
    }
    return isStatedCold ? std::optional(ColdSource::Registration) : std::nullopt;
}

bool ColdEndpoints::onStated(std::string_view service, ColdRateShare &share, BootTime until, BootTime now) const
{
    return share.extend(until, now) && rateOf(service) != nullptr;
}

bool ColdEndpoints::assumeCold(std::string_view service, ColdRateShare &share, BootTime now) const
{
    const ServiceRate *known = rateOf(service);
    return known != nullptr && share.extend(now + known->time, now);
}

bool ColdEndpoints::mayDispatch(const Subject &endpoint, BootTime now) const
{
    const ServiceRate *known = endpoint.share.isCold(now) ? rateOf(endpoint.service) : nullptr;
    return known == nullptr || endpoint.share.canSend({.endpoint = endpoint.id, .rate = known->rate, .holders = holders_}, now);
}

void ColdEndpoints::onDispatch(std::string_view service, ColdRateShare &share, BootTime now) const
{
    if (isCold(service, share, now)) {
        share.onSent(now);
    }
}

BootTime ColdEndpoints::nextDispatchAt(const Subject &endpoint, BootTime now) const
{
    const ServiceRate *known = endpoint.share.isCold(now) ? rateOf(endpoint.service) : nullptr;
    if (known == nullptr) {
        return now;
    }
    const auto turn = endpoint.share.nextTurnAt({.endpoint = endpoint.id, .rate = known->rate, .holders = holders_}, now);
    return std::min(turn.value_or(endpoint.share.coldUntil()), endpoint.share.coldUntil());
}

bool ColdEndpoints::isWithheld(const Subject &endpoint, BootTime now) const
{
    const ServiceRate *known = endpoint.share.isCold(now) ? rateOf(endpoint.service) : nullptr;
    return known != nullptr && !endpoint.share.nextTurnAt({.endpoint = endpoint.id, .rate = known->rate, .holders = holders_}, now);
}

std::uint32_t ColdEndpoints::usableSlots(std::string_view service, const ColdRateShare &share, std::uint32_t slots, BootTime now) const
{
    const ServiceRate *known = share.isCold(now) ? rateOf(service) : nullptr;
    return known == nullptr ? slots : static_cast<std::uint32_t>(std::min<double>(slots, std::ceil(known->rate.perSecond)));
}

const ColdEndpoints::ServiceRate *ColdEndpoints::rateOf(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

} // namespace magnolia::routing
