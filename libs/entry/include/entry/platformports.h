#ifndef MAGNOLIA_ENTRY_PLATFORMPORTS_H
#define MAGNOLIA_ENTRY_PLATFORMPORTS_H

#include "manifest/headrow.h"
#include "platform/instancelist.h"
#include "platform/tablestore.h"

#include <functional>
#include <string>

namespace magnolia::entry
{

/** What an entry asks the platform for; it never writes. Each call answers exactly once, never from within the call. */
struct PlatformPorts {
    std::function<void(platform::ReadCallback)> readHeadRow;
    std::function<void(const std::string &name, platform::GetCallback)> readObject;
    std::function<void(platform::InstancesCallback)> fetchInstances;
};

/** Binds the ports to a table, an object store and a list, which must outlive them. */
template<platform::TableStore T, platform::ObjectStore O, platform::InstanceList L>
PlatformPorts portsOf(T &table, O &objects, L &instances)
{
    return {
        .readHeadRow = [&table](platform::ReadCallback done) { table.read(std::string(manifest::HeadRowKey), std::move(done)); },
        .readObject = [&objects](const std::string &name, platform::GetCallback done) { objects.get(name, std::move(done)); },
        .fetchInstances = [&instances](platform::InstancesCallback done) { instances.fetch(std::move(done)); },
    };
}

} // namespace magnolia::entry

#endif
