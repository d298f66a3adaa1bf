#include "mapencoder.h"

#include "mapcodec.h"

#include <utility>

namespace magnolia::group
{

void MapEncoder::setBase(std::uint64_t version, ExpertMap map)
{
    baseVersion_ = version;
    baseMap_ = std::move(map);
    encodedVersion_ = 0;
}

MapEncoder::Encoding MapEncoder::encode(const RankOrder &order, std::uint64_t knownMap)
{
    if (order.version != encodedVersion_) {
        encodedVersion_ = order.version;
        fullMap_.clear();
        delta_.clear();
    }
    if (baseVersion_ > 0 && knownMap == baseVersion_) {
        if (delta_.empty()) {
            delta_ = encodeMapDelta(baseMap_, *order.map);
        }
        if (!delta_.empty()) {
            return {.base = baseVersion_, .map = delta_};
        }
    }
    if (fullMap_.empty()) {
        fullMap_ = encodeMap(*order.map);
    }
    return {.base = 0, .map = fullMap_};
}

} // namespace magnolia::group
