#include "groupcodec.h"

#include "mapcodec.h"

#include <cmath>
#include <utility>

namespace magnolia::group
{

namespace
{

constexpr double Thousand = 1000;

Result<ExpertMap> mapOf(const wire::RankCommand &command, const KnownMaps &known)
{
    if (command.mapBase == 0) {
        return decodeMap(command.map);
    }
    const ExpertMap *base = known.find(command.mapBase);
    if (base == nullptr) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "a change of a map that is not known: " + std::to_string(command.mapBase));
    }
    return applyMapChange(*base, command.map);
}

} // namespace

wire::RankReport reportOf(const RankState &state)
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

Result<RankOrder> orderOf(const wire::RankCommand &command, const KnownMaps &known)
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
