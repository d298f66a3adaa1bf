#include "routing/evacuations.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace magnolia::routing
{

using nlohmann::json;

std::string encodeEvacuations(const EvacuationSnapshot &snapshot)
{
    json retained = json::array();
    for (const RetainedEvacuation &one : snapshot.retained) {
        retained.push_back({{"d", one.dataCentre}, {"t", one.timeLeft.count()}});
    }
    std::string bytes;
    json::to_cbor(json{{"v", snapshot.version}, {"d", snapshot.dataCentres}, {"k", std::move(retained)}}, bytes);
    return bytes;
}

Result<EvacuationSnapshot> decodeEvacuations(std::string_view bytes)
{
    try {
        const json document = json::from_cbor(bytes);
        EvacuationSnapshot snapshot{.version = document.at("v").get<std::uint64_t>(), .dataCentres = document.at("d").get<std::vector<std::string>>()};
        for (const json &retained : document.at("k")) {
            snapshot.retained.push_back({.dataCentre = retained.at("d").get<std::string>(), .timeLeft = Duration(retained.at("t").get<Duration::rep>())});
        }
        return snapshot;
    } catch (const json::exception &error) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, std::string("the evacuations can't be read: ") + error.what());
    }
}

} // namespace magnolia::routing
