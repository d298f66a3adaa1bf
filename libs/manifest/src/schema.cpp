#include "schema.h"

#include <algorithm>

namespace magnolia::manifest
{

namespace
{

constexpr std::uint32_t MaxWeight = 1000;
constexpr double MaxRate = 1e6;
constexpr std::uint32_t MaxEndpoints = 100000;
constexpr std::uint32_t MaxConcurrency = 100000;
constexpr std::uint32_t MaxRanks = 4096;
constexpr std::uint32_t MaxLayers = 256;
constexpr std::uint32_t MaxExperts = 1024;
constexpr double MaxCostWeight = 1e9;
constexpr std::uint64_t MinTimeoutMs = 100;
constexpr std::uint64_t MaxTimeoutMs = 600000;
constexpr std::string_view AllAdapters = "*";

const std::vector<std::string_view> &tierWords()
{
    static const std::vector<std::string_view> words = {"paying", "trial"};
    return words;
}

const std::vector<std::string_view> &kindWords()
{
    static const std::vector<std::string_view> words = {"model", "service"};
    return words;
}

const std::vector<std::string_view> &roleWords()
{
    static const std::vector<std::string_view> words = {"any", "prefill", "decode"};
    return words;
}

const std::vector<std::string_view> &methodWords()
{
    static const std::vector<std::string_view> words = {"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};
    return words;
}

ModelAccess readModelAccess(const Json &value, const Pointer &pointer, ProblemList &problems)
{
    ModelAccess access;
    ObjectReader reader(value, pointer, problems);
    reader.require("model").name("model", access.model);
    reader.names("adapters", access.adapters, AllAdapters);
    reader.names("versions", access.versions);
    reader.finish();
    return access;
}

Adapter readAdapter(const Json &value, const Pointer &pointer, ProblemList &problems)
{
    Adapter adapter;
    ObjectReader reader(value, pointer, problems);
    reader.require("name").name("name", adapter.name);
    reader.require("version").name("version", adapter.version);
    reader.finish();
    return adapter;
}

std::vector<std::string> sorted(std::vector<std::string> texts)
{
    std::sort(texts.begin(), texts.end());
    return texts;
}

void putList(Json &object, const char *key, const std::vector<std::string> &texts)
{
    if (!texts.empty()) {
        object[key] = sorted(texts);
    }
}

template<typename T>
void putUnlessDefault(Json &object, const char *key, const T &value, const T &defaultValue)
{
    if (value != defaultValue) {
        object[key] = value;
    }
}

Json toJson(const ModelAccess &access)
{
    Json object = {{"model", access.model}};
    putList(object, "adapters", access.adapters);
    putList(object, "versions", access.versions);
    return object;
}

} // namespace

Organisation readOrganisation(const Json &value, const Pointer &pointer, ProblemList &problems)
{
    Organisation organisation;
    ObjectReader reader(value, pointer, problems);
    reader.require("name").name("name", organisation.name);
    reader.require("tier");
    organisation.tier = static_cast<Tier>(reader.word("tier", tierWords(), static_cast<std::size_t>(Tier::Trial)));
    reader.integer("weight", organisation.weight, 1, MaxWeight);
    reader.digests("key_hashes", organisation.keyHashes);
    reader.objects("models", organisation.models, readModelAccess);
    reader.names("services", organisation.services);
    reader.number("requests_per_second", organisation.requestsPerSecond, 0, MaxRate);
    reader.number("burst", organisation.burst, 0, MaxRate);
    reader.finish();
    return organisation;
}

Model readModel(const Json &value, const Pointer &pointer, ProblemList &problems)
{
    Model model;
    ObjectReader reader(value, pointer, problems);
    reader.require("name").name("name", model.name);
    reader.require("version").name("version", model.version);
    reader.objects("adapters", model.adapters, readAdapter);
    reader.integer("serving_floor", model.servingFloor, 0, MaxEndpoints);
    reader.integer("max_moving", model.maxMoving, 1, MaxEndpoints);
    reader.finish();
    return model;
}

Endpoint readEndpoint(const Json &value, const Pointer &pointer, ProblemList &problems)
{
    Endpoint endpoint;
    ObjectReader reader(value, pointer, problems);
    reader.require("name").name("name", endpoint.name);
    reader.require("data_centre").name("data_centre", endpoint.dataCentre);
    endpoint.kind = static_cast<EndpointKind>(reader.word("kind", kindWords(), static_cast<std::size_t>(EndpointKind::Model)));
    reader.names("models", endpoint.models);
    reader.name("service", endpoint.service);
    if (endpoint.kind == EndpointKind::Model) {
        endpoint.role = roleWords()[reader.word("role", roleWords(), 0)];
    }
    reader.integer("concurrency", endpoint.concurrency, 1, MaxConcurrency);
    reader.boolean("checks_fencing", endpoint.checksFencing);
    reader.name("group", endpoint.group);
    reader.integer("rank", endpoint.rank, 0, MaxRanks - 1);
    reader.finish();
    return endpoint;
}

Group readGroup(const Json &value, const Pointer &pointer, ProblemList &problems)
{
    Group group;
    ObjectReader reader(value, pointer, problems);
    reader.require("name").name("name", group.name);
    reader.require("ranks").integer("ranks", group.ranks, 1, MaxRanks);
    reader.integer("layers", group.layers, 1, MaxLayers);
    reader.require("experts").integer("experts", group.experts, 1, MaxExperts);
    reader.require("slots_per_rank").integer("slots_per_rank", group.slotsPerRank, 1, MaxExperts);
    reader.number("skew_weight", group.skewWeight, 0, MaxCostWeight);
    reader.number("rebalance_weight", group.rebalanceWeight, 0, MaxCostWeight);
    reader.finish();
    return group;
}

Service readService(const Json &value, const Pointer &pointer, ProblemList &problems)
{
    Service service;
    auto timeoutMs = static_cast<std::uint64_t>(service.timeout.count());
    ObjectReader reader(value, pointer, problems);
    reader.require("name").name("name", service.name);
    reader.boolean("idempotent", service.idempotent);
    reader.words("safe_methods", service.safeMethods, methodWords());
    reader.integer("timeout_ms", timeoutMs, MinTimeoutMs, MaxTimeoutMs);
    reader.finish();
    service.timeout = Duration(timeoutMs);
    return service;
}

Manifest readManifest(const Json &value, ProblemList &problems)
{
    Manifest manifest;
    ObjectReader reader(value, Pointer(), problems);
    reader.objects("organisations", manifest.organisations, readOrganisation);
    reader.objects("models", manifest.models, readModel);
    reader.objects("endpoints", manifest.endpoints, readEndpoint);
    reader.objects("groups", manifest.groups, readGroup);
    reader.objects("services", manifest.services, readService);
    reader.finish();
    return manifest;
}

Json toJson(const Organisation &organisation)
{
    const Organisation defaults;
    Json object = {{"name", organisation.name}, {"tier", tierWords()[static_cast<std::size_t>(organisation.tier)]}};
    putUnlessDefault(object, "weight", organisation.weight, defaults.weight);
    putList(object, "key_hashes", organisation.keyHashes);
    putList(object, "services", organisation.services);
    putUnlessDefault(object, "requests_per_second", organisation.requestsPerSecond, defaults.requestsPerSecond);
    putUnlessDefault(object, "burst", organisation.burst, defaults.burst);
    if (!organisation.models.empty()) {
        Json models = Json::array();
        for (const ModelAccess &access : organisation.models) {
            models.push_back(toJson(access));
        }
        std::sort(models.begin(), models.end());
        object["models"] = std::move(models);
    }
    return object;
}

Json toJson(const Model &model)
{
    const Model defaults;
    Json object = {{"name", model.name}, {"version", model.version}};
    putUnlessDefault(object, "serving_floor", model.servingFloor, defaults.servingFloor);
    putUnlessDefault(object, "max_moving", model.maxMoving, defaults.maxMoving);
    if (!model.adapters.empty()) {
        Json adapters = Json::array();
        for (const Adapter &adapter : model.adapters) {
            adapters.push_back({{"name", adapter.name}, {"version", adapter.version}});
        }
        std::sort(adapters.begin(), adapters.end());
        object["adapters"] = std::move(adapters);
    }
    return object;
}

Json toJson(const Endpoint &endpoint)
{
    const Endpoint defaults;
    Json object = {{"name", endpoint.name}, {"data_centre", endpoint.dataCentre}};
    if (endpoint.kind == EndpointKind::Service) {
        object["kind"] = kindWords()[static_cast<std::size_t>(endpoint.kind)];
    } else {
        putUnlessDefault(object, "role", endpoint.role, std::string(roleWords().front()));
    }
    putList(object, "models", endpoint.models);
    putUnlessDefault(object, "service", endpoint.service, defaults.service);
    putUnlessDefault(object, "concurrency", endpoint.concurrency, defaults.concurrency);
    putUnlessDefault(object, "checks_fencing", endpoint.checksFencing, defaults.checksFencing);
    putUnlessDefault(object, "group", endpoint.group, defaults.group);
    putUnlessDefault(object, "rank", endpoint.rank, defaults.rank);
    return object;
}

Json toJson(const Group &group)
{
    const Group defaults;
    Json object = {{"name", group.name}, {"ranks", group.ranks}, {"experts", group.experts}, {"slots_per_rank", group.slotsPerRank}};
    putUnlessDefault(object, "layers", group.layers, defaults.layers);
    putUnlessDefault(object, "skew_weight", group.skewWeight, defaults.skewWeight);
    putUnlessDefault(object, "rebalance_weight", group.rebalanceWeight, defaults.rebalanceWeight);
    return object;
}

Json toJson(const Service &service)
{
    const Service defaults;
    Json object = {{"name", service.name}};
    putUnlessDefault(object, "idempotent", service.idempotent, defaults.idempotent);
    putList(object, "safe_methods", service.safeMethods);
    putUnlessDefault(object, "timeout_ms", service.timeout.count(), defaults.timeout.count());
    return object;
}

} // namespace magnolia::manifest
