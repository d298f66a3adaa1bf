#ifndef MAGNOLIA_GROUP_MAPENCODER_H
#define MAGNOLIA_GROUP_MAPENCODER_H

#include "group/rankstate.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace magnolia::group
{

/**
 * Chooses the form in which an agent is told a map: whole, or as what differs from the map in use, if the agent knows that.
 *
 * The coordinator tells each agent of its group over one link, which takes longer than the ranks then take to copy if each is told
 * the whole map. What an agent knows it says itself with each report: what was sent to it may be lost, and an agent or a coordinator that
 * has just started begins with the right form. Each form is encoded once for all agents. A value type.
 *
 * @code
 * courier.setBase(version, map); // the map in use
 * const MapCourier::Form form = courier.formFor(order, report.knownMap);
 * @endcode
 */
class MapEncoder
{
public:
    struct Encoding {
        std::uint64_t base = 0; ///< Of the map that `map` differs from; 0: `map` is whole.
        std::string_view map; ///< As of mapcodec.h; valid until the next order with another version.
    };

    /** @param version of the map in use; 0: what it is made of is not known to any agent. */
    void setBase(std::uint64_t version, ExpertMap map);

    /** @param knownMap version of the map that the agent says it knows; 0: none. */
    Encoding encode(const RankOrder &order, std::uint64_t knownMap);

private:
    std::uint64_t baseVersion_ = 0;
    ExpertMap baseMap_;
    std::uint64_t encodedVersion_ = 0; ///< Of the order that the forms are of.
    std::string whole_; ///< Empty until an agent needs it.
    std::string delta_; ///< The same.
};

} // namespace magnolia::group

#endif
