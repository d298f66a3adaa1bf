#ifndef MAGNOLIA_GROUP_KNOWNMAPS_H
#define MAGNOLIA_GROUP_KNOWNMAPS_H

#include "group/rankstate.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace magnolia::group
{

/**
 * The maps that an agent has received recently, which serve as a base for deltas.
 *
 * Keeps the map in use and the last one received: after an abandoned switch, the map in use is still the base of the next delta. Versions are never reused, so
 * a version denotes the same map on every agent. A value type.
 *
 * @code
 * knownMaps.add(order.version, order.map, state.mapVersion);
 * if (const ExpertMap *base = knownMaps.find(command.mapBase)) { map = applyMapDelta(*base, command.map); }
 * @endcode
 */
class KnownMaps
{
public:
    /** Adds a map. @param inUse version of the map in use, which is kept. */
    void add(std::uint64_t version, SharedMap map, std::uint64_t inUse)
    {
        std::erase_if(maps_, [version, inUse](const Known &known) { return known.version == version || known.version != inUse; });
        maps_.push_back({.version = version, .map = std::move(map)});
    }

    /** @return null if the map is not known. Valid until the next call of add(). */
    const ExpertMap *find(std::uint64_t version) const
    {
        for (const Known &known : maps_) {
            if (known.version == version) {
                return &*known.map;
            }
        }
        return nullptr;
    }

private:
    struct Known {
        std::uint64_t version = 0;
        SharedMap map;
    };

    std::vector<Known> maps_; ///< At most two.
};

} // namespace magnolia::group

#endif
