#ifndef MAGNOLIA_AGENT_PLATFORMPORTS_H
#define MAGNOLIA_AGENT_PLATFORMPORTS_H

#include "store/instancelist.h"
#include "store/tablestore.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace magnolia::agent
{

/** What an agent asks the platform for. Each call answers exactly once, never from within the call. */
struct PlatformPorts {
    std::function<void(const std::string &key, store::ReadCallback)> read;
    std::function<void(const std::string &key, std::string value, store::WriteCallback)> insert;
    std::function<void(const std::string &key, std::uint64_t revision, std::string value, store::WriteCallback)> replace;
    std::function<void(const std::string &prefix, store::RowsCallback)> list;
    std::function<void(const std::string &name, store::GetCallback)> readObject;
    std::function<void(store::InstancesCallback)> fetchInstances;
};

/** Binds the ports to a table, an object store and a list, which must outlive them. */
template<store::TableStore T, store::ObjectStore O, store::InstanceList L>
PlatformPorts portsOf(T &table, O &objects, L &instances)
{
    return {
        .read = [&table](const std::string &key, store::ReadCallback done) { table.read(key, std::move(done)); },
        .insert = [&table](const std::string &key, std::string value, store::WriteCallback done) { table.insert(key, std::move(value), std::move(done)); },
        .replace =
            [&table](const std::string &key, std::uint64_t revision, std::string value, store::WriteCallback done) {
                table.replace(key, revision, std::move(value), std::move(done));
            },
        .list = [&table](const std::string &prefix, store::RowsCallback done) { table.list(prefix, std::move(done)); },
        .readObject = [&objects](const std::string &name, store::GetCallback done) { objects.get(name, std::move(done)); },
        .fetchInstances = [&instances](store::InstancesCallback done) { instances.fetch(std::move(done)); },
    };
}

} // namespace magnolia::agent

#endif
