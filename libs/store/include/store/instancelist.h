#ifndef MAGNOLIA_STORE_INSTANCELIST_H
#define MAGNOLIA_STORE_INSTANCELIST_H

#include "base/failure.h"

#include <functional>
#include <string>
#include <vector>

namespace magnolia::store
{

/**
 * An instance as the platform's list shows it; the list lags by up to half a minute, so this is discovery, not liveness.
 */
struct Instance {
    std::string name;
    std::string role; ///< "entry" or "agent"
    std::string endpoint; ///< The manifest's name of the endpoint that the agent stands beside; empty for an entry.
    std::string address; ///< "IP:PORT" where it accepts links.
    std::string dataCentre;
    bool leaving = false;
    std::string operatorsAddress{}; ///< "IP:PORT" of its operators' address; empty if the list does not tell.
};

using InstancesCallback = std::function<void(Result<std::vector<Instance>>)>;

/** The platform's list of live and leaving instances. */
template<typename T>
concept InstanceList = requires(T &list, InstancesCallback onInstances)
{
    list.fetch(onInstances);
};

} // namespace magnolia::store

#endif
