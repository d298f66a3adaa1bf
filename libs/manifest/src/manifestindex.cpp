#include "manifest/manifestindex.h"

#include "indexdata.h"
#include "manifest/assembly.h"
#include "manifest/chunks.h"
#include "objectreader.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

namespace magnolia::manifest
{

namespace
{

constexpr std::string_view AllAdapters = "*";

template<typename T>
const T *findByName(const std::vector<T> &sorted, std::string_view name)
{
    const auto entry =
        std::lower_bound(sorted.begin(), sorted.end(), name, [](const T &candidate, std::string_view wanted) { return candidate.name < wanted; });
    return entry != sorted.end() && entry->name == name ? &*entry : nullptr;
}

using EndpointLists = std::unordered_map<std::string_view, std::vector<const Endpoint *>>;

std::span<const Endpoint *const> findList(const EndpointLists &lists, std::string_view name)
{
    const auto list = lists.find(name);
    return list == lists.end() ? std::span<const Endpoint *const>() : std::span<const Endpoint *const>(list->second);
}

const Adapter *findAdapter(const Model &model, std::string_view name)
{
    const auto adapter = std::find_if(model.adapters.begin(), model.adapters.end(), [name](const Adapter &candidate) { return candidate.name == name; });
    return adapter == model.adapters.end() ? nullptr : &*adapter;
}

bool contains(const std::vector<std::string> &texts, std::string_view text)
{
    return std::find(texts.begin(), texts.end(), text) != texts.end();
}

const ModelAccess *findAccess(const Organisation &organisation, std::string_view model)
{
    const auto access =
        std::find_if(organisation.models.begin(), organisation.models.end(), [model](const ModelAccess &candidate) { return candidate.model == model; });
    return access == organisation.models.end() ? nullptr : &*access;
}

bool mayReach(const ModelAccess &access, const ModelTarget &target)
{
    if (target.adapter != nullptr) {
        return contains(access.adapters, AllAdapters) || contains(access.adapters, target.adapter->name);
    }
    return access.versions.empty() || contains(access.versions, target.version);
}

tl::unexpected<Failure> notFound(std::string detail)
{
    return fail(ErrorCode::NotFound, Verdict::NotRun, std::move(detail));
}

} // namespace

std::optional<ModelName> ModelName::parse(std::string_view text)
{
    ModelName name;
    const std::size_t at = text.find('@');
    const bool hasVersion = at != std::string_view::npos;
    if (hasVersion) {
        name.version = text.substr(at + 1);
        text = text.substr(0, at);
    }
    const std::size_t slash = text.find('/');
    const bool hasAdapter = slash != std::string_view::npos;
    name.model = text.substr(0, slash);
    if (hasAdapter) {
        name.adapter = text.substr(slash + 1);
    }
    const bool isValid = isName(name.model) && (!hasAdapter || isName(name.adapter)) && (!hasVersion || isName(name.version));
    return isValid ? std::optional(name) : std::nullopt;
}

std::uint64_t keyPrefix(const Digest &hash)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, hash.bytes.data(), sizeof(prefix));
    return prefix;
}

ManifestIndex::ManifestIndex(std::unique_ptr<const Data> data) : data_(std::move(data)) {}

ManifestIndex::~ManifestIndex() = default;

ManifestIndex::Pointer ManifestIndex::build(const Manifest &manifest)
{
    Manifest numbered = manifest;
    numbered.version = std::max<std::uint64_t>(manifest.version, 1);
    const ChunkSet set = split(numbered);
    Assembly assembly({.version = numbered.version, .root = set.root});
    while (!assembly.isComplete()) {
        for (const Digest &hash : assembly.missing()) {
            if (const auto added = assembly.add(hash, set.chunks.at(hash)); !added) {
                throw std::invalid_argument(added.error().detail);
            }
        }
    }
    auto index = assembly.finish();
    if (!index) {
        throw std::invalid_argument(index.error().detail);
    }
    return std::move(*index);
}

std::uint64_t ManifestIndex::version() const
{
    return data_->root->version;
}

const std::string &ManifestIndex::root() const
{
    return data_->rootText;
}

const Organisation *ManifestIndex::organisationOfKey(std::string_view key) const
{
    const Digest hash = Digest::of(key);
    const auto [begin, end] = data_->keys.equal_range(keyPrefix(hash));
    const Organisation *found = nullptr;
    for (auto entry = begin; entry != end; ++entry) {
        if (entry->second.hash->equalsConstantTime(hash)) {
            found = entry->second.organisation;
        }
    }
    return found;
}

const Organisation *ManifestIndex::organisation(std::string_view name) const
{
    return findByName(data_->shards[shardOf(name, data_->root->shardBits)]->organisations, name);
}

