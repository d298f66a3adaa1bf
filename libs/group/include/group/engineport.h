#ifndef MAGNOLIA_GROUP_ENGINEPORT_H
#define MAGNOLIA_GROUP_ENGINEPORT_H

#include "base/failure.h"
#include "group/rankstate.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace magnolia::group
{

/** How often each expert was chosen by this rank's requests since the rank started. */
struct ExpertCounts {
    std::uint64_t epoch = 0;
    std::vector<std::uint64_t> counts; ///< Set by set, each with all of its experts.
    std::uint64_t incarnation = 0; ///< As of RankState.
};

/** The experts that a rank holds in the map in use. */
struct HeldExperts {
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::vector<std::vector<std::uint16_t>> experts; ///< By set.
};

/** The engine that an agent stands beside. Calls call back exactly once, on the loop's thread, never from within. */
class EnginePort
{
public:
    virtual ~EnginePort() = default;
    virtual void readState(std::function<void(Result<RankState>)> done) = 0;
    virtual void readCounts(std::function<void(Result<ExpertCounts>)> done) = 0;
    virtual void readHeldExperts(std::function<void(Result<HeldExperts>)> done) = 0;
    virtual void sendOrder(const RankOrder &order, std::function<void(OrderOutcome)> done) = 0;
};

/** @return a port to the engine at an address, for a coordinator whose agent there has fallen silent. */
using EngineDialer = std::function<std::unique_ptr<EnginePort>(const std::string &address)>;

/** An engine of the service, as the platform's list shows it. */
struct MemberAddress {
    std::string id; ///< Of the engine's run.
    std::string engineAddress; ///< "IP:PORT" of the engine itself.
    std::string agentAddress; ///< "IP:PORT" where its agent takes links.
};

/** Who coordinates a group: a row of the platform's store, changed only under the condition that it has not changed. */
struct CoordinatorRow {
    std::uint64_t term = 0; ///< Grows with each coordinator; 0: nobody has taken it yet.
    std::string holder; ///< Name of the instance.
    std::uint64_t version = 0; ///< Of the row; compares across the store's returns from an older copy.
};

/** What an agent needs of the platform's store. */
class GroupStore
{
public:
    virtual ~GroupStore() = default;
    virtual void readCoordinator(const std::string &group, std::function<void(Result<CoordinatorRow>)> done) = 0;

    /** Writes the next row in place of the one that was read, if that still stands. @return its version, or nothing if another was first. */
    virtual void replaceCoordinator(const std::string &group,
                                    const CoordinatorRow &read,
                                    const CoordinatorRow &next,
                                    std::function<void(Result<std::optional<std::uint64_t>>)> done) = 0;
    virtual void listMembers(std::function<void(Result<std::vector<MemberAddress>>)> done) = 0;
};

} // namespace magnolia::group

#endif
