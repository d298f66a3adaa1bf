#ifndef MAGNOLIA_GROUP_KNOWNMAPS_H
#define MAGNOLIA_GROUP_KNOWNMAPS_H

#include "group/rankstate.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace magnolia::group
{

/**
 * The maps that an agent was told lately, whole: what a further one may be told as a change of.
 *
 * Keeps the one in use and the one told last, whatever came between: a change that is given up leaves the map in use as the base of the
 * next. Versions are never used twice, so a map that is kept under one is the same at every agent. A value type.
 *
 * @code
 * known.tell(order.version, order.map, state.map);
 * if (const RankExperts *base = known.find(command.mapBase)) { map = applyMapChange(*base, command.map); }
 * @endcode
 */
class KnownMaps
{
public:
    /** @param inUse version of the map in use, which is kept. */
    void add(std::uint64_t version, SharedMap map, std::uint64_t inUse)
    {
        std::erase_if(maps_, [version, inUse](const Known &known) { return known.version == version || known.version != inUse; });
        maps_.push_back({.version = version, .map = std::move(map)});
    }

    /** @return nothing if it was not told. Valid until the next call of tell(). */
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

    std::vector<Known> maps_; ///< Two at most.
};

} // namespace magnolia::group

#endif
