#include "agent/reconciler.h"

#include <algorithm>

namespace magnolia::agent
{

namespace
{

using engine::EngineState;
using engine::ModelState;
using engine::OrderKind;

const DesiredModel *findModel(const DesiredEngine &desired, const std::string &name)
{
    const auto found = std::find_if(desired.models.begin(), desired.models.end(), [&name](const DesiredModel &model) { return model.name == name; });
    return found == desired.models.end() ? nullptr : &*found;
}

std::uint32_t waitingFor(const std::map<std::string, std::uint32_t> &waiting, const std::string &model)
{
    const auto found = waiting.find(model);
    return found == waiting.end() ? 0 : found->second;
}

void planUnloads(const DesiredEngine &desired, const EngineState &seen, ReconcilePlan &plan)
{
    // What nobody asked for goes first, since it takes the memory that the others need.
    for (const ModelState &model : seen.models) {
        if (findModel(desired, model.name) == nullptr) {
            plan.orders.push_back({.kind = OrderKind::UnloadModel, .model = model.name});
        }
    }
}

void planAdapters(const DesiredModel &desired, const ModelState &seen, ReconcilePlan &plan)
{
    for (const engine::AdapterState &adapter : seen.adapters) {
        const bool isWanted =
            std::any_of(desired.adapters.begin(), desired.adapters.end(), [&](const engine::AdapterState &wanted) { return wanted.name == adapter.name; });
        if (!isWanted) {
            plan.orders.push_back({.kind = OrderKind::UnloadAdapter, .model = desired.name, .adapter = adapter.name});
        }
    }
    for (const engine::AdapterState &wanted : desired.adapters) {
        if (std::find(seen.adapters.begin(), seen.adapters.end(), wanted) == seen.adapters.end()) {
            plan.orders.push_back({.kind = OrderKind::LoadAdapter, .model = desired.name, .version = wanted.version, .adapter = wanted.name});
        }
    }
}

/** @return true if the model is in place, apart from its adapters. */
bool planModel(const DesiredModel &desired, const EngineState &seen, const std::set<std::string> &mayReplace, ReconcilePlan &plan)
{
    const ModelState *model = seen.model(desired.name);
    if (model == nullptr) {
        plan.orders.push_back({.kind = OrderKind::LoadModel, .model = desired.name, .version = desired.version});
        return false;
    }
    if (model->version == desired.version) {
        return model->serving;
    }
    // One that serves is taken out of service only with leave; one that is still loading the wrong version serves nobody.
    if (model->serving) {
        plan.replaces.insert(desired.name);
    }
    if (!model->serving || mayReplace.contains(desired.name)) {
        plan.orders.push_back({.kind = OrderKind::LoadModel, .model = desired.name, .version = desired.version});
    }
    return false;
}

} // namespace

DesiredEngine desiredEngine(const manifest::ManifestIndex &index, std::string_view endpoint)
{
    DesiredEngine desired;
    const manifest::Endpoint *found = index.endpoint(endpoint);
    if (found == nullptr) {
        return desired;
    }
    if (!found->role.empty()) {
        desired.role = found->role;
    }
    for (const std::string &name : found->models) {
        const manifest::Model *model = index.model(name);
        if (model == nullptr) {
            continue;
        }
        DesiredModel wanted{.name = model->name, .version = model->version};
        for (const manifest::Adapter &adapter : model->adapters) {
            wanted.adapters.push_back({.name = adapter.name, .version = adapter.version});
        }
        desired.models.push_back(std::move(wanted));
    }
    return desired;
}

ReconcilePlan
reconcile(const DesiredEngine &desired, const EngineState &seen, const std::map<std::string, std::uint32_t> &waiting, const std::set<std::string> &mayReplace)
{
    ReconcilePlan plan;
    if (seen.role != desired.role) {
        plan.orders.push_back({.kind = OrderKind::SetRole, .role = desired.role});
    }
    planUnloads(desired, seen, plan);
    std::vector<const DesiredModel *> byWaiting;
    for (const DesiredModel &model : desired.models) {
        byWaiting.push_back(&model);
    }
    std::stable_sort(byWaiting.begin(), byWaiting.end(), [&waiting](const DesiredModel *a, const DesiredModel *b) {
        return waitingFor(waiting, a->name) > waitingFor(waiting, b->name);
    });
    bool allServe = true;
    for (const DesiredModel *model : byWaiting) {
        if (planModel(*model, seen, mayReplace, plan)) {
            planAdapters(*model, *seen.model(model->name), plan);
        } else {
            allServe = false;
        }
    }
    plan.converged = allServe && plan.orders.empty();
    return plan;
}

std::vector<std::string> loadedNames(const EngineState &seen)
{
    std::vector<std::string> names;
    for (const ModelState &model : seen.models) {
        if (!model.serving) {
            continue;
        }
        names.push_back(model.name + '@' + model.version);
        for (const engine::AdapterState &adapter : model.adapters) {
            names.push_back(model.name + '/' + adapter.name + '@' + adapter.version);
        }
    }
    return names;
}

} // namespace magnolia::agent
