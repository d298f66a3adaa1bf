#include "routing/endpointsnapshot.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace magnolia::routing
{

namespace
{

using nlohmann::json;

// Members are short: with 1,300 endpoints each byte counts.
json encoded(const EndpointRecord &record)
{
    return {{"i", record.id},
            {"s", record.service},
            {"a", record.address},
            {"d", record.dataCentre},
            {"n", record.slots},
            {"l", record.isLeaving},
            {"b", record.incarnation}};
}

EndpointRecord decoded(const json &record)
{
    return {.id = record.at("i").get<std::string>(),
            .service = record.at("s").get<std::string>(),
            .address = record.at("a").get<std::string>(),
            .dataCentre = record.at("d").get<std::string>(),
            .slots = record.at("n").get<std::uint32_t>(),
            .isLeaving = record.at("l").get<bool>(),
            .incarnation = record.at("b").get<std::uint64_t>()};
}

} // namespace

std::string encodeSnapshot(const EndpointSnapshot &listing)
{
    json endpoints = json::array();
    for (const EndpointRecord &record : listing.endpoints) {
        endpoints.push_back(encoded(record));
    }
    json kept = json::array();
    for (const RetainedEndpoint &endpoint : listing.retained) {
        kept.push_back({{"r", encoded(endpoint.record)}, {"t", endpoint.timeLeft.count()}});
    }
    std::string bytes;
    json::to_cbor(json{{"v", listing.version}, {"e", std::move(endpoints)}, {"k", std::move(kept)}}, bytes);
    return bytes;
}

Result<EndpointSnapshot> decodeSnapshot(std::string_view bytes)
{
    try {
        const json document = json::from_cbor(bytes);
        EndpointSnapshot listing{.version = document.at("v").get<std::uint64_t>(), .endpoints = {}};
        for (const json &record : document.at("e")) {
            listing.endpoints.push_back(decoded(record));
        }
        for (const json &kept : document.value("k", json::array())) { // Peers of an earlier version don't tell.
            listing.retained.push_back({.record = decoded(kept.at("r")), .timeLeft = Duration(kept.at("t").get<Duration::rep>())});
        }
        return listing;
    } catch (const json::exception &error) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, std::string("the list of endpoints can't be read: ") + error.what());
    }
}

} // namespace magnolia::routing
