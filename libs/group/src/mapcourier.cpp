#include "mapcourier.h"

#include "mapcodec.h"

#include <utility>

namespace magnolia::group
{

void MapCourier::setBase(std::uint64_t version, ExpertMap map)
{
    base_ = version;
    baseMap_ = std::move(map);
    version_ = 0;
}

MapCourier::Form MapCourier::formFor(const RankOrder &order, std::uint64_t knownMap)
{
    if (order.version != version_) {
        version_ = order.version;
        whole_.clear();
        change_.clear();
    }
    if (base_ > 0 && knownMap == base_) {
        if (change_.empty()) {
            change_ = encodeMapChange(baseMap_, *order.map);
        }
        if (!change_.empty()) {
            return {.base = base_, .map = change_};
        }
    }
    if (whole_.empty()) {
        whole_ = encodeMap(*order.map);
    }
    return {.base = 0, .map = whole_};
}

} // namespace magnolia::group
