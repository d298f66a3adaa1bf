#ifndef MAGNOLIA_GROUP_TESTS_GROUPSIMULATION_H
#define MAGNOLIA_GROUP_TESTS_GROUPSIMULATION_H

#include "base/random.h"
#include "group/armedstateprover.h"
#include "group/mapswitch.h"

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::group
{

/** Safety rule of a map switch to disable, to check that the simulation detects the fault. */
enum class Mutant {
    None,
    AssumesOrdersExecuted, ///< An order counts as executed once it was sent.
    ReusedVersions, ///< A successor uses the same versions as its predecessor.
    IgnoresTerms, ///< Agents execute orders of a coordinator that has been replaced.
    CoordinatorArmsOwnRank, ///< The coordinator's own agent arms its rank.
    PeerForgetsArm, ///< An agent loses its record of an order to arm but still counts as evidence.
    UndoMarkedFresh, ///< A switch that undoes another is marked as begun while nothing was armed.
    AssumesUnarmed, ///< An unreachable rank counts as not armed, regardless of the other agents' records.
};

/**
 * Randomised simulation of a group of engines that behave as specified, their agents and changing coordinators.
 *
 * An instance may freeze: its engine continues with the group, but neither the engine nor its agent is reachable, messages to them arrive late or never, and a
 * coordinator on it resumes later without noticing the pause. Agents may restart and lose their records.
 *
 * Orders may be lost, executed late or executed twice, and their answers are ignored. Engines do not compare maps. Every pass checks that all ranks use the
 * same map, by version and content.
 */
class GroupSimulation
{
public:
    struct Options {
        std::uint32_t ranks = 2;
        Mutant mutant = Mutant::None;
        double delayedShare = 0.3; ///< Share of orders that are executed later.
        double duplicatedShare = 0.1; ///< Share of the orders executed at once that are executed again later.
    };

    GroupSimulation(Options options, std::uint64_t seed)
        : options_(options), random_(seed), engines_(options.ranks), agentTerms_(options.ranks, 0), records_(options.ranks)
    {
        for (std::uint32_t rank = 0; rank < options.ranks; ++rank) {
            engines_[rank].content = rank;
        }
        takeOver();
    }

    /** Simulates one random event. */
    void step()
    {
        now_ += std::chrono::milliseconds(randomInt(1, 20));
        if (frozen_ && now_ >= *thawsAt_) {
            frozen_.reset();
        }
        switch (randomInt(0, 12)) {
        case 0:
        case 1:
            runPass();
            break;
        case 2:
            executeDelayed();
            break;
        case 3:
            update(current_);
            break;
        case 4:
            if (replacedCoordinator_ && randomInt(0, 1) == 0) {
                update(*replacedCoordinator_);
            }
            break;
        case 5:
            if (randomInt(0, 60) == 0) {
                takeOver();
            }
            break;
        case 6:
            if (randomInt(0, 150) == 0) {
                formNewEpoch();
            }
            break;
        case 7:
            if (randomInt(0, 40) == 0) {
                freezeOrRestart();
            }
            break;
        default:
            report(randomInt(0, options_.ranks - 1));
            update(current_);
            break;
        }
    }

    /** Continues without faults. @return whether the group runs passes and is idle again. */
    bool recovers()
    {
        options_.delayedShare = 0;
        options_.duplicatedShare = 0;
        delayed_.clear();
        replacedCoordinator_.reset();
        frozen_.reset();
        isRecovering_ = true;
        const std::uint64_t before = step_;
        for (int round = 0; round < 2000; ++round) {
            now_ += std::chrono::milliseconds(10);
            for (std::uint32_t rank = 0; rank < options_.ranks; ++rank) {
                report(rank);
            }
            update(current_);
            runPass();
            const bool isRunning = step_ > before + 20;
            if (isRunning && current_.change.isIdle() && !fault_) {
                return true;
            }
        }
        return false;
    }

    const std::optional<std::string> &fault() const
    {
        return fault_;
    }
    std::uint64_t switches() const
    {
        return switches_;
    }
    std::uint64_t passes() const
    {
        return step_;
    }
    /** Number of states that successors have proven. */
    std::uint64_t proofs() const
    {
        return proofs_;
    }

private:
    using Content = std::uint64_t; ///< Represents the experts of a map; equal if and only if the maps are equal.

    struct Engine {
        std::uint64_t map = 0;
        std::uint64_t mapContent = 0;
        std::uint64_t prepared = 0;
        std::uint64_t preparedContent = 0;
        std::optional<ArmedMap> armed{};
        std::optional<std::uint64_t> held{};
        std::uint64_t highest = 0; ///< Highest version that it has prepared.
        std::uint64_t content = 0;
    };

    struct Coordinator {
        std::uint64_t term = 0;
        MapSwitch change;
        BootTime startedAt{};
        std::uint32_t at = 0; ///< Rank on its instance.
        ArmedStateProver prover{};
        std::optional<std::uint64_t> predecessorTerm{};
        std::uint32_t predecessorAt = 0;
        std::vector<BootTime> reportedAt{}; ///< By rank: time of the last report.
        std::uint64_t epoch = 0;
    };

    /** An order in transit to an engine, or a command in transit to the agent that will send the order. */
    struct DelayedOrder {
        std::uint32_t rank = 0;
        RankOrder order;
        std::uint64_t epoch = 0;
        std::optional<std::uint32_t> senderRank{}; ///< Agent that receives a command; empty for an order.
        std::uint64_t term = 0; ///< Term of a command.
    };

    std::uint32_t randomInt(std::uint32_t least, std::uint32_t most)
    {
        return std::uniform_int_distribution<std::uint32_t>(least, most)(random_);
    }
    bool randomBool(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }

    void takeOver()
    {
        const std::uint32_t at = randomInt(0, options_.ranks - 1);
        if (at == frozen_) {
            return;
        }
        // An agent that did not follow the previous coordinator does not know its rank.
        const bool knowsPredecessor = current_.term > 0 && agentTerms_[at] == current_.term && at != current_.at;
        const std::uint32_t predecessorAt = current_.at;
        const std::uint64_t predecessorTerm = current_.term;
        if (current_.term > 0) {
            replacedCoordinator_ = current_; // The previous coordinator does not notice its replacement and stays active.
        }
        ++terms_;
        const std::uint64_t versions = options_.mutant == Mutant::ReusedVersions ? 1 : terms_;
        current_ = {.term = terms_, .change = MapSwitch({.term = versions}), .startedAt = now_, .at = at};
        current_.reportedAt.assign(options_.ranks, BootTime());
        current_.predecessorAt = predecessorAt;
        if (knowsPredecessor) {
            current_.predecessorTerm = predecessorTerm;
        }
        current_.change.setFallbackMap(mapOf(0));
        current_.change.setOwnRank(at);
        agentTerms_[at] = terms_;
    }

    void freezeOrRestart()
    {
        const std::uint32_t rank = randomInt(0, options_.ranks - 1);
        if (randomInt(0, 3) == 0) {
            records_[rank] = {};
        } else if (!frozen_) {
            // Prefer the coordinator's instance, since it sends the orders.
            frozen_ = randomInt(0, 2) > 0 ? current_.at : rank;
            thawsAt_ = now_ + std::chrono::milliseconds(randomInt(50, 3000));
        }
    }

    void formNewEpoch()
    {
        ++epoch_;
        for (Engine &engine : engines_) {
            engine = {.highest = engine.highest, .content = engine.content};
        }
        // Links and the agents' records outlive an epoch.
    }

    /** A map with one number as its content. */
    static ExpertMap mapOf(Content content)
    {
        return {{{static_cast<std::uint16_t>(content)}}};
    }

    RankState stateOf(std::uint32_t rank) const
    {
        const Engine &engine = engines_[rank];
        return {.group = "g",
                .epoch = epoch_,
                .rank = rank,
                .size = options_.ranks,
                .isOpen = true,
                .step = step_,
                .mapVersion = engine.map,
                .preparedVersion = engine.prepared,
                .armed = engine.armed,
                .heldStep = engine.held};
    }

    void report(std::uint32_t rank)
    {
        if (rank == frozen_) {
            return;
        }
        if (randomInt(0, 3) > 0 || agentTerms_[rank] == 0) {
            agentTerms_[rank] = std::max(agentTerms_[rank], current_.term);
        }
        if (agentTerms_[rank] == current_.term) {
            deliverReport(current_, rank);
        }
        const bool followsReplacedCoordinator =
            options_.mutant == Mutant::IgnoresTerms || (replacedCoordinator_ && agentTerms_[rank] == replacedCoordinator_->term);
        if (replacedCoordinator_ && followsReplacedCoordinator) {
            deliverReport(*replacedCoordinator_, rank);
        }
    }

    void deliverReport(Coordinator &coordinator, std::uint32_t rank)
    {
        if (coordinator.at == frozen_) {
            return;
        }
        coordinator.change.onRankReport(stateOf(rank), now_);
        if (coordinator.epoch != epoch_) {
            coordinator.epoch = epoch_;
            coordinator.prover.reset();
        }
        SwitchRecord record = records_[rank];
        record.mapVersion = engines_[rank].map;
        coordinator.prover.recordSwitch(rank, record);
        coordinator.change.onPrepareAcknowledged(rank, record.orderedVersion);
        coordinator.reportedAt[rank] = now_;
    }

    void update(Coordinator &coordinator)
    {
        if (coordinator.at == frozen_) {
            return;
        }
        applyPredecessorProof(coordinator);
        if (coordinator.change.canBegin() && !isRecovering_) {
            coordinator.change.begin(mapOf(1 + randomInt(0, 1000)), mapOf(0), now_);
            ++switches_;
        }
        for (const AddressedOrder &addressed : coordinator.change.takeDueOrders(now_)) {
            send(coordinator, addressed);
            if (options_.mutant == Mutant::AssumesOrdersExecuted) {
                assumeExecuted(coordinator, addressed);
            }
        }
    }

    void applyPredecessorProof(Coordinator &coordinator)
    {
        constexpr std::chrono::milliseconds ProofDelay{120};
        if (coordinator.change.phase() != MapSwitch::Phase::Unknown || !coordinator.predecessorTerm || now_ - coordinator.startedAt < ProofDelay) {
            return;
        }
        const std::uint32_t unreachable = coordinator.predecessorAt;
        for (std::uint32_t rank = 0; rank < coordinator.change.size(); ++rank) {
            if ((coordinator.change.rank(rank) != nullptr) == (rank == unreachable)) {
                return;
            }
        }
        auto proof = coordinator.prover.prove(
            {.rank = unreachable, .size = coordinator.change.size(), .epoch = coordinator.change.epoch(), .term = *coordinator.predecessorTerm});
        if (options_.mutant == Mutant::AssumesUnarmed) {
            proof = ArmedStateProver::Proof{};
        }
        if (proof && coordinator.change.size() > 0) {
            coordinator.change.setProvenState(unreachable, proof->armed, now_);
            ++proofs_;
        }
    }

    void send(Coordinator &coordinator, AddressedOrder addressed)
    {
        const bool isOwnArm = addressed.rank == coordinator.at && addressed.order.kind == RankOrderKind::Arm;
        if (options_.mutant == Mutant::CoordinatorArmsOwnRank && isOwnArm) {
            addressed.senderRank = addressed.rank;
        }
        if (options_.mutant == Mutant::UndoMarkedFresh) {
            addressed.order.isFresh = true;
        }
        const bool isDirect = addressed.senderRank == coordinator.at && addressed.rank != coordinator.at;
        if (isDirect && hasHeardFromAll(coordinator)) {
            deliverOrder({.rank = addressed.rank, .order = addressed.order, .epoch = epoch_});
        } else if (!isDirect) {
            deliverCommand({.rank = addressed.rank, .order = addressed.order, .epoch = epoch_, .senderRank = addressed.senderRank, .term = coordinator.term});
        }
    }

    bool hasHeardFromAll(const Coordinator &coordinator) const
    {
        constexpr std::chrono::milliseconds ReportTimeout{400};
        for (std::uint32_t rank = 0; rank < options_.ranks; ++rank) {
            if (rank != coordinator.at && now_ - coordinator.reportedAt[rank] > ReportTimeout) {
                return false;
            }
        }
        return true;
    }

    /** Delivers a command to the agent that will send the order. */
    void deliverCommand(const DelayedOrder &command)
    {
        const std::uint32_t senderRank = *command.senderRank;
        if (senderRank == frozen_) {
            delayed_.push_back(command);
            return;
        }
        if (options_.mutant != Mutant::IgnoresTerms && agentTerms_[senderRank] > command.term) {
            return;
        }
        agentTerms_[senderRank] = std::max(agentTerms_[senderRank], command.term);
        DelayedOrder order{.rank = command.rank, .order = command.order, .epoch = command.epoch};
        SwitchRecord &record = records_[senderRank];
        if (command.order.kind == RankOrderKind::Prepare) {
            record.orderedVersion = command.order.version;
            record.isFresh = command.order.isFresh;
        }
        if (command.rank == senderRank) {
            deliverOrder(order);
            return;
        }
        PeerArm arm{.rank = command.rank, .epoch = command.order.epoch, .version = command.order.version, .step = command.order.step};
        arm.isAccepted = record.peerArm && record.peerArm->version == arm.version && record.peerArm->step == arm.step && record.peerArm->isAccepted;
        record.peerArm = arm;
        if (deliverOrder(order) && engines_[command.rank].armed == ArmedMap{.version = arm.version, .step = arm.step}) {
            record.peerArm->isAccepted = true;
        }
        if (options_.mutant == Mutant::PeerForgetsArm && randomInt(0, 3) == 0) {
            record.peerArm.reset(); // The agent loses its record but still counts as evidence.
        }
    }

    /** Reports a state as if the order had been executed. */
    void assumeExecuted(Coordinator &coordinator, const AddressedOrder &addressed)
    {
        RankState state = stateOf(addressed.rank);
        if (addressed.order.kind == RankOrderKind::Arm) {
            state.armed = ArmedMap{.version = addressed.order.version, .step = addressed.order.step};
        }
        coordinator.change.onRankReport(state, now_);
    }

    /** Delivers an order to an engine, now or later. @return true if it was executed now and the engine has confirmed it. */
    bool deliverOrder(const DelayedOrder &order)
    {
        if (order.rank == frozen_ || randomBool(options_.delayedShare)) {
            delayed_.push_back(order);
            return false;
        }
        executeOrder(order);
        if (randomBool(options_.duplicatedShare)) {
            delayed_.push_back(order);
        }
        return true;
    }

    void executeDelayed()
    {
        if (delayed_.empty()) {
            return;
        }
        const std::size_t index = randomInt(0, static_cast<std::uint32_t>(delayed_.size()) - 1);
        const DelayedOrder delayed = delayed_[index];
        delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(index));
        if (randomInt(0, 4) == 0) {
            return; // The order is lost.
        }
        if (delayed.senderRank) {
            deliverCommand(delayed);
        } else if (delayed.rank == frozen_) {
            delayed_.push_back(delayed);
        } else {
            executeOrder(delayed);
        }
    }

    void executeOrder(const DelayedOrder &delayed)
    {
        Engine &engine = engines_[delayed.rank];
        const RankOrder &order = delayed.order;
        if (order.epoch != epoch_) {
            return;
        }
        const bool hasBegun = order.step <= step_;
        switch (order.kind) {
        case RankOrderKind::Prepare:
            if (order.version > engine.highest && !engine.armed) {
                engine.highest = order.version;
                engine.prepared = order.version;
                engine.preparedContent = (*order.map)[0][0][0];
            }
            break;
        case RankOrderKind::Arm:
            if (engine.prepared == order.version && !hasBegun) {
                engine.armed = ArmedMap{.version = order.version, .step = order.step};
            }
            break;
        case RankOrderKind::Disarm:
            if (engine.armed && engine.armed->version == order.version) {
                engine.armed.reset();
            }
            break;
        case RankOrderKind::Hold:
            if (!hasBegun && !engine.held) {
                engine.held = order.step;
            }
            break;
        case RankOrderKind::Release:
            if (engine.held == order.step) {
                engine.held.reset();
            }
            break;
        case RankOrderKind::Heartbeat:
            break;
        }
    }

    void runPass()
    {
        const std::uint64_t next = step_ + 1;
        for (const Engine &engine : engines_) {
            if (engine.held && *engine.held <= next) {
                return;
            }
        }
        step_ = next;
        for (Engine &engine : engines_) {
            if (engine.armed && engine.armed->step <= step_) {
                engine.map = engine.armed->version;
                engine.mapContent = engine.preparedContent;
                engine.armed.reset();
                engine.prepared = 0;
            }
        }
        for (const Engine &engine : engines_) {
            const bool isSame = engine.map == engines_.front().map && engine.mapContent == engines_.front().mapContent;
            if (!isSame && !fault_) {
                fault_ = "pass " + std::to_string(step_) + " runs on two maps";
            }
        }
    }

    Options options_;
    Random random_;
    BootTime now_ = BootTime(std::chrono::hours(1));
    std::uint64_t epoch_ = 1;
    std::uint64_t step_ = 0;
    std::vector<Engine> engines_;
    std::vector<std::uint64_t> agentTerms_;
    std::vector<SwitchRecord> records_; ///< Records of the agents, by rank.
    std::optional<std::uint32_t> frozen_; ///< Rank of the frozen instance.
    std::optional<BootTime> thawsAt_;
    std::uint64_t proofs_ = 0;
    std::uint64_t terms_ = 0;
    Coordinator current_{.term = 0, .change = MapSwitch(MapSwitch::Options{})};
    std::optional<Coordinator> replacedCoordinator_;
    std::vector<DelayedOrder> delayed_;
    std::uint64_t switches_ = 0;
    bool isRecovering_ = false; ///< No further switch is started.
    std::optional<std::string> fault_;
};

} // namespace magnolia::group

#endif
