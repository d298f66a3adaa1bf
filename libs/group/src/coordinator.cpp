#include "coordinator.h"

#include "mapcodec.h"
#include "observe/log.h"

#include <algorithm>
#include <utility>

namespace magnolia::group
{

namespace
{

// Orders have to be repeated soon while a switch is in progress; the cost of an update is small in comparison.
constexpr Duration SwitchUpdateInterval{20};
constexpr Duration IdleUpdateInterval{100};
// Well below GroupOptions::coordinatorTimeout, after which another agent takes over.
constexpr Duration HeartbeatInterval{200};

// While the group is held, the agent of the holding rank takes over much sooner than usual (GroupOptions::heldCoordinatorTimeout).
constexpr Duration SwitchHeartbeatInterval{60};

// Reachable agents report to a new coordinator within some tens of milliseconds.
constexpr Duration ProofDelay{120};

// Intervals between reads of the member list, while a rank is missing and otherwise. Calls to the platform's store are billed.
constexpr Duration IncompleteRefreshInterval{1000};
constexpr Duration RefreshInterval{15000};

// A newly dialled agent reports within some tens of milliseconds.
constexpr Duration FirstReportTimeout{250};

// Part of the network interface used for maps. The rest is for heartbeats, orders, reports and other processes of the instance.
constexpr double BulkFraction = 0.5;

// Update interval while maps wait for the pacer.
constexpr Duration BulkUpdateInterval{10};

// Size of an order without its map, in bytes, including all headers.
constexpr std::size_t MessageOverhead = 150;

// To find a map takes the time in which orders and reports wait. A map that would be found now would hardly be better than the one just rejected.
constexpr Duration SmallGainDelay{500};

std::size_t copiesPerSwitch(const GroupOptions &options)
{
    const double copies = std::chrono::duration<double>(options.copyTimeBudget) / options.copyTime;
    return static_cast<std::size_t>(std::max(copies, 1.0));
}

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("group");
    return instance;
}

} // namespace

Coordinator::Coordinator(event_base *loop,
                         const GroupOptions &options,
                         Term term,
                         EngineDialer dialEngine,
                         GroupStore &store,
                         observe::Metrics &metrics,
                         Callbacks callbacks)
    : loop_(loop)
    , options_(options)
    , group_(std::move(term.group))
    , term_(term.number)
    , predecessor_(term.predecessor)
    , dialEngine_(std::move(dialEngine))
    , store_(store)
    , callbacks_(std::move(callbacks))
    , switch_({.term = term.number})
    , accessPolicy_(DirectAccessPolicy::Options{})
    , startedAt_(BootClock::now())
    , policy_({.pauseObjective = options.pauseObjective, .copyTime = options.copyTime})
    , passModel_(options.passes)
    , planner_({.maxExpertsPerRank = options.maxExpertsPerRank,
                .maxCopiesPerSet = options.maxCopiesPerSet,
                .maxCopiesPerRank = copiesPerSwitch(options),
                .minGain = options.minGain})
    , pacer_({.bytesPerSecond = options.interfaceBytesPerSecond * BulkFraction})
    , assembler_(options.expertsPerSet)
    , demand_(options.demand)
    , switches_(metrics.counter("magnolia_group_switches_total", "Changes of the expert map that were begun."))
    , copies_(metrics.counter("magnolia_group_copies_total", "Experts that ranks were told to take on."))
    , smallGains_(metrics.counter("magnolia_group_small_gains_total", "Maps that were planned but not begun because passes would hardly get shorter."))
    , withoutPlan_(metrics.counter("magnolia_group_without_plan_total", "Times that a coordinator logged why it planned no map for seconds."))
    , timer_(loop, [this] { update(); })
    , dropTimer_(loop, [this] { std::erase_if(members_, [this](const auto &known) { return otherGroupMembers_.contains(known.first); }); })
{
    refreshMembers();
    timer_.start(IdleUpdateInterval);
}

