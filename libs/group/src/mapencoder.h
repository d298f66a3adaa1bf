#ifndef MAGNOLIA_GROUP_MAPENCODER_H
#define MAGNOLIA_GROUP_MAPENCODER_H

#include "group/rankstate.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace magnolia::group
{

/**
 * Encodes the map of a prepare order for an agent: in full, or as a delta to the map in use if the agent has that map.
 *
 * All orders share the network interface of the coordinator's instance, and sending full maps to all agents would take longer than copying the experts. Each
 * agent reports which map it has, since a message sent to it may be lost and either side may have restarted. Each encoding is computed once for all agents. A
 * value type.
 *
 * @code
 * encoder.setBase(version, map); // the map in use
 * const MapEncoder::Encoding encoding = encoder.encode(order, report.knownMap);
 * @endcode
 */
class MapEncoder
{
public:
    struct Encoding {
        std::uint64_t base = 0; ///< Version of the map that the delta in `map` applies to; 0: `map` is a full map.
        std::string_view map; ///< Encoded as in mapcodec.h; valid until an order with another version is encoded.
    };

    /** Sets the map in use. @param version its version; 0: there is no base for deltas. */
    void setBase(std::uint64_t version, ExpertMap map);

    /** @param knownMap version of the map in use if the agent has reported that it has that map; otherwise 0. */
    Encoding encode(const RankOrder &order, std::uint64_t knownMap);

private:
    std::uint64_t baseVersion_ = 0;
    ExpertMap baseMap_;
    std::uint64_t encodedVersion_ = 0; ///< Version of the order that the cached encodings belong to.
    std::string fullMap_; ///< Full encoding; empty until it is needed.
    std::string delta_; ///< Delta encoding; empty until it is needed.
};

} // namespace magnolia::group

#endif
