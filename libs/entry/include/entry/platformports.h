#ifndef MAGNOLIA_ENTRY_PLATFORMPORTS_H
#define MAGNOLIA_ENTRY_PLATFORMPORTS_H

#include "entry/manifestfeed.h"
#include "store/instancelist.h"
#include "store/tablestore.h"

#include <functional>
#include <memory>
#include <utility>

namespace magnolia::entry
{

/** What an entry asks the platform for; it never writes. */
struct PlatformPorts {
    /** Follows the manifest in the platform's stores and over the links that the callbacks lend. */
    std::function<std::unique_ptr<ManifestFeed>(event_base *, const manifest::ManifestFollower::Options &, ManifestFeed::Callbacks)> follow;

    /** Answers exactly once, never from within the call. */
    std::function<void(store::InstancesCallback)> fetchInstances;
};

/** Binds the ports to a table, an object store and a list, which must outlive them and the entry. */
template<store::TableStore Table, store::ObjectStore Objects, store::InstanceList Instances>
PlatformPorts portsOf(Table &table, Objects &objects, Instances &instances)
{
    return {
        .follow = [&table, &objects](event_base *loop, const manifest::ManifestFollower::Options &options, ManifestFeed::Callbacks callbacks)
            -> std::unique_ptr<ManifestFeed> { return std::make_unique<StoreFeed<Table, Objects>>(loop, table, objects, options, std::move(callbacks)); },
        .fetchInstances = [&instances](store::InstancesCallback done) { instances.fetch(std::move(done)); },
    };
}

} // namespace magnolia::entry

#endif