void Coordinator::refreshMembers()
{
    refreshedAt_ = BootClock::now();
    store_.listMembers([this, alive = std::weak_ptr<bool>(alive_)](Result<std::vector<MemberAddress>> members) {
        if (alive.expired()) {
            return;
        }
        if (members) {
            updateMembers(*members);
        } else {
            log()->warn("Cannot read the list of members cause={}", members.error().detail);
        }
    });
}

void Coordinator::updateMembers(const std::vector<MemberAddress> &members)
{
    std::erase_if(members_, [&members](const auto &known) {
        return std::none_of(members.begin(), members.end(), [&known](const MemberAddress &member) { return member.id == known.first; });
    });
    for (const MemberAddress &member : members) {
        if (member.agentAddress == options_.listenAddress) {
            ownEngine_ = member.engineAddress;
        } else if (!members_.contains(member.id) && !otherGroupMembers_.contains(member.id)) {
            dialMember(member);
        }
    }
}

void Coordinator::dialMember(const MemberAddress &member)
{
    const std::string id = member.id;
    members_[id].engineAddress = member.engineAddress;
    members_[id].dialledAt = BootClock::now();
    wire::LinkDialer::Callbacks callbacks;
    callbacks.onUp = [this, id](const wire::PeerInfo &) { members_[id].link->send(makeCommand({.kind = RankOrderKind::Heartbeat})); };
    callbacks.onMessage = [this, id](wire::Message &&message) {
        if (const auto *report = std::get_if<wire::RankReport>(&message)) {
            handleMemberReport(id, *report);
        }
    };
    callbacks.onDown = [](const Failure &) {};
    callbacks.onPeerLost = [id](const Failure &failure) { log()->info("Connection to agent lost id={} cause={}", id, failure.detail); };
    members_[id].link = wire::LinkDialer::dial(loop_, member.agentAddress, options_.links, std::move(callbacks));
}

void Coordinator::handleMemberReport(const std::string &id, const wire::RankReport &report)
{
    if (report.group != group_) {
        otherGroupMembers_.insert(id);
        dropTimer_.start(Duration(0));
        return;
    }
    members_[id].rank = report.rank;
    members_[id].knownMap = report.knownMap;
    handleReport(report);
}

void Coordinator::handleReport(const wire::RankReport &report)
{
    if (isSuperseded_) {
        return;
    }
    if (report.term > term_) {
        isSuperseded_ = true;
        log()->info("Superseded by a higher term term={} by={}", term_, report.term);
        callbacks_.onSuperseded();
        return;
    }
    if (report.term < term_) {
        return; // The agent does not follow this term yet and could still execute the commands of another coordinator.
    }
    const BootTime now = BootClock::now();
    switch_.onRankReport(toRankState(report), now);
    if (report.rank == ownRank_) {
        policy_.recordStep(report.step, report.running > 0, now);
    }
    followGroup();
    if (report.epoch == epoch_ && report.rank < switch_.size()) {
        accessPolicy_.onAgentReport(report.rank, now);
        prover_.recordSwitch(report.rank, toSwitchRecord(report));
        switch_.onPrepareAcknowledged(report.rank, report.toldVersion);
    }
    const bool hasNewExperts = !report.experts.empty() && report.epoch == epoch_ && !assembler_.hasRank(report.rank, report.expertsVersion);
    if (hasNewExperts) {
        if (auto experts = decodeExpertsBySet(report.experts)) {
            setHeldExperts(report.rank, report.expertsVersion, std::move(*experts));
        }
    }
    addDemand(report);
    update();
}

/** Discards what is known of the ranks if the group has formed again. Engines may report another size in the same epoch. */
void Coordinator::followGroup()
{
    if (switch_.epoch() == epoch_ && switch_.size() == accessPolicy_.size()) {
        return;
    }
    log()->info("New epoch group={} epoch={} size={}", group_, switch_.epoch(), switch_.size());
    epoch_ = switch_.epoch();
    assembler_.clear();
    accessPolicy_.reset(switch_.size());
    prover_.reset();
}