std::size_t ManifestIndex::organisationCount() const
{
    return data_->root->organisationCount;
}

Result<ModelTarget> ManifestIndex::resolveModel(const Organisation &organisation, std::string_view requested) const
{
    const auto name = ModelName::parse(requested);
    if (!name) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "model is not NAME, NAME@VERSION, NAME/ADAPTER or NAME/ADAPTER@VERSION");
    }
    ModelTarget target;
    target.model = model(name->model);
    if (target.model == nullptr) {
        return notFound(fmt::format("no model {}", name->model));
    }
    target.version = target.model->version;
    if (!name->adapter.empty()) {
        target.adapter = findAdapter(*target.model, name->adapter);
        if (target.adapter == nullptr) {
            return notFound(fmt::format("model {} has no adapter {}", name->model, name->adapter));
        }
        target.version = target.adapter->version;
    }
    if (!name->version.empty() && name->version != target.version) {
        return notFound(fmt::format("{} is not served in version {}", requested.substr(0, requested.find('@')), name->version));
    }
    const ModelAccess *access = findAccess(organisation, name->model);
    if (access == nullptr || !mayReach(*access, target)) {
        return fail(ErrorCode::Forbidden, Verdict::NotRun, fmt::format("organisation may not reach {}", requested));
    }
    return target;
}

std::vector<std::string> ManifestIndex::reachableModels(const Organisation &organisation) const
{
    std::vector<std::string> names;
    for (const ModelAccess &access : organisation.models) {
        const Model *reached = model(access.model);
        if (reached == nullptr) {
            continue;
        }
        if (mayReach(access, {.model = reached, .adapter = nullptr, .version = reached->version})) {
            names.push_back(reached->name);
        }
        for (const Adapter &adapter : reached->adapters) {
            if (mayReach(access, {.model = reached, .adapter = &adapter, .version = adapter.version})) {
                names.push_back(reached->name + "/" + adapter.name);
            }
        }
    }
    return names;
}

Result<const Service *> ManifestIndex::resolveService(const Organisation &organisation, std::string_view name) const
{
    const Service *found = service(name);
    if (found == nullptr) {
        return notFound("no such service");
    }
    if (!contains(organisation.services, name)) {
        return fail(ErrorCode::Forbidden, Verdict::NotRun, fmt::format("organisation may not reach service {}", name));
    }
    return found;
}

const Model *ManifestIndex::model(std::string_view name) const
{
    return findByName(*data_->models, name);
}

const Service *ManifestIndex::service(std::string_view name) const
{
    return findByName(*data_->services, name);
}

const Endpoint *ManifestIndex::endpoint(std::string_view name) const
{
    return findByName(*data_->endpoints, name);
}

const Group *ManifestIndex::group(std::string_view name) const
{
    return findByName(*data_->groups, name);
}

std::span<const Endpoint *const> ManifestIndex::endpointsOfModel(std::string_view model) const
{
    return findList(data_->endpointsOfModel, model);
}

std::span<const Endpoint *const> ManifestIndex::endpointsOfService(std::string_view service) const
{
    return findList(data_->endpointsOfService, service);
}

std::span<const Endpoint *const> ManifestIndex::ranksOfGroup(std::string_view group) const
{
    return findList(data_->ranksOfGroup, group);
}

std::span<const Model> ManifestIndex::models() const
{
    return *data_->models;
}

std::span<const Endpoint> ManifestIndex::endpoints() const
{
    return *data_->endpoints;
}

std::span<const Group> ManifestIndex::groups() const
{
    return *data_->groups;
}

std::span<const Service> ManifestIndex::services() const
{
    return *data_->services;
}

std::optional<std::string> ManifestIndex::chunk(const Digest &hash) const
{
    const auto entry = data_->chunks.find(hash);
    return entry == data_->chunks.end() ? std::nullopt : std::optional(entry->second->bytes);
}

Manifest ManifestIndex::toManifest() const
{
    Manifest manifest;
    manifest.version = version();
    manifest.models = *data_->models;
    manifest.endpoints = *data_->endpoints;
    manifest.groups = *data_->groups;
    manifest.services = *data_->services;
    for (const ShardChunk *shard : data_->shards) {
        const std::size_t first = manifest.organisations.size();
        manifest.organisations.insert(manifest.organisations.end(), shard->organisations.begin(), shard->organisations.end());
        for (const ShardKey &key : shard->keys) {
            manifest.organisations[first + key.organisation].keyHashes.push_back(key.hash.toString());
        }
    }
    return manifest;
}

} // namespace magnolia::manifest
