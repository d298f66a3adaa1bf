#ifndef MAGNOLIA_GROUP_MAPCOURIER_H
#define MAGNOLIA_GROUP_MAPCOURIER_H

#include "group/rankstate.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace magnolia::group
{

/** A map with its version. */
struct KnownMap {
    std::uint64_t version = 0; ///< 0: none.
    RankExperts map;
};

/**
 * Chooses the form in which an agent is told a map: whole, or as what differs from the one that it was told before.
 *
 * A whole map of 24 ranks and 16 sets has 5 kB, and telling 24 agents took an instance with a link of 8 Mbit/s 120 ms, more
 * than the ranks then took to copy; the difference has some hundred bytes. The coordinator encodes each form once for all
 * agents. A value type.
 *
 * @code
 * const MapCourier::Form form = courier.formFor(order, member.toldMap);
 * @endcode
 */
class MapCourier
{
public:
    struct Form {
        std::uint64_t base = 0; ///< Of the map that `map` differs from; 0: `map` is whole.
        std::string_view map; ///< CBOR, valid until the next order with another version.
    };

    /** @param toldMap version that the agent was last told on its present link; 0: none. */
    Form formFor(const RankOrder &order, std::uint64_t toldMap);

private:
    KnownMap last_;
    std::uint64_t previous_ = 0;
    std::string whole_;
    std::string change_; ///< From the previous map to the last.
};

} // namespace magnolia::group

#endif