void Coordinator::setHeldExperts(std::uint32_t rank, std::uint64_t version, ExpertsBySet experts)
{
    if (rank >= switch_.size() || !assembler_.setRank(rank, version, std::move(experts))) {
        log()->warn("Experts of a rank ignored, since the rank or some of them do not exist rank={} version={}", rank, version);
    }
}

void Coordinator::addDemand(const wire::RankReport &report)
{
    if (report.counts.empty()) {
        return;
    }
    const auto counts = decodeCounts(report.counts);
    if (!counts) {
        log()->warn("Cannot decode expert counts rank={} cause={}", report.rank, counts.error().detail);
        return;
    }
    if (currentMap_ && counts->size() != currentMap_->size() * options_.expertsPerSet) {
        log()->warn("Expert counts of another number ignored rank={} counts={}", report.rank, counts->size());
        return;
    }
    demand_.addCounts(*counts, BootClock::now());
}

bool Coordinator::isSwitchInProgress() const
{
    const MapSwitch::Phase phase = switch_.phase();
    return phase != MapSwitch::Phase::Unknown && phase != MapSwitch::Phase::Idle && phase != MapSwitch::Phase::Preparing;
}

/** Queries the engines of unresponsive agents directly, so that a held group need not wait for an agent. */
void Coordinator::queryUnresponsiveEngines(BootTime now)
{
    const bool isNeeded = isSwitchInProgress() || switch_.phase() == MapSwitch::Phase::Unknown;
    if (!isNeeded || !accessPolicy_.mayContactEngines(now)) {
        return;
    }
    for (const auto &[id, member] : members_) {
        if (isAgentUnresponsive(member, now) && !member.isEngineQueryPending) {
            queryEngineState(id, now);
        }
    }
}

/** Whether the agent has stopped reporting or has not sent its first report in time. */
bool Coordinator::isAgentUnresponsive(const Member &member, BootTime now) const
{
    return member.rank ? accessPolicy_.isUnresponsive(*member.rank, now) : now - member.dialledAt > FirstReportTimeout;
}

void Coordinator::queryEngineState(const std::string &id, BootTime now)
{
    Member &member = members_[id];
    log()->debug("Agent unresponsive, querying its engine id={}", id);
    member.isEngineQueryPending = true;
    engineOf(member).readState([this, id, now, alive = std::weak_ptr<bool>(alive_)](Result<RankState> state) {
        if (alive.expired() || !members_.contains(id)) {
            return;
        }
        members_[id].isEngineQueryPending = false;
        if (state) {
            handleEngineState(id, *state, now);
        } else {
            log()->info("Engine of an unresponsive agent did not answer id={} cause={}", id, state.error().detail);
        }
    });
}

void Coordinator::handleEngineState(const std::string &id, const RankState &state, BootTime queriedAt)
{
    if (state.group != group_) {
        otherGroupMembers_.insert(id);
        dropTimer_.start(Duration(0));
        return;
    }
    const BootTime now = BootClock::now();
    const bool isOfCurrentGroup = state.epoch == epoch_ && state.rank < switch_.size();
    if (!isOfCurrentGroup || !accessPolicy_.mayContactEngines(now)) {
        return;
    }
    members_[id].rank = state.rank;
    accessPolicy_.onEngineAnswer(state.rank, queriedAt);
    if (!assembler_.hasRank(state.rank, state.mapVersion)) {
        queryHeldExperts(id, state.rank);
    }
    switch_.onRankReport(state, now);
    followGroup();
}

void Coordinator::queryHeldExperts(const std::string &id, std::uint32_t rank)
{
    members_[id].engine->readHeldExperts([this, rank, alive = std::weak_ptr<bool>(alive_)](Result<HeldExperts> held) {
        if (!alive.expired() && held && held->epoch == epoch_) {
            setHeldExperts(rank, held->version, std::move(held->experts));
        }
    });
}

