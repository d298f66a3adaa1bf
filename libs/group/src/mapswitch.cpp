#include "group/mapswitch.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace magnolia::group
{

namespace
{

// Versions available to one term. A term lasts until another coordinator takes over, and map switches are seconds apart.
constexpr std::uint64_t VersionsPerTerm = 1U << 16U;

constexpr std::uint32_t MaxDoublings = 3; // Limit for the doubling of prepareRetry.

} // namespace

std::string_view toString(RankOrderKind kind)
{
    switch (kind) {
    case RankOrderKind::Heartbeat:
        return "follow";
    case RankOrderKind::Prepare:
        return "prepare";
    case RankOrderKind::Arm:
        return "arm";
    case RankOrderKind::Disarm:
        return "disarm";
    case RankOrderKind::Hold:
        return "hold";
    case RankOrderKind::Release:
        return "release";
    }
    return "follow";
}

std::string_view toString(MapSwitch::Phase phase)
{
    switch (phase) {
    case MapSwitch::Phase::Unknown:
        return "unknown";
    case MapSwitch::Phase::Idle:
        return "idle";
    case MapSwitch::Phase::Preparing:
        return "preparing";
    case MapSwitch::Phase::Holding:
        return "holding";
    case MapSwitch::Phase::Arming:
        return "arming";
    case MapSwitch::Phase::Releasing:
        return "releasing";
    case MapSwitch::Phase::Undoing:
        return "undoing";
    case MapSwitch::Phase::UndoReleasing:
        return "undo-releasing";
    }
    return "unknown";
}

MapSwitch::MapSwitch(Options options) : options_(options) {}

void MapSwitch::onRankReport(const RankState &state, BootTime now)
{
    const bool isNewGroup = state.epoch > epoch_ || ranks_.size() != state.size;
    if (state.epoch < epoch_ || state.rank >= state.size) {
        return; // A late report of an earlier epoch.
    }
    if (isNewGroup) {
        reset(state);
    }
    ranks_[state.rank].state = state;
    ranks_[state.rank].isProven = false;
    advance(now);
}

void MapSwitch::onPrepareAcknowledged(std::uint32_t rank, std::uint64_t version)
{
    if (rank < ranks_.size()) {
        ranks_[rank].acknowledgedVersion = version;
    }
}

void MapSwitch::setProvenState(std::uint32_t rank, std::optional<ArmedMap> armed, BootTime now)
{
    if (phase_ != Phase::Unknown || rank >= ranks_.size() || ranks_[rank].state) {
        return;
    }
    ranks_[rank].state = RankState{.epoch = epoch_, .rank = rank, .size = size(), .armed = armed};
    ranks_[rank].isProven = true;
    advance(now);
}

std::uint64_t MapSwitch::termOf(std::uint64_t version)
{
    return version / VersionsPerTerm;
}

std::optional<std::uint32_t> MapSwitch::provenRank() const
{
    const auto proven = std::find_if(ranks_.begin(), ranks_.end(), [](const Member &member) { return member.isProven; });
    return proven == ranks_.end() ? std::nullopt : std::optional(proven->state->rank);
}

void MapSwitch::reset(const RankState &state)
{
    epoch_ = state.epoch;
    ranks_.assign(state.size, {});
    phase_ = Phase::Unknown;
}

void MapSwitch::enter(Phase phase, BootTime now)
{
    phase_ = phase;
    phaseSince_ = now;
    for (Member &member : ranks_) {
        member.lastOrderKind.reset();
    }
}

const RankState *MapSwitch::rank(std::uint32_t index) const
{
    return index < ranks_.size() && ranks_[index].state ? &*ranks_[index].state : nullptr;
}

std::uint64_t MapSwitch::lastStep() const
{
    std::uint64_t last = 0;
    for (const Member &member : ranks_) {
        last = std::max(last, member.state ? member.state->step : 0);
    }
    return last;
}

bool MapSwitch::allReported() const
{
    return !ranks_.empty() && std::all_of(ranks_.begin(), ranks_.end(), [](const Member &member) { return member.state.has_value(); });
}

template<typename Condition>
bool MapSwitch::allRanks(Condition condition) const
{
    return std::all_of(ranks_.begin(), ranks_.end(), [&condition](const Member &member) { return condition(*member.state); });
}

/** Whether a condition holds for all ranks whose state is reported, not proven. */
template<typename Condition>
bool MapSwitch::allReporting(Condition condition) const
{
    return std::all_of(ranks_.begin(), ranks_.end(), [&condition](const Member &member) { return member.isProven || condition(*member.state); });
}

std::optional<std::uint32_t> MapSwitch::holder() const
{
    for (const Member &member : ranks_) {
        if (member.state && member.state->heldStep) {
            return member.state->rank;
        }
    }
    return std::nullopt;
}

/** Chooses a pass that was never held before, so that no late order to release it can be pending. */
std::uint64_t MapSwitch::chooseStep(std::uint64_t ahead)
{
    lastUsedStep_ = std::max(lastStep() + ahead, lastUsedStep_ + 1);
    return lastUsedStep_;
}

std::uint64_t MapSwitch::nextVersion()
{
    return options_.term * VersionsPerTerm + ++versionCount_;
}

void MapSwitch::begin(ExpertMap map, ExpertMap current, BootTime now)
{
    map_ = std::move(map);
    fallbackMap_ = std::move(current);
    version_ = nextVersion();
    enter(Phase::Preparing, now);
}

/** Continues from the reported states after a takeover or a new epoch. */
void MapSwitch::resumeFromReports(BootTime now)
{
    // A predecessor's order to release one of these passes may still be pending and would cancel a hold of this coordinator.
    lastUsedStep_ = std::max(lastUsedStep_, lastStep() + 2 * options_.stepsAhead);
    const auto held = holder();
    const auto armed = std::find_if(ranks_.begin(), ranks_.end(), [](const Member &member) { return member.state->armed.has_value(); });
    if (armed == ranks_.end()) {
        if (held) {
            // Orders to arm for that pass may still be pending.
            undoVersion_ = nextVersion();
            enter(Phase::Undoing, now);
        } else {
            enter(Phase::Idle, now);
        }
        return;
    }
    const ArmedMap first = *armed->state->armed;
    const bool isArmedEverywhere = allRanks([&first](const RankState &state) { return state.armed == first; });
    const bool isProtected = held && *ranks_[*held].state->heldStep <= first.step;
    if (isArmedEverywhere || !isProtected) {
        // Without a hold up to that pass, the pass has been released, which happens only after all ranks are armed. A rank that does not report so has already
        // begun the pass, or its report is older. Disarming a rank now could leave ranks on different maps.
        version_ = first.version;
        enter(Phase::Releasing, now);
        return;
    }
    undoVersion_ = nextVersion();
    enter(Phase::Undoing, now);
}

void MapSwitch::advance(BootTime now)
{
    if (!allReported()) {
        return;
    }
    switch (phase_) {
    case Phase::Unknown:
        resumeFromReports(now);
        break;
    case Phase::Idle:
        if (holder() || !allRanks([](const RankState &state) { return !state.armed; })) {
            resumeFromReports(now); // A late order of an earlier coordinator was executed.
        }
        break;
    case Phase::Preparing:
        if (allRanks([this](const RankState &state) { return state.preparedVersion == version_; })) {
            switchStep_ = chooseStep(options_.stepsAhead);
            holder_ = defaultHolder();
            enter(Phase::Holding, now);
        }
        break;
    case Phase::Holding:
        if (allRanks([this](const RankState &state) { return state.rank == holder_ ? state.heldStep == switchStep_ : !state.heldStep; })) {
            enter(Phase::Arming, now);
        }
        break;
    case Phase::Arming:
        if (allRanks([this](const RankState &state) { return state.armed == ArmedMap{.version = version_, .step = switchStep_}; })) {
            enter(Phase::Releasing, now);
        }
        break;
    case Phase::Releasing:
        if (allReporting([this](const RankState &state) { return state.mapVersion == version_ && !state.armed; })) {
            for (Member &member : ranks_) {
                if (member.isProven) {
                    member.state->armed.reset(); // It has begun the same pass as the others.
                }
            }
            enter(Phase::Idle, now);
        }
        break;
    case Phase::Undoing:
        if (allRanks([](const RankState &state) { return !state.armed; })
            && allReporting([this](const RankState &state) { return state.preparedVersion == undoVersion_; })) {
            enter(Phase::UndoReleasing, now);
        }
        break;
    case Phase::UndoReleasing:
        if (!holder()) {
            enter(Phase::Idle, now);
        }
        break;
    }
}

Duration MapSwitch::retryDelay(const Member &member, const RankOrder &order) const
{
    if (order.kind != RankOrderKind::Prepare) {
        return options_.orderRetry;
    }
    if (member.acknowledgedVersion == order.version) {
        return options_.acknowledgedRetry;
    }
    return options_.prepareRetry * (1U << std::min(member.tries, MaxDoublings));
}

void MapSwitch::addOrder(std::vector<AddressedOrder> &orders, std::uint32_t rank, RankOrder order, BootTime now)
{
    Member &member = ranks_[rank];
    const bool isRepeat = member.lastOrderKind == order.kind && member.lastOrderVersion == order.version;
    if (isRepeat && now < member.lastOrderAt + retryDelay(member, order)) {
        return;
    }
    member.tries = isRepeat ? member.tries + 1 : 0;
    member.lastOrderKind = order.kind;
    member.lastOrderVersion = order.version;
    member.lastOrderAt = now;
    order.epoch = epoch_;
    const std::uint32_t senderRank = senderFor(rank, order.kind, member.tries);
    orders.push_back({.rank = rank, .order = std::move(order), .senderRank = senderRank});
}

/** Never the coordinator's own rank: if that instance is lost, a reachable agent must be able to release the pass. */
std::uint32_t MapSwitch::defaultHolder() const
{
    return ownRank_ ? (*ownRank_ + 1) % size() : 0;
}

/** The rank whose instance sends an order. Each retry uses another instance if possible, since an engine may be unreachable from some of them. */
std::uint32_t MapSwitch::senderFor(std::uint32_t rank, RankOrderKind kind, std::uint32_t tries) const
{
    if (!ownRank_ || size() == 1) {
        return rank;
    }
    if (kind == RankOrderKind::Hold) {
        const bool isDirect = tries % 2 == 0;
        return isDirect ? *ownRank_ : rank;
    }
    if (kind == RankOrderKind::Arm && rank == *ownRank_) {
        // Any other rank except the holder, whose loss leaves the group held anyway.
        const std::uint32_t peers = std::max(size() - 2, 1U);
        const std::uint32_t first = size() > 2 ? 2 : 1;
        return (*ownRank_ + first + tries % peers) % size();
    }
    return rank;
}

bool MapSwitch::areOthersArmed(std::uint32_t rank) const
{
    const ArmedMap wanted{.version = version_, .step = switchStep_};
    return std::all_of(ranks_.begin(), ranks_.end(), [&](const Member &member) { return member.state->rank == rank || member.state->armed == wanted; });
}

std::vector<AddressedOrder> MapSwitch::takeDueOrders(BootTime now)
{
    std::vector<AddressedOrder> orders;
    if (phase_ == Phase::Preparing && now > phaseSince_ + options_.prepareLimit) {
        enter(Phase::Idle, now); // Nothing is armed or held, and the next prepared map replaces this one.
    }
    if (phase_ == Phase::Holding && lastStep() >= switchStep_) {
        // The pass began before the hold reached its rank, which rejects the hold; a later pass is held instead.
        switchStep_ = chooseStep(2 * options_.stepsAhead);
        enter(Phase::Holding, now);
    }
    if (phase_ == Phase::Arming && now > phaseSince_ + options_.armLimit) {
        undoVersion_ = nextVersion();
        enter(Phase::Undoing, now);
    }
    for (std::uint32_t rank = 0; rank < ranks_.size(); ++rank) {
        if (!ranks_[rank].state || ranks_[rank].isProven) {
            continue;
        }
        const RankState &state = *ranks_[rank].state;
        switch (phase_) {
        case Phase::Preparing:
            if (state.preparedVersion != version_) {
                addOrder(orders, rank, {.kind = RankOrderKind::Prepare, .version = version_, .map = map_, .isFresh = true}, now);
            }
            break;
        case Phase::Holding:
            if (state.heldStep && (rank != holder_ || state.heldStep != switchStep_)) {
                // A late hold of an earlier try. No rank is armed for it or can become so, since all have prepared a newer map.
                addOrder(orders, rank, {.kind = RankOrderKind::Release, .step = *state.heldStep}, now);
            } else if (rank == holder_ && !state.heldStep) {
                addOrder(orders, rank, {.kind = RankOrderKind::Hold, .version = switchStep_, .step = switchStep_}, now);
            }
            break;
        case Phase::Arming:
            if (state.armed != ArmedMap{.version = version_, .step = switchStep_} && (rank != ownRank_ || areOthersArmed(rank))) {
                addOrder(orders, rank, {.kind = RankOrderKind::Arm, .version = version_, .step = switchStep_}, now);
            }
            break;
        case Phase::Releasing:
        case Phase::UndoReleasing:
            if (state.heldStep) {
                addOrder(orders, rank, {.kind = RankOrderKind::Release, .step = *state.heldStep}, now);
            }
            break;
        case Phase::Undoing:
            if (state.armed) {
                addOrder(orders, rank, {.kind = RankOrderKind::Disarm, .version = state.armed->version}, now);
            } else if (state.preparedVersion != undoVersion_ && !fallbackMap_.empty()) {
                addOrder(orders, rank, {.kind = RankOrderKind::Prepare, .version = undoVersion_, .map = fallbackMap_}, now);
            }
            break;
        case Phase::Unknown:
        case Phase::Idle:
            break;
        }
    }
    return orders;
}

} // namespace magnolia::group
