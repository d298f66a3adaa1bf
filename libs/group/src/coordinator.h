#ifndef MAGNOLIA_GROUP_COORDINATOR_H
#define MAGNOLIA_GROUP_COORDINATOR_H

#include "bulkpacer.h"
#include "group/armedstateprover.h"
#include "group/changepolicy.h"
#include "group/directaccesspolicy.h"
#include "group/engineport.h"
#include "group/expertdemand.h"
#include "group/grouptask.h"
#include "group/mapswitch.h"
#include "group/replicaplanner.h"
#include "groupcodec.h"
#include "http/timer.h"
#include "mapassembler.h"
#include "mapcodec.h"
#include "mapencoder.h"
#include "observe/metrics.h"
#include "planobstacle.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace magnolia::group
{

/**
 * Coordinates a group during one term: keeps links to all agents, collects demand and switches maps.
 *
 * Owned by the agent that holds the term and destroyed when the term ends. Must be called on the thread of the event loop.
 */
class Coordinator
{
public:
    /** The previous coordinator, if known. */
    struct Predecessor {
        std::uint64_t term = 0; ///< 0: unknown.
        std::uint32_t rank = 0;
    };

    /** Term of one coordinator. */
    struct Term {
        std::string group;
        std::uint64_t number = 0;
        Predecessor predecessor;
    };

    struct Callbacks {
        std::function<void(const RankOrder &)> sendToOwnEngine{}; ///< Sends an order to the engine of this agent.
        std::function<void()> onSuperseded{}; ///< Called when an agent reports a higher term. The coordinator may be destroyed after the callback returns.
    };

    Coordinator(event_base *loop,
                const GroupOptions &options,
                Term term,
                EngineDialer dialEngine,
                GroupStore &store,
                observe::Metrics &metrics,
                Callbacks callbacks);
    Coordinator(const Coordinator &) = delete;
    Coordinator &operator=(const Coordinator &) = delete;

    void handleReport(const wire::RankReport &report);
    void setOwnRank(std::uint32_t rank)
    {
        ownRank_ = rank;
        switch_.setOwnRank(rank);
    }

private:
    struct Member {
        std::unique_ptr<wire::LinkDialer> link;
        std::optional<std::uint32_t> rank;
        std::string engineAddress;
        std::unique_ptr<EnginePort> engine; ///< Direct access; created on first use.
        bool isEngineQueryPending = false; ///< A direct query to the engine is in progress.
        BootTime dialledAt;
        std::uint64_t knownMap = 0; ///< Version of the map in use, if the agent reports that it has that map.
    };

    /** An order that carries a map. */
    struct BulkOrder {
        std::string member; ///< Id of the member.
        RankOrder order;
    };

    void refreshMembers();
    void updateMembers(const std::vector<MemberAddress> &members);
    void dialMember(const MemberAddress &member);
    void handleMemberReport(const std::string &id, const wire::RankReport &report);
    void update();
    void queryUnresponsiveEngines(BootTime now);
    bool isAgentUnresponsive(const Member &member, BootTime now) const;
    void queryEngineState(const std::string &id, BootTime now);
    void handleEngineState(const std::string &id, const RankState &state, BootTime queriedAt);
    void queryHeldExperts(const std::string &id, std::uint32_t rank);
    bool isSwitchInProgress() const;
    void followGroup();
    void setHeldExperts(std::uint32_t rank, std::uint64_t version, ExpertsBySet experts);
    void addDemand(const wire::RankReport &report);
    std::optional<PlanObstacle> planSwitch(BootTime now);
    void reviewPlanning(BootTime now);
    void logPlan(const ReplicaPlan &plan, std::size_t sets, double slowestPace) const;
    void sendHeartbeats();
    void dispatchOrder(const AddressedOrder &addressed);
    void enqueueBulk(const std::string &member, const RankOrder &order);
    void sendBulk(BootTime now);
    void sendToEngine(std::uint32_t rank, const RankOrder &order);
    void sendThroughPeer(std::uint32_t peerRank, const RankOrder &order);
    void sendThroughAgent(std::uint32_t rank, const RankOrder &order);
    EnginePort &engineOf(Member &member);
    wire::RankCommand makeCommand(const RankOrder &order) const;
    void applyPredecessorProof(BootTime now);
    const std::optional<ExpertMap> &currentMap();
    void refreshMap();
    std::vector<double> rankPaces() const;

    event_base *loop_;
    GroupOptions options_;
    std::string group_;
    std::uint64_t term_;
    Predecessor predecessor_;
    EngineDialer dialEngine_;
    GroupStore &store_;
    Callbacks callbacks_;
    MapSwitch switch_;
    DirectAccessPolicy accessPolicy_;
    ArmedStateProver prover_;
    BootTime startedAt_; ///< Start of this term.
    std::string ownEngine_; ///< Address of the engine of this agent; empty until the member list has been read.
    ChangePolicy policy_;
    PassModel passModel_;
    ReplicaPlanner planner_;
    MapEncoder mapEncoder_;
    BulkPacer pacer_;
    std::deque<BulkOrder> bulkQueue_; ///< Orders waiting for the pacer.
    std::optional<std::uint32_t> ownRank_;
    std::map<std::string, Member> members_; ///< By the id of the engine's run.
    std::set<std::string> otherGroupMembers_; ///< Ids of members that belong to other groups.
    MapAssembler assembler_;
    std::optional<std::uint64_t> epoch_; ///< Epoch of assembler_, accessPolicy_ and prover_; empty before the first report.
    std::optional<ExpertMap> currentMap_; ///< Assembled by assembler_.
    bool isSuperseded_ = false;
    ExpertDemand demand_;
    BootTime plannedAt_; ///< The next plan is computed an interval after this, unless demand shifts.
    BootTime reviewedAt_; ///< When it was last decided whether to change the map.
    PlanMonitor planMonitor_;
    BootTime heartbeatAt_;
    BootTime refreshedAt_;
    MapSwitch::Phase loggedPhase_ = MapSwitch::Phase::Unknown;
    observe::Counter &switches_;
    observe::Counter &copies_;
    observe::Counter &smallGains_;
    observe::Counter &withoutPlan_;
    http::Timer timer_;
    http::Timer dropTimer_; ///< Closes links to agents of other groups outside of their own callbacks.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace magnolia::group

#endif
