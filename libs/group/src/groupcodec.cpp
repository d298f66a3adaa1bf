#include "groupcodec.h"

#include "mapcodec.h"

#include <cmath>
#include <utility>

namespace magnolia::group
{

namespace
{

constexpr double ThousandthsPerUnit = 1000;

Result<ExpertMap> decodeOrderMap(const wire::RankCommand &command, const KnownMaps &knownMaps)
{
    if (command.mapBase == 0) {
        return decodeMap(command.map);
    }
    const ExpertMap *base = knownMaps.find(command.mapBase);
    if (base == nullptr) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "delta to an unknown map version: " + std::to_string(command.mapBase));
    }
    return applyMapDelta(*base, command.map);
}

} // namespace

wire::RankReport toReport(const RankState &state)
{
    wire::RankReport report;
    report.group = state.group;
    report.epoch = state.epoch;
    report.rank = state.rank;
    report.size = state.size;
    report.isOpen = state.isOpen;
    report.step = state.step;
    report.map = state.mapVersion;
    report.prepared = state.preparedVersion;
    report.armedVersion = state.armed ? state.armed->version : 0;
    report.armedStep = state.armed ? state.armed->step : 0;
    report.isHeld = state.heldStep.has_value();
    report.heldStep = state.heldStep.value_or(0);
    report.running = state.runningRequests;
    report.waiting = state.waitingRequests;
    report.paceThousandths = static_cast<std::uint32_t>(std::lround(state.pace * ThousandthsPerUnit));
    return report;
}

RankState toRankState(const wire::RankReport &report)
{
    RankState state;
    state.group = report.group;
    state.epoch = report.epoch;
    state.rank = report.rank;
    state.size = report.size;
    state.isOpen = report.isOpen;
    state.step = report.step;
    state.mapVersion = report.map;
    state.preparedVersion = report.prepared;
    if (report.armedVersion > 0) {
        state.armed = ArmedMap{.version = report.armedVersion, .step = report.armedStep};
    }
    if (report.isHeld) {
        state.heldStep = report.heldStep;
    }
    state.runningRequests = report.running;
    state.waitingRequests = report.waiting;
    state.pace = report.paceThousandths / ThousandthsPerUnit;
    return state;
}

void writeSwitchRecord(wire::RankReport &report, const SwitchRecord &record)
{
    report.toldVersion = record.orderedVersion;
    report.isToldFresh = record.isFresh;
    if (record.peerArm) {
        report.peerArmVersion = record.peerArm->version;
        report.peerArmEpoch = record.peerArm->epoch;
        report.peerArmStep = record.peerArm->step;
        report.peerArmRank = record.peerArm->rank;
        report.isPeerArmAccepted = record.peerArm->isAccepted;
    }
}

SwitchRecord toSwitchRecord(const wire::RankReport &report)
{
    SwitchRecord record{.orderedVersion = report.toldVersion, .isFresh = report.isToldFresh, .peerArm = {}, .mapVersion = report.map};
    if (report.peerArmVersion > 0) {
        record.peerArm = PeerArm{.rank = report.peerArmRank,
                                 .epoch = report.peerArmEpoch,
                                 .version = report.peerArmVersion,
                                 .step = report.peerArmStep,
                                 .isAccepted = report.isPeerArmAccepted};
    }
    return record;
}

wire::RankCommand toCommand(const RankOrder &order, std::string_view group, std::uint64_t term)
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

Result<RankOrder> toOrder(const wire::RankCommand &command, const KnownMaps &knownMaps)
{
    if (command.kind > static_cast<std::uint8_t>(RankOrderKind::Release)) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "unknown kind of command");
    }
    RankOrder order{.kind = static_cast<RankOrderKind>(command.kind), .epoch = command.epoch, .version = command.version, .step = command.step};
    order.isFresh = command.isFresh;
    if (order.kind == RankOrderKind::Prepare) {
        auto map = decodeOrderMap(command, knownMaps);
        if (!map) {
            return tl::unexpected(map.error());
        }
        order.map = std::move(*map);
    }
    return order;
}

} // namespace magnolia::group
