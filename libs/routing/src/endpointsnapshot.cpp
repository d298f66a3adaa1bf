#include "routing/endpointsnapshot.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace magnolia::routing
{

namespace
{

using nlohmann::json;

// Sent for a run whose start is not known.
constexpr std::uint64_t UnknownStart = 0;

StatedIncarnation decodeIncarnation(std::uint64_t startedAtMs)
{
    return startedAtMs == UnknownStart ? StatedIncarnation() : StatedIncarnation(startedAtMs);
}

// Keys are short because a snapshot may contain 1,300 endpoints.
json encodeRecord(const EndpointRecord &record, BootTime now)
{
    json encoded{{"i", record.id},
                 {"s", record.service},
                 {"a", record.address},
                 {"d", record.dataCentre},
                 {"n", record.slots},
                 {"l", record.isLeaving},
                 {"b", record.incarnation.startedAtMs().value_or(UnknownStart)},
                 {"w", record.listedAt}};
    if (record.coldUntil > now) {
        encoded["c"] = std::chrono::ceil<Duration>(record.coldUntil - now).count();
    }
    if (record.heartbeat > 0) {
        encoded["h"] = record.heartbeat;
    }
    if (record.isUnproven) {
        encoded["u"] = true;
    }
    return encoded;
}

/** @param timeLeftMs 0: not cold. */
BootTime decodeColdUntil(Duration::rep timeLeftMs, BootTime now)
{
    return timeLeftMs > 0 ? now + std::min(Duration(timeLeftMs), MaxColdTime) : BootTime();
}

EndpointRecord decodeRecord(const json &record, BootTime now)
{
    return {.id = record.at("i").get<std::string>(),
            .service = record.at("s").get<std::string>(),
            .address = record.at("a").get<std::string>(),
            .dataCentre = record.at("d").get<std::string>(),
            .slots = record.at("n").get<std::uint32_t>(),
            .isLeaving = record.at("l").get<bool>(),
            .incarnation = decodeIncarnation(record.at("b").get<std::uint64_t>()),
            .listedAt = record.value("w", std::uint64_t{0}), // Absent in snapshots from peers of an earlier version, like the heartbeat.
            .heartbeat = record.value("h", std::uint64_t{0}),
            .coldUntil = decodeColdUntil(record.value("c", Duration::rep{0}), now),
            .isUnproven = record.value("u", false)};
}

} // namespace

std::string encodeSnapshot(const EndpointSnapshot &snapshot, BootTime now)
{
    json endpoints = json::array();
    for (const EndpointRecord &record : snapshot.endpoints) {
        endpoints.push_back(encodeRecord(record, now));
    }
    json retained = json::array();
    for (const RetainedEndpoint &endpoint : snapshot.retained) {
        retained.push_back({{"r", encodeRecord(endpoint.record, now)}, {"t", endpoint.timeLeft.count()}});
    }
    std::string bytes;
    json::to_cbor(json{{"v", snapshot.version}, {"e", std::move(endpoints)}, {"k", std::move(retained)}}, bytes);
    return bytes;
}

Result<EndpointSnapshot> decodeSnapshot(std::string_view bytes, BootTime now)
{
    try {
        const json document = json::from_cbor(bytes);
        EndpointSnapshot snapshot{.version = document.at("v").get<std::uint64_t>(), .endpoints = {}};
        for (const json &record : document.at("e")) {
            snapshot.endpoints.push_back(decodeRecord(record, now));
        }
        for (const json &retained : document.value("k", json::array())) { // Absent in snapshots from peers of an earlier version.
            snapshot.retained.push_back({.record = decodeRecord(retained.at("r"), now), .timeLeft = Duration(retained.at("t").get<Duration::rep>())});
        }
        return snapshot;
    } catch (const json::exception &error) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, std::string("the list of endpoints can't be read: ") + error.what());
    }
}

} // namespace magnolia::routing
