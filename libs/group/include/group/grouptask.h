#ifndef MAGNOLIA_GROUP_GROUPTASK_H
#define MAGNOLIA_GROUP_GROUPTASK_H

#include "base/clock.h"
#include "base/failure.h"
#include "group/engineport.h"
#include "group/expertdemand.h"
#include "group/passmodel.h"
#include "observe/metrics.h"
#include "wire/link.h"

#include <cstddef>
#include <memory>
#include <string>

struct event_base;

namespace magnolia::group
{

struct GroupOptions {
    std::string instance{}; ///< Unique name of this agent.
    std::string listenAddress{}; ///< "IP:PORT" on which this agent accepts links from coordinators.
    wire::LinkOptions links{};
    double interfaceBytesPerSecond = 0; ///< Capacity of the instance's network interface; 0: unknown, maps are sent without a rate limit.
    Duration pollInterval{100}; ///< Interval between two reads of the engine's state. Reads from the engine's own instance cost nothing.
    Duration switchPollInterval{15}; ///< The poll interval while a map switch is in progress, since each of its steps waits for a report.
    Duration coordinatorTimeout{700}; ///< If no heartbeat or order arrives for this long, another agent becomes the coordinator.
    /** The coordinator timeout of the agent whose rank holds a pass. The group makes no passes meanwhile, and the coordinator sends a heartbeat every 60 ms. */
    Duration heldCoordinatorTimeout{250};
    ExpertDemand::Options demand{};
    Duration planInterval{100}; ///< Interval between two attempts to plan a better map.
    std::size_t expertsPerSet = 0; ///< Number of experts in each set.
    std::size_t maxExpertsPerRank = 0; ///< Experts that a rank can hold in each set; 0: taken from the layout in the store.
    std::size_t maxCopiesPerSet = 4; ///< Copies to one rank in one set that the engine accepts in one switch.
    std::chrono::duration<double> copyTime{0.4}; ///< Time to copy one expert to one rank.
    /**
     * Time that each rank may spend on copying in one map switch; at least one expert is always copied. The default is as long as the rest of a switch takes.
     * The most needed replicas are copied first, and later ones are chosen from newer demand.
     */
    Duration copyTimeBudget{100};
    double minGain = 0.08; ///< Smallest relative reduction of the load that is worth a switch.
    Duration pauseObjective{0}; ///< Longest pause that routes allow between two events of a stream; 0: no objective.
    PassModel::Options passes{};
};

/**
 * Runs an agent in the group of its engine: polls the engine, reports to the coordinator and executes its commands. One agent of the group is the coordinator
 * and changes the expert map when demand shifts.
 *
 * The coordinator is recorded in a row of the store, which is written only when a coordinator has stopped sending heartbeats. The row contains the term that
 * all commands carry. Runs on one event loop and must be called on its thread. The engine port and the store must outlive it.
 *
 * @code
 * auto task = GroupTask::start(loop, options, engine, dialEngine, store, metrics);
 * @endcode
 */
class GroupTask
{
public:
    virtual ~GroupTask() = default;

    static Result<std::unique_ptr<GroupTask>>
    start(event_base *loop, GroupOptions options, EnginePort &engine, EngineDialer dialEngine, GroupStore &store, observe::Metrics &metrics);
};

} // namespace magnolia::group

#endif
