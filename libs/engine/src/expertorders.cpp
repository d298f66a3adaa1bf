#include "engine/expertorders.h"

#include "experts/expertmap.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>

namespace magnolia::engine
{

namespace
{

using Json = nlohmann::json;
using experts::EngineOrderKind;

/** Throws if the member is missing or is not a non-negative integer, since the JSON library would convert -1 or 1.5 silently. */
std::uint64_t numberFrom(const Json &json, const char *member)
{
    const Json &value = json.at(member);
    if (!value.is_number_unsigned()) {
        throw Json::other_error::create(0, std::string(member) + " is no unsigned number", &value);
    }
    return value.get<std::uint64_t>();
}

experts::EngineState stateFrom(const Json &json)
{
    experts::EngineState state;
    state.epoch = numberFrom(json, "epoch");
    state.map = numberFrom(json, "map");
    state.isMapPending = json.at("pending").get<bool>();
    state.step = numberFrom(json, "step");
    const Json &prepared = json.at("prepared");
    if (!prepared.is_null()) {
        state.prepared = experts::PreparedMap{.map = numberFrom(prepared, "map"), .holdStep = numberFrom(prepared, "hold_step")};
    }
    state.loaded = json.at("loaded").get<std::vector<experts::MapNumber>>();
    return state;
}

ExpertStatus statusFrom(const Json &json)
{
    ExpertStatus status;
    status.group = json.at("group").get<std::string>();
    status.rank = json.at("rank").get<std::uint32_t>();
    status.state = stateFrom(json);
    status.load = json.at("load").get<std::vector<std::uint64_t>>();
    return status;
}

/** Votes are derived from this state, so a contradictory one must not count as either vote. */
bool isConsistent(const Json &json, const experts::EngineState &state)
{
    const bool isRising = std::adjacent_find(state.loaded.begin(), state.loaded.end(), std::greater_equal<>()) == state.loaded.end();
    const bool isOfThisEpoch = !state.prepared || numberFrom(json.at("prepared"), "epoch") == state.epoch;
    return isRising && isOfThisEpoch;
}

std::string_view pathOf(EngineOrderKind kind)
{
    switch (kind) {
    case EngineOrderKind::ReadBack:
        return "";
    case EngineOrderKind::Load:
        return "/control/experts/load";
    case EngineOrderKind::Prepare:
        return "/control/experts/prepare";
    case EngineOrderKind::Commit:
        return "/control/experts/commit";
    case EngineOrderKind::Abort:
        return "/control/experts/abort";
    case EngineOrderKind::Join:
        return "/control/experts/join";
    }
    return "";
}

} // namespace

Result<ExpertStatus> parseExpertStatus(std::string_view json)
{
    try {
        const Json parsed = Json::parse(json);
        ExpertStatus status = statusFrom(parsed);
        if (!isConsistent(parsed, status.state)) {
            return fail(ErrorCode::ProtocolError, Verdict::Ran, "the engine's expert state contradicts itself");
        }
        return status;
    } catch (const Json::exception &error) {
        return fail(ErrorCode::ProtocolError, Verdict::Ran, std::string("the engine's expert state is malformed: ") + error.what());
    }
}

Result<ExpertRequest> encodeExpertOrder(const experts::EngineOrder &order, std::uint64_t fence)
{
    const std::string_view path = pathOf(order.kind);
    if (path.empty()) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "a read-back is no order");
    }
    Json json = {{"fence", fence}, {"map", order.map}, {"epoch", order.epoch}};
    if (order.kind == EngineOrderKind::Prepare) {
        json["hold_step"] = order.step;
    }
    if (order.kind == EngineOrderKind::Join) {
        json["step"] = order.step;
    }
    if (order.kind == EngineOrderKind::Load || order.kind == EngineOrderKind::Join) {
        const auto map = experts::ExpertMap::decode(order.payload);
        if (!map) {
            return tl::unexpected(map.error());
        }
        json["layers"] = Json::parse(map->toJson()).at("layers");
    }
    return ExpertRequest{.path = std::string(path), .body = json.dump()};
}

bool isStaleFence(std::string_view json)
{
    const Json parsed = Json::parse(json, nullptr, false);
    return parsed.is_object() && parsed.contains("fence");
}

} // namespace magnolia::engine