void Coordinator::update()
{
    const BootTime now = BootClock::now();
    queryUnresponsiveEngines(now);
    applyPredecessorProof(now);
    currentMap();
    for (const AddressedOrder &addressed : switch_.takeDueOrders(now)) {
        const bool isRelease = addressed.order.kind == RankOrderKind::Release;
        if (!isRelease || accessPolicy_.mayReleasePass(now)) {
            dispatchOrder(addressed);
        }
    }
    reviewPlanning(now);
    if (switch_.phase() != loggedPhase_) {
        loggedPhase_ = switch_.phase();
        log()->info("Phase={} version={} epoch={} last_step={}", toString(loggedPhase_), switch_.version(), switch_.epoch(), switch_.lastStep());
    }
    if (now - heartbeatAt_ >= (isSwitchInProgress() ? SwitchHeartbeatInterval : HeartbeatInterval)) {
        sendHeartbeats();
    }
    const bool isIncomplete = switch_.phase() == MapSwitch::Phase::Unknown;
    if (now - refreshedAt_ >= (isIncomplete ? IncompleteRefreshInterval : RefreshInterval)) {
        refreshMembers();
    }
    sendBulk(now);
    const Duration interval = switch_.isIdle() || isIncomplete ? IdleUpdateInterval : SwitchUpdateInterval;
    timer_.start(bulkQueue_.empty() ? interval : BulkUpdateInterval);
}

void Coordinator::sendHeartbeats()
{
    heartbeatAt_ = BootClock::now();
    const wire::RankCommand heartbeat = makeCommand({.kind = RankOrderKind::Heartbeat});
    for (const auto &[id, member] : members_) {
        member.link->send(heartbeat);
    }
}

void Coordinator::dispatchOrder(const AddressedOrder &addressed)
{
    const bool isOwn = addressed.rank == ownRank_;
    if (addressed.senderRank == addressed.rank) {
        isOwn ? callbacks_.sendToOwnEngine(addressed.order) : sendThroughAgent(addressed.rank, addressed.order);
    } else if (isOwn) {
        sendThroughPeer(addressed.senderRank, addressed.order);
    } else {
        sendToEngine(addressed.rank, addressed.order);
    }
}

/** Sends an order directly to a responsive rank's engine. Engines do not check terms, so a coordinator that has been replaced without noticing could hold a
 * successor's passes; therefore only while all other agents follow this term. */
void Coordinator::sendToEngine(std::uint32_t rank, const RankOrder &order)
{
    if (!ownRank_ || !accessPolicy_.areOthersResponsive(*ownRank_, BootClock::now())) {
        return;
    }
    for (auto &[id, member] : members_) {
        if (member.rank == rank && member.link->isUp()) {
            engineOf(member).sendOrder(order, [](OrderOutcome) {}); // The effect is read from the engine's state.
            return;
        }
    }
}

/** Has another agent send the order to this agent's own engine, which that agent records (SwitchRecord::peerArm). */
void Coordinator::sendThroughPeer(std::uint32_t peerRank, const RankOrder &order)
{
    wire::RankCommand command = makeCommand(order);
    command.peerEngine = ownEngine_;
    command.peerRank = ownRank_.value_or(0);
    for (auto &[id, member] : members_) {
        if (member.rank == peerRank && member.link->isUp() && !ownEngine_.empty()) {
            member.link->send(command);
            return;
        }
    }
}

void Coordinator::sendThroughAgent(std::uint32_t rank, const RankOrder &order)
{
    const BootTime now = BootClock::now();
    for (auto &[id, member] : members_) {
        if (member.rank != rank) {
            continue;
        }
        if (isSwitchInProgress() && member.engine != nullptr && accessPolicy_.isUnresponsive(rank, now) && accessPolicy_.mayContactEngines(now)) {
            log()->info("Order sent directly to the engine of an unresponsive agent rank={} kind={} version={} step={}",
                        rank,
                        toString(order.kind),
                        order.version,
                        order.step);
            member.engine->sendOrder(order, [](OrderOutcome) {}); // The effect is read from the engine's state.
            return;
        }
        // A restarted engine has a second entry with the same rank; the link of the earlier entry is down.
        if (member.link->isUp()) {
            if (order.kind == RankOrderKind::Prepare) {
                enqueueBulk(id, order);
                return;
            }
            member.link->send(makeCommand(order));
            return;
        }
    }
}

