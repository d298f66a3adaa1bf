#include "routing/routetable.h"

#include <algorithm>
#include <utility>

namespace magnolia::routing
{

namespace
{

std::string_view withoutPort(std::string_view host)
{
    const bool isBracketed = host.starts_with('[');
    const std::size_t colon = isBracketed ? host.find("]:") : host.find(':');
    if (colon == std::string_view::npos) {
        return host;
    }
    return host.substr(0, isBracketed ? colon + 1 : colon);
}

char toLower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

/** @return the host in the form in which hosts are compared: without its port, in small letters (RFC 9110, 4.2.3). */
std::string hostKeyOf(std::string_view host)
{
    std::string key(withoutPort(host));
    std::transform(key.begin(), key.end(), key.begin(), &toLower);
    return key;
}

/** @return the services to which streams can be sent, with the priorities of their routes and, if these differ, of the organisations. */
TextMap<PrioritySet> streamPrioritiesOf(const RoutingConfig &config)
{
    PrioritySet ofOrganisations;
    for (const Organisation &organisation : config.organisations) {
        if (organisation.priority) {
            ofOrganisations.set(*organisation.priority);
        }
    }
    TextMap<PrioritySet> priorities;
    for (const Route &route : config.routes) {
        if (route.kind != RouteKind::Stream) {
            continue;
        }
        for (const RouteTarget &target : route.targets) {
            priorities[target.service].set(route.priority.value_or(DefaultPriority));
        }
    }
    for (auto &[service, ofRoutes] : priorities) {
        if (ofRoutes.count() > 1) {
            ofRoutes |= ofOrganisations;
        }
    }
    return priorities;
}

} // namespace

Duration shortestPauseObjective(const RoutingConfig &config, std::string_view service)
{
    Duration shortest{0};
    for (const Route &route : config.routes) {
        const bool isTarget =
            std::any_of(route.targets.begin(), route.targets.end(), [service](const RouteTarget &target) { return target.service == service; });
        const bool isShorter = route.pauseObjective.count() > 0 && (shortest.count() == 0 || route.pauseObjective < shortest);
        shortest = isTarget && isShorter ? route.pauseObjective : shortest;
    }
    return shortest;
}

RouteTable::RouteTable(RoutingConfig config) : config_(std::move(config)), streamPriorities_(routing::streamPrioritiesOf(config_))
{
    for (const Route &route : config_.routes) {
        hosts_[hostKeyOf(route.host)].emplace(route.pathPrefix, &route);
    }
    for (const Organisation &organisation : config_.organisations) {
        for (const std::string &key : organisation.keys) {
            keys_.emplace(key, &organisation);
        }
    }
    for (const Service &service : config_.services) {
        services_.emplace(service.name, &service);
    }
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto routes = hosts_.find(hostKeyOf(host));
    if (routes == hosts_.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so only slashes of the path can end a match. Starts with the last one, the longest prefix.
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = routes->second.find(path.substr(0, slash + 1));
        if (found != routes->second.end()) {
            return found->second;
        }
        slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

const Organisation *RouteTable::organisationOf(std::string_view key) const
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : found->second;
}

const Service *RouteTable::service(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

PrioritySet RouteTable::streamPrioritiesOf(std::string_view service) const
{
    const auto found = streamPriorities_.find(service);
    return found == streamPriorities_.end() ? PrioritySet() : found->second;
}

const RouteTarget &pickTarget(const Route &route, double point)
{
    double total = 0;
    for (const RouteTarget &target : route.targets) {
        total += target.weight;
    }
    double left = point * total;
    for (const RouteTarget &target : route.targets) {
        left -= target.weight;
        if (left < 0) {
            return target;
        }
    }
    return route.targets.back();
}

} // namespace magnolia::routing
