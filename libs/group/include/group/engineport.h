#ifndef MAGNOLIA_GROUP_ENGINEPORT_H
#define MAGNOLIA_GROUP_ENGINEPORT_H

#include "base/failure.h"
#include "base/statedincarnation.h"
#include "group/rankstate.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::group
{

/** How often requests of this rank have chosen each expert since the rank started. */
struct ExpertCounts {
    std::uint64_t epoch = 0;
    std::vector<std::uint64_t> counts; ///< All experts of the first set, then all of the second, and so on.
    StatedIncarnation incarnation{};
};

/** The experts that a rank holds under the map in use. */
struct HeldExperts {
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::vector<std::vector<std::uint16_t>> experts; ///< By set.
    StatedIncarnation incarnation{};
};

/** Access to one engine. Each call invokes its callback exactly once, on the thread of the event loop and never before the call returns. */
class EnginePort
{
public:
    virtual ~EnginePort() = default;
    virtual void readState(std::function<void(Result<RankState>)> done) = 0;
    virtual void readCounts(std::function<void(Result<ExpertCounts>)> done) = 0;
    virtual void readHeldExperts(std::function<void(Result<HeldExperts>)> done) = 0;
    virtual void sendOrder(const RankOrder &order, std::function<void(OrderOutcome)> done) = 0;
};

/** Creates a port to the engine at an address, for direct access to another rank's engine. */
using EngineDialer = std::function<std::unique_ptr<EnginePort>(const std::string &address)>;

/** An engine of the service, as listed by the platform. */
struct MemberAddress {
    std::string id; ///< Identifies one run of the engine.
    std::string engineAddress; ///< "IP:PORT" of the engine.
    std::string agentAddress; ///< "IP:PORT" on which the agent accepts links.
};

/** The coordinator of a group: a row of the platform's store that is only replaced if it has not changed since it was read. */
struct CoordinatorRow {
    std::uint64_t term = 0; ///< Increases with each coordinator; 0: there was no coordinator yet.
    std::string holder; ///< Name of the coordinator's instance.
    std::uint64_t version = 0; ///< Version of the row, ordered also across restores of the store from an older copy.
};

/** Access of an agent to the platform's store. */
class GroupStore
{
public:
    virtual ~GroupStore() = default;
    virtual void readCoordinator(const std::string &group, std::function<void(Result<CoordinatorRow>)> done) = 0;

    /** Replaces the row that was read by the next one if it has not changed. @return the version of the new row, or nothing if the row had changed. */
    virtual void replaceCoordinator(const std::string &group,
                                    const CoordinatorRow &read,
                                    const CoordinatorRow &next,
                                    std::function<void(Result<std::optional<std::uint64_t>>)> done) = 0;
    virtual void listMembers(std::function<void(Result<std::vector<MemberAddress>>)> done) = 0;
};

} // namespace magnolia::group

#endif
