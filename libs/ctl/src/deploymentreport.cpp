#include "ctl/deploymentreport.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <map>

namespace magnolia::ctl
{

namespace
{

using Json = nlohmann::json;
using routing::EndpointRecord;
using routing::Route;

std::string_view toString(routing::RouteKind kind)
{
    switch (kind) {
    case routing::RouteKind::Idempotent:
        return "idempotent";
    case routing::RouteKind::AtMostOnce:
        return "at most once";
    case routing::RouteKind::Stream:
        return "stream";
    }
    return "unknown";
}

Json toJson(const Route &route)
{
    Json targets = Json::object();
    for (const routing::RouteTarget &target : route.targets) {
        targets[target.service] = target.weight;
    }
    return {{"host", route.host},
            {"prefix", route.pathPrefix},
            {"kind", toString(route.kind)},
            {"resumable", route.isResumable},
            {"timeout_ms", route.timeout.count()},
            {"latency_objective_ms", route.latencyObjective.count()},
            {"pause_objective_ms", route.pauseObjective.count()},
            {"priority", route.priority ? Json(*route.priority) : Json()},
            {"max_endpoints", route.maxEndpoints},
            {"public", route.isPublic},
            {"weights", std::move(targets)}};
}

Json toJson(const routing::Service &service)
{
    return {{"max_connections", service.maxConnections},
            {"expert_sets", service.experts.sets},
            {"experts", service.experts.experts},
            {"expert_places", service.experts.expertSlotsPerRank}};
}

/** Tells two keys apart without showing either. */
std::string fingerprint(const std::string &key)
{
    return fmt::format("{:08x}", XXH64(key.data(), key.size(), 0) & 0xffffffffU);
}

Json toJson(const routing::Organisation &organisation)
{
    Json keys = Json::array();
    for (const std::string &key : organisation.keys) {
        keys.push_back(fingerprint(key));
    }
    std::sort(keys.begin(), keys.end());
    return {{"keys", std::move(keys)}, {"priority", organisation.priority ? Json(*organisation.priority) : Json()}};
}

Json toJson(const EndpointRecord &endpoint)
{
    return {
        {"id", endpoint.id}, {"address", endpoint.address}, {"data_centre", endpoint.dataCentre}, {"slots", endpoint.slots}, {"leaving", endpoint.isLeaving}};
}

template<typename T>
std::vector<manifest::NamedDocument> documentsOf(std::span<const T> entries)
{
    std::vector<manifest::NamedDocument> documents;
    for (const T &entry : entries) {
        documents.push_back({.name = entry.name, .document = toJson(entry).dump()});
    }
    return documents;
}

template<typename T>
void addChanges(const char *section, std::span<const T> before, std::span<const T> after, std::vector<manifest::Change> &changes)
{
    const auto found = manifest::diffDocuments(section, documentsOf(before), documentsOf(after));
    changes.insert(changes.end(), found.begin(), found.end());
}

Json servicesOf(const DeploymentSummary &summary)
{
    Json services = Json::object();
    for (const routing::Service &service : summary.routing.services) {
        services[service.name] = {{"endpoints", 0}, {"leaving", 0}, {"data_centres", Json::object()}};
    }
    for (const EndpointRecord &endpoint : summary.endpoints) {
        Json &service = services[endpoint.service];
        service["endpoints"] = service.value("endpoints", 0) + 1;
        service["leaving"] = service.value("leaving", 0) + (endpoint.isLeaving ? 1 : 0);
        Json &centre = service["data_centres"][endpoint.dataCentre];
        centre = (centre.is_null() ? 0 : centre.get<int>()) + 1;
    }
    return services;
}

Json toJson(const RankRecord &rank)
{
    const group::RankState &state = rank.state;
    return {{"rank", state.rank},
            {"id", rank.id},
            {"address", rank.address},
            {"epoch", state.epoch},
            {"open", state.isOpen},
            {"step", state.step},
            {"map", state.mapVersion},
            {"prepared", state.preparedVersion},
            {"armed", state.armed ? Json({{"map", state.armed->version}, {"step", state.armed->step}}) : Json()},
            {"held", state.heldStep ? Json(*state.heldStep) : Json()},
            {"running", state.runningRequests},
            {"waiting", state.waitingRequests},
            {"pace", state.pace},
            {"experts", rank.held.experts}};
}

} // namespace

std::string statusDocument(const DeploymentSummary &summary)
{
    Json entries = Json::array();
    for (const EntryRecord &entry : summary.entries) {
        entries.push_back({{"name", entry.name}, {"address", entry.address}, {"announced_s_ago", std::chrono::duration<double>(entry.age).count()}});
    }
    Json groups = Json::array();
    for (const GroupRecord &group : summary.groups) {
        groups.push_back({{"group", group.group}, {"coordinator", group.coordinator}, {"term", group.term}});
    }
    const Json document = {{"routes_version", summary.routing.version},
                           {"routes", summary.routing.routes.size()},
                           {"organisations", summary.routing.organisations.size()},
                           {"services", servicesOf(summary)},
                           {"entries", std::move(entries)},
                           {"groups", std::move(groups)}};
    return document.dump();
}

Result<std::string> explainDocument(const routing::RouteTable &routes, std::span<const EndpointRecord> endpoints, std::string_view host, std::string_view path)
{
    const Route *route = routes.match(host, path);
    if (route == nullptr) {
        return fail(ErrorCode::NotFound, Verdict::NotRun, fmt::format("no route of version {} leads from {}{}", routes.version(), host, path));
    }
    Json targets = Json::array();
    for (const routing::RouteTarget &target : route->targets) {
        Json known = Json::array();
        for (const EndpointRecord &endpoint : endpoints) {
            if (endpoint.service == target.service) {
                known.push_back(toJson(endpoint));
            }
        }
        targets.push_back({{"service", target.service}, {"weight", target.weight}, {"endpoints", std::move(known)}});
    }
    Json document = toJson(*route);
    document.erase("weights");
    document["route"] = route->name;
    document["routes_version"] = routes.version();
    document["needs_key"] = routes.needsKeys() && !route->isPublic;
    document["targets"] = std::move(targets);
    return document.dump();
}

std::string groupDocument(std::string_view group, std::span<const RankRecord> ranks, std::span<const std::string> unanswered)
{
    std::map<std::uint32_t, Json> byRank;
    std::map<std::uint64_t, int> versions;
    for (const RankRecord &rank : ranks) {
        byRank[rank.state.rank] = toJson(rank);
        ++versions[rank.state.mapVersion];
    }
    Json list = Json::array();
    for (auto &[rank, document] : byRank) {
        list.push_back(std::move(document));
    }
    // Reports of ranks are of different moments: two versions mean that a change was under way, not that a pass ran on both.
    const Json document = {{"group", group},
                           {"size", ranks.empty() ? 0U : ranks.front().state.size},
                           {"versions_seen", versions.size()},
                           {"ranks", std::move(list)},
                           {"engines_without_an_answer", unanswered}};
    return document.dump();
}

std::vector<manifest::Change> diffRouting(const routing::RoutingConfig &before, const routing::RoutingConfig &after)
{
    std::vector<manifest::Change> changes;
    addChanges("routes", std::span(before.routes), std::span(after.routes), changes);
    addChanges("services", std::span(before.services), std::span(after.services), changes);
    addChanges("organisations", std::span(before.organisations), std::span(after.organisations), changes);
    return changes;
}

} // namespace magnolia::ctl