/** Enqueues an order unless it is still waiting for the pacer; otherwise each retry would lengthen the queue. */
void Coordinator::enqueueBulk(const std::string &member, const RankOrder &order)
{
    const bool isQueued = std::any_of(
        bulkQueue_.begin(), bulkQueue_.end(), [&](const BulkOrder &queued) { return queued.member == member && queued.order.version == order.version; });
    if (!isQueued) {
        bulkQueue_.push_back({.member = member, .order = order});
    }
}

/** Sends queued maps as fast as the pacer allows. */
void Coordinator::sendBulk(BootTime now)
{
    while (!bulkQueue_.empty()) {
        const BulkOrder &next = bulkQueue_.front();
        const auto member = members_.find(next.member);
        // The order is obsolete if its switch was abandoned or has progressed.
        const bool isWanted = member != members_.end() && next.order.version == switch_.versionToPrepare();
        if (isWanted) {
            const MapEncoder::Encoding encoding = mapEncoder_.encode(next.order, member->second.knownMap);
            if (!pacer_.tryConsume(encoding.map.size() + MessageOverhead, now)) {
                return;
            }
            wire::RankCommand command = makeCommand(next.order);
            command.mapBase = encoding.base;
            command.map = encoding.map;
            member->second.link->send(command);
        }
        bulkQueue_.pop_front();
    }
}

wire::RankCommand Coordinator::makeCommand(const RankOrder &order) const
{
    wire::RankCommand command = toCommand(order, group_, term_);
    command.coordinator = ownRank_ ? *ownRank_ + 1 : 0;
    return command;
}

EnginePort &Coordinator::engineOf(Member &member)
{
    if (member.engine == nullptr) {
        member.engine = dialEngine_(member.engineAddress);
    }
    return *member.engine;
}

/** If only the predecessor's rank is unreachable, sets its state from the records of the other agents, so that a held group can be released. */
void Coordinator::applyPredecessorProof(BootTime now)
{
    const bool mayProve = switch_.phase() == MapSwitch::Phase::Unknown && predecessor_.term > 0 && now - startedAt_ >= ProofDelay;
    if (!mayProve || predecessor_.rank >= switch_.size()) {
        return;
    }
    for (std::uint32_t rank = 0; rank < switch_.size(); ++rank) {
        const bool hasReported = switch_.rank(rank) != nullptr;
        if (hasReported == (rank == predecessor_.rank)) {
            return; // The predecessor's rank has reported, or another rank has not.
        }
    }
    const auto proof = prover_.prove({.rank = predecessor_.rank, .size = switch_.size(), .epoch = switch_.epoch(), .term = predecessor_.term});
    if (!proof) {
        return;
    }
    log()->info(
        "State of the unreachable rank proven by the other agents rank={} armed={} term={}", predecessor_.rank, proof->armed.has_value(), predecessor_.term);
    switch_.setProvenState(predecessor_.rank, proof->armed, now);
    refreshMap();
}

/** @return nothing while ranks report different versions. Reports are frequent, so the map is assembled only when a rank's experts have changed. */
const std::optional<ExpertMap> &Coordinator::currentMap()
{
    if (assembler_.takeChanged()) {
        refreshMap();
    }
    return currentMap_;
}

void Coordinator::refreshMap()
{
    currentMap_ = assembler_.assemble(switch_.size());
    mapEncoder_.setBase(currentMap_ ? assembler_.version() : 0, currentMap_.value_or(ExpertMap()));
    const auto absent = switch_.provenRank();
    const auto fallback = currentMap_ || !absent ? currentMap_ : assembler_.assembleWithout(*absent, switch_.size());
    if (fallback) {
        switch_.setFallbackMap(*fallback);
    }
}

