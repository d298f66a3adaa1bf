#include "groupcodec.h"

#include <nlohmann/json.hpp>

#include <cmath>

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

} // namespace

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

wire::RankCommand commandOf(const RankOrder &order, std::string_view group, std::uint64_t term)
{
    wire::RankCommand command{.group = std::string(group),
                              .term = term,
                              .kind = static_cast<std::uint8_t>(order.kind),
                              .epoch = order.epoch,
                              .version = order.version,
                              .step = order.step,
                              .map = {}};
    if (order.kind == RankOrderKind::Prepare) {
        command.map = encodeList(order.map);
    }
    return command;
}

Result<RankOrder> orderOf(const wire::RankCommand &command)
{
    if (command.kind > static_cast<std::uint8_t>(RankOrderKind::Release)) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "no such kind of command");
    }
    RankOrder order{.kind = static_cast<RankOrderKind>(command.kind), .epoch = command.epoch, .version = command.version, .step = command.step};
    if (order.kind == RankOrderKind::Prepare) {
        auto map = decodeList<RankExperts>(command.map);
        if (!map) {
            return tl::unexpected(map.error());
        }
        order.map = std::move(*map);
    }
    return order;
}

} // namespace magnolia::group
