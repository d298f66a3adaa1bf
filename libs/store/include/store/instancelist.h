#ifndef MAGNOLIA_STORE_INSTANCELIST_H
#define MAGNOLIA_STORE_INSTANCELIST_H

#include "base/failure.h"

#include <functional>
#include <string>
#include <vector>

namespace magnolia::store
{

/**
 * An instance in the platform's list.
 *
 * The list lags by up to half a minute, so it serves discovery, not liveness checks.
 */
struct Instance {
    std::string name;
    std::string role; ///< "entry" or "agent"
    std::string endpoint; ///< Name in the manifest of the endpoint that the agent serves; empty for an entry.
    std::string address; ///< "IP:PORT" where it accepts links.
    std::string dataCentre;
    bool leaving = false;
    std::string operatorsAddress{}; ///< "IP:PORT" of the operators' API; empty if the list does not hold it.
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
