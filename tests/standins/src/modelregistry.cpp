#include "modelregistry.h"

namespace magnolia::standins
{

void ModelRegistry::beginLoad(const std::string &model, const std::string &version)
{
    Model &entry = models_[model];
    const bool isThere = entry.isServing && entry.version == version;
    if (!isThere) {
        entry = Model{.version = version, .isServing = false, .adapters = {}};
    }
}

void ModelRegistry::endLoad(const std::string &model, const std::string &version)
{
    const auto found = models_.find(model);
    if (found != models_.end() && found->second.version == version) {
        found->second.isServing = true;
    }
}

void ModelRegistry::unload(const std::string &model)
{
    models_.erase(model);
}

bool ModelRegistry::loadAdapter(const std::string &model, const std::string &adapter, const std::string &version)
{
    const auto found = models_.find(model);
    if (found == models_.end()) {
        return false;
    }
    found->second.adapters[adapter] = version;
    return true;
}

bool ModelRegistry::unloadAdapter(const std::string &model, const std::string &adapter)
{
    const auto found = models_.find(model);
    if (found == models_.end()) {
        return false;
    }
    found->second.adapters.erase(adapter);
    return true;
}

bool ModelRegistry::isServing(std::string_view name) const
{
    const std::size_t at = name.find('@');
    const std::string_view version = at == std::string_view::npos ? std::string_view() : name.substr(at + 1);
    const std::string_view path = name.substr(0, at);
    const std::size_t slash = path.find('/');
    const std::string adapter(slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1));
    const auto found = models_.find(path.substr(0, slash));
    if (found == models_.end() || !found->second.isServing) {
        return false;
    }
    const bool hasVersion = version.empty() || version == found->second.version;
    return hasVersion && (adapter.empty() || found->second.adapters.contains(adapter));
}

Json ModelRegistry::toJson() const
{
    Json all = Json::array();
    for (const auto &[name, model] : models_) {
        Json adapters = Json::array();
        for (const auto &[adapter, version] : model.adapters) {
            adapters.push_back({{"name", adapter}, {"version", version}});
        }
        all.push_back({{"name", name}, {"version", model.version}, {"state", model.isServing ? "serving" : "loading"}, {"adapters", adapters}});
    }
    return all;
}

} // namespace magnolia::standins
