#ifndef MAGNOLIA_CTL_DEPLOYMENT_H
#define MAGNOLIA_CTL_DEPLOYMENT_H

#include "base/failure.h"
#include "group/engineport.h"
#include "routing/endpointtable.h"
#include "routing/routingconfig.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace magnolia::ctl
{

/** An entry that announced itself. */
struct EntryRecord {
    std::string name;
    std::string address; ///< Of its links, "IP:PORT".
    Duration age{0}; ///< Of the announcement.
};

/** Who coordinates a group. */
struct GroupRecord {
    std::string group;
    std::string coordinator; ///< Name of its instance.
    std::uint64_t term = 0;
};

/** An engine as a rank of its group, and the experts that it holds. */
struct RankRecord {
    std::string id;
    std::string address;
    group::RankState state;
    group::HeldExperts held;
};

/**
 * A deployment whose routes and endpoints are kept in the platform's store, as its operators see it. It is only read. Calls
 * are asynchronous and call back exactly once, on the loop's thread.
 */
template<typename T>
concept DeploymentView = requires(T &view, const std::string &address)
{
    view.readRouting(std::function<void(Result<routing::RoutingConfig>)>());
    view.listEndpoints(std::function<void(Result<std::vector<routing::EndpointRecord>>)>());
    view.listEntries(std::function<void(Result<std::vector<EntryRecord>>)>());
    view.listGroups(std::function<void(Result<std::vector<GroupRecord>>)>());
    view.readRank(address, std::function<void(Result<group::RankState>)>()); ///< Of the engine at an address.
    view.readHeld(address, std::function<void(Result<group::HeldExperts>)>());
    {
        T::parseRouting(std::string_view())
        } -> std::same_as<Result<routing::RoutingConfig>>; ///< A configuration as operators write it.
};

} // namespace magnolia::ctl

#endif
