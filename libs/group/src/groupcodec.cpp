#include "groupcodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace magnolia::group
{

namespace
{

constexpr double Thousand = 1000;

template<typename T>
std::string encodeList(const T &list)
{
    const auto bytes = nlohmann::json::to_cbor(nlohmann::json(list));
    return {bytes.begin(), bytes.end()};
}

template<typename T>
Result<T> decodeList(std::string_view cbor)
{
    try {
        return nlohmann::json::from_cbor(cbor.begin(), cbor.end()).get<T>();
    } catch (const nlohmann::json::exception &error) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, std::string("a list of numbers can't be read: ") + error.what());
    }
}

/** Experts of one rank in one set of a changed map. */
using ChangedExperts = std::tuple<std::size_t, std::size_t, std::vector<std::uint16_t>>;

bool isSameShape(const RankExperts &one, const RankExperts &other)
{
    return one.size() == other.size()
        && std::equal(one.begin(), one.end(), other.begin(), [](const auto &ofOne, const auto &ofOther) { return ofOne.size() == ofOther.size(); });
}

Result<RankExperts> applyChange(RankExperts map, std::string_view cbor)
{
    auto changes = decodeList<std::vector<ChangedExperts>>(cbor);
    if (!changes) {
        return tl::unexpected(changes.error());
    }
    for (auto &[set, rank, experts] : *changes) {
        if (set >= map.size() || rank >= map[set].size()) {
            return fail(ErrorCode::ProtocolError, Verdict::NotRun, "a change of a map names a set or rank that it does not have");
        }
        map[set][rank] = std::move(experts);
    }
    return map;
}

Result<RankExperts> mapOf(const wire::RankCommand &command, const KnownMap &known)
{
    if (command.mapBase == 0) {
        return decodeList<RankExperts>(command.map);
    }
    if (command.mapBase != known.version) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "a change of a map that is not known: " + std::to_string(command.mapBase));
    }
    return applyChange(known.map, command.map);
}

} // namespace

std::string encodeMap(const RankExperts &map)
{
    return encodeList(map);
}

std::string encodeMapChange(const RankExperts &base, const RankExperts &map)
{
    if (!isSameShape(base, map)) {
        return {};
    }
    std::vector<ChangedExperts> changes;
    for (std::size_t set = 0; set < map.size(); ++set) {
        for (std::size_t rank = 0; rank < map[set].size(); ++rank) {
            if (map[set][rank] != base[set][rank]) {
                changes.emplace_back(set, rank, map[set][rank]);
            }
        }
    }
    return encodeList(changes);
}

std::string encodeCounts(const std::vector<std::uint64_t> &counts)
{
    return encodeList(counts);
}

Result<std::vector<std::uint64_t>> decodeCounts(std::string_view cbor)
{
    return decodeList<std::vector<std::uint64_t>>(cbor);
}

std::string encodeSetExperts(const SetExperts &experts)
{
    return encodeList(experts);
}

Result<SetExperts> decodeSetExperts(std::string_view cbor)
{
    return decodeList<SetExperts>(cbor);
}

wire::RankReport reportOf(const RankState &state)
{
    wire::RankReport report;
    report.group = state.group;
    report.epoch = state.epoch;
    report.rank = state.rank;
    report.size = state.size;
    report.isOpen = state.isOpen;
    report.step = state.step;
    report.map = state.map;
    report.prepared = state.prepared;
    report.armedVersion = state.armed ? state.armed->version : 0;
    report.armedStep = state.armed ? state.armed->step : 0;
    report.isHeld = state.held.has_value();
    report.heldStep = state.held.value_or(0);
    report.running = state.running;
    report.waiting = state.waiting;
    report.paceThousandths = static_cast<std::uint32_t>(std::lround(state.pace * Thousand));
    return report;
}

RankState stateOf(const wire::RankReport &report)
{
    RankState state;
    state.group = report.group;
    state.epoch = report.epoch;
    state.rank = report.rank;
    state.size = report.size;
    state.isOpen = report.isOpen;
    state.step = report.step;
    state.map = report.map;
    state.prepared = report.prepared;
    if (report.armedVersion > 0) {
        state.armed = ArmedMap{.version = report.armedVersion, .step = report.armedStep};
    }
    if (report.isHeld) {
        state.held = report.heldStep;
    }
    state.running = report.running;
    state.waiting = report.waiting;
    state.pace = report.paceThousandths / Thousand;
    return state;
}

void putMemory(wire::RankReport &report, const RankMemory &memory)
{
    report.toldVersion = memory.told;
    report.isToldFresh = memory.isFresh;
    if (memory.peerArm) {
        report.peerArmVersion = memory.peerArm->version;
        report.peerArmEpoch = memory.peerArm->epoch;
        report.peerArmStep = memory.peerArm->step;
        report.peerArmRank = memory.peerArm->rank;
        report.isPeerArmAccepted = memory.peerArm->isAccepted;
    }
}

RankMemory memoryOf(const wire::RankReport &report)
{
    RankMemory memory{.told = report.toldVersion, .isFresh = report.isToldFresh, .peerArm = {}, .map = report.map};
    if (report.peerArmVersion > 0) {
        memory.peerArm = PeerArm{.rank = report.peerArmRank,
                                 .epoch = report.peerArmEpoch,
                                 .version = report.peerArmVersion,
                                 .step = report.peerArmStep,
                                 .isAccepted = report.isPeerArmAccepted};
    }
    return memory;
}

wire::RankCommand commandOf(const RankOrder &order, std::string_view group, std::uint64_t term)
{
    return {.group = std::string(group),
            .term = term,
            .kind = static_cast<std::uint8_t>(order.kind),
            .epoch = order.epoch,
            .version = order.version,
            .step = order.step,
            .map = {},
            .isFresh = order.isFresh};
}

Result<RankOrder> orderOf(const wire::RankCommand &command, const KnownMap &known)
{
    if (command.kind > static_cast<std::uint8_t>(RankOrderKind::Release)) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "no such kind of command");
    }
    RankOrder order{.kind = static_cast<RankOrderKind>(command.kind), .epoch = command.epoch, .version = command.version, .step = command.step};
    order.isFresh = command.isFresh;
    if (order.kind == RankOrderKind::Prepare) {
        auto map = mapOf(command, known);
        if (!map) {
            return tl::unexpected(map.error());
        }
        order.map = std::move(*map);
    }
    return order;
}

} // namespace magnolia::group