std::vector<double> Coordinator::rankPaces() const
{
    std::vector<double> paces(switch_.size(), 1.0);
    for (std::uint32_t index = 0; index < switch_.size(); ++index) {
        if (const RankState *rank = switch_.rank(index)) {
            paces[index] = rank->pace;
        }
    }
    return paces;
}

/** Plans a switch if none is in progress. Logs why there is none for long. */
void Coordinator::reviewPlanning(BootTime now)
{
    const bool isSwitching = switch_.phase() != MapSwitch::Phase::Unknown && !switch_.isIdle();
    const bool hasShifted = demand_.shiftedAt() > reviewedAt_;
    if (isSwitching || (now - plannedAt_ < options_.planInterval && !hasShifted)) {
        return;
    }
    const auto obstacle = planSwitch(now);
    if (!obstacle) {
        planMonitor_.onProgress();
    } else if (planMonitor_.onObstacle(*obstacle, now)) {
        withoutPlan_.add();
        const auto since = std::chrono::duration_cast<Duration>(now - *planMonitor_.withoutPlanSince());
        log()->info("No map planned reason={} for_ms={} epoch={} phase={}", toString(*obstacle), since.count(), switch_.epoch(), toString(switch_.phase()));
    }
}

/** @return why no switch was begun; nothing if one was. */
std::optional<PlanObstacle> Coordinator::planSwitch(BootTime now)
{
    if (!switch_.canBegin()) {
        return PlanObstacle::MissingRanks;
    }
    const auto &current = currentMap();
    if (!current || current->empty()) {
        return PlanObstacle::NoWholeMap;
    }
    plannedAt_ = now;
    reviewedAt_ = now;
    if (demand_.isEmpty() || demand_.size() != current->size() * options_.expertsPerSet) {
        return PlanObstacle::NoDemand;
    }
    const auto demand = demand_.shares(current->size());
    const auto paces = rankPaces();
    const double load = ReplicaPlanner::load(*current, demand, paces) / static_cast<double>(current->size());
    passModel_.learn(policy_.passTime(), load);
    if (!policy_.needsChange(load) || !policy_.mayBeWorthwhile(passModel_, load)) {
        return PlanObstacle::EvenEnough;
    }
    auto plan = planner_.plan(*current, demand, paces);
    if (!plan) {
        return PlanObstacle::NoGain;
    }
    if (!policy_.isWorthwhile(passModel_.predict(load), passModel_.predict(plan->loadAfter / static_cast<double>(current->size())))) {
        smallGains_.add();
        plannedAt_ = now + SmallGainDelay;
        return PlanObstacle::NoGain;
    }
    switches_.add();
    copies_.add(static_cast<double>(plan->copies));
    switch_.begin(std::move(plan->map), *current, now);
    logPlan(*plan, current->size(), paces.empty() ? 1.0 : *std::max_element(paces.begin(), paces.end()));
    return std::nullopt;
}

void Coordinator::logPlan(const ReplicaPlan &plan, std::size_t sets, double slowestPace) const
{
    const auto predicted = [&](double load) { return passModel_.predict(load / static_cast<double>(sets)).count(); };
    log()->info("Map planned version={} copies={} load_before={:.3f} load_after={:.3f} sets={} slowest_pace={:.2f} pass_ms={:.0f} predicted_ms={:.1f} "
                "gain_ms={:.1f} copying_ms={:.0f}",
                switch_.version(),
                plan.copies,
                plan.loadBefore,
                plan.loadAfter,
                sets,
                slowestPace,
                policy_.passTime().count(),
                predicted(plan.loadBefore),
                predicted(plan.loadBefore) - predicted(plan.loadAfter),
                PassModel::Milliseconds(options_.copyTime * static_cast<double>(plan.mostCopiesOfRank)).count());
}

} // namespace magnolia::group
