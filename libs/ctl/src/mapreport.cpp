#include "ctl/mapreport.h"

#include "experts/expertmap.h"
#include "experts/skew.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace magnolia::ctl
{

namespace
{

using Json = nlohmann::json;

Result<experts::ExpertMap> readMap(const manifest::Group &group, const Json &row)
{
    if (!row.is_object()) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "the row of the group's map is malformed");
    }
    // The row is the map itself, or an object that holds it beside its number.
    const Json &content = row.contains("map") && row["map"].is_object() ? row["map"] : row;
    auto map = experts::ExpertMap::fromJson(content.dump());
    if (map && (map->shape().ranks != group.ranks || map->shape().layers != group.layers || map->shape().experts != group.experts)) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "the recorded map does not fit the group's size in the manifest");
    }
    return map;
}

experts::ExpertMap startMap(const manifest::Group &group)
{
    const experts::ExpertMap::Shape shape{.ranks = static_cast<experts::Rank>(group.ranks),
                                          .layers = static_cast<experts::Layer>(group.layers),
                                          .experts = static_cast<experts::Expert>(group.experts)};
    return experts::ExpertMap::roundRobin(shape, group.slotsPerRank);
}

double evenSkew(const experts::ExpertMap &map)
{
    const std::vector<double> shares(map.shape().experts, 1.0 / map.shape().experts);
    const std::vector<double> speeds(map.shape().ranks, 1.0);
    const experts::Demand demand{.shares = std::vector<std::span<const double>>(map.shape().layers, shares), .speeds = speeds};
    return experts::predictedSkew(map, demand);
}

} // namespace

Result<std::string> mapReport(const manifest::Group &group, const std::optional<std::string> &row)
{
    const Json recorded = row ? Json::parse(*row, nullptr, false) : Json();
    const auto map = row ? readMap(group, recorded) : Result<experts::ExpertMap>(startMap(group));
    if (!map) {
        return tl::unexpected(map.error());
    }
    Json report = {{"group", group.name},
                   {"recorded", row.has_value()},
                   {"ranks", group.ranks},
                   {"experts", group.experts},
                   {"slots_per_rank", group.slotsPerRank},
                   {"predicted_skew_if_even", evenSkew(*map)},
                   {"map", Json::parse(map->toJson())}};
    for (const char *key : {"number", "epoch"}) {
        if (recorded.is_object() && recorded.contains(key)) {
            report[key] = recorded[key];
        }
    }
    return report.dump();
}

} // namespace magnolia::ctl
