#ifndef MAGNOLIA_AGENT_PLATFORMPORTS_H
#define MAGNOLIA_AGENT_PLATFORMPORTS_H

#include "platform/instancelist.h"
#include "platform/tablestore.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace magnolia::agent
{

/** What an agent asks the platform for. Each call answers exactly once, never from within the call. */
struct PlatformPorts {
    std::function<void(const std::string &key, platform::ReadCallback)> read;
    std::function<void(const std::string &key, std::string value, platform::WriteCallback)> insert;
    std::function<void(const std::string &key, std::uint64_t revision, std::string value, platform::WriteCallback)> replace;
    std::function<void(const std::string &prefix, platform::RowsCallback)> list;
    std::function<void(const std::string &name, platform::GetCallback)> readObject;
    std::function<void(platform::InstancesCallback)> fetchInstances;
};

/** Binds the ports to a table, an object store and a list, which must outlive them. */
template<platform::TableStore T, platform::ObjectStore O, platform::InstanceList L>
PlatformPorts portsOf(T &table, O &objects, L &instances)
{
    return {
        .read = [&table](const std::string &key, platform::ReadCallback done) { table.read(key, std::move(done)); },
        .insert = [&table](const std::string &key, std::string value, platform::WriteCallback done) { table.insert(key, std::move(value), std::move(done)); },
        .replace =
            [&table](const std::string &key, std::uint64_t revision, std::string value, platform::WriteCallback done) {
                table.replace(key, revision, std::move(value), std::move(done));
            },
        .list = [&table](const std::string &prefix, platform::RowsCallback done) { table.list(prefix, std::move(done)); },
        .readObject = [&objects](const std::string &name, platform::GetCallback done) { objects.get(name, std::move(done)); },
        .fetchInstances = [&instances](platform::InstancesCallback done) { instances.fetch(std::move(done)); },
    };
}

} // namespace magnolia::agent

#endif
