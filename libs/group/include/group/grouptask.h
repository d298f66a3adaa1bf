#ifndef MAGNOLIA_GROUP_GROUPTASK_H
#define MAGNOLIA_GROUP_GROUPTASK_H

#include "base/clock.h"
#include "base/failure.h"
#include "group/engineport.h"
#include "observe/metrics.h"
#include "wire/link.h"

#include <cstddef>
#include <memory>
#include <string>

struct event_base;

namespace magnolia::group
{

struct GroupOptions {
    std::string instance{}; ///< Name of this agent; unique.
    std::string listenAddress{}; ///< "IP:PORT" for the coordinator's link.
    wire::LinkOptions links{};
    double interfaceBytesPerSecond = 0; ///< Of the instance's network interface; 0: not known, maps are told as fast as they can be.
    Duration pollInterval{100}; ///< Between two looks at the engine; free from its own instance.
    Duration switchPollInterval{30}; ///< The same while a change of map is in progress: each step of it waits for a report.
    Duration coordinatorTimeout{700}; ///< Without a coordinator's word for so long another takes its place.
    Duration heldCoordinatorTimeout{
        250}; ///< The same for the agent whose rank holds a pass: its group stands still, and a coordinator sends a word each 60 ms then.
    Duration demandHalfLife{200}; ///< Age at which a choice of an expert counts half.
    Duration planInterval{100}; ///< Between two looks for a better map.
    std::size_t expertsPerSet = 0; ///< In each set.
    std::size_t maxExpertsPerRank = 0; ///< In each set; 0: read by the store's layout.
    std::size_t maxCopiesPerSet = 4;
    std::chrono::duration<double> copyTime{0.4}; ///< Of one expert to one rank.
    /**
     * For which ranks copy in one change of map, at one expert least; as long as the rest of a change takes. The most wanted
     * replicas come first, and what comes later is chosen by newer demand.
     */
    Duration copyTimeBudget{100};
    double minGain = 0.08;
    Duration pauseObjective{0}; ///< Longest pause that routes allow between two events of a stream; 0: none stated.
};

/**
 * An agent's part in its engine's group: it looks at its engine, tells the coordinator, and carries out its commands; one
 * agent of the group is the coordinator, and changes the expert map as demand moves.
 *
 * Who coordinates stands in a row of the store, which is written only when a coordinator has fallen silent; the row's
 * version is the term that commands carry. Lives on one event loop, all calls on its thread; the ports outlive it.
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
