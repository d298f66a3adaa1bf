#include "engine/enginestate.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia::engine
{

namespace
{

using Json = nlohmann::json;

std::string_view orderName(OrderKind kind)
{
    switch (kind) {
    case OrderKind::LoadModel:
        return "load_model";
    case OrderKind::UnloadModel:
        return "unload_model";
    case OrderKind::LoadAdapter:
        return "load_adapter";
    case OrderKind::UnloadAdapter:
        return "unload_adapter";
    case OrderKind::SetRole:
        return "set_role";
    }
    return "";
}

ModelState modelFrom(const Json &json)
{
    ModelState model{
        .name = json.at("name").get<std::string>(),
        .version = json.at("version").get<std::string>(),
        .serving = json.at("state").get<std::string>() == "serving",
        .adapters = {},
    };
    for (const Json &adapter : json.at("adapters")) {
        model.adapters.push_back({.name = adapter.at("name").get<std::string>(), .version = adapter.at("version").get<std::string>()});
    }
    return model;
}

EngineState stateFrom(const Json &json)
{
    EngineState state;
    state.boot = json.at("boot").get<std::string>();
    state.role = json.value("role", std::string("any"));
    state.fence = json.value("fence", std::uint64_t{0});
    for (const Json &model : json.at("models")) {
        state.models.push_back(modelFrom(model));
    }
    if (json.contains("load")) {
        state.running = json.at("load").value("running", 0U);
        state.waiting = json.at("load").value("waiting", 0U);
    }
    return state;
}

} // namespace

const ModelState *EngineState::model(std::string_view name) const
{
    const auto found = std::find_if(models.begin(), models.end(), [name](const ModelState &candidate) { return candidate.name == name; });
    return found == models.end() ? nullptr : &*found;
}

Result<EngineState> parseEngineState(std::string_view json)
{
    try {
        return stateFrom(Json::parse(json));
    } catch (const Json::exception &error) {
        return fail(ErrorCode::ProtocolError, Verdict::Ran, std::string("the engine's state is malformed: ") + error.what());
    }
}

std::string encodeOrder(const EngineOrder &order, std::uint64_t fence)
{
    Json json = {{"fence", fence}, {"order", orderName(order.kind)}};
    if (!order.model.empty()) {
        json["model"] = order.model;
    }
    if (!order.version.empty()) {
        json["version"] = order.version;
    }
    if (!order.adapter.empty()) {
        json["adapter"] = order.adapter;
    }
    if (!order.role.empty()) {
        json["role"] = order.role;
    }
    return json.dump();
}

std::string describe(const EngineOrder &order)
{
    std::string text(orderName(order.kind));
    if (order.kind == OrderKind::SetRole) {
        return text + ' ' + order.role;
    }
    text += ' ' + order.model;
    if (!order.adapter.empty()) {
        text += '/' + order.adapter;
    }
    if (!order.version.empty()) {
        text += '@' + order.version;
    }
    return text;
}

} // namespace magnolia::engine
