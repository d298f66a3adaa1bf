#include "mapcourier.h"

#include "groupcodec.h"

namespace magnolia::group
{

MapCourier::Form MapCourier::formFor(const RankOrder &order, std::uint64_t toldMap)
{
    if (order.version != last_.version) {
        previous_ = last_.version;
        change_ = previous_ > 0 ? encodeMapChange(last_.map, order.map) : std::string();
        whole_ = encodeMap(order.map);
        last_ = {.version = order.version, .map = order.map};
    }
    const bool knowsPrevious = toldMap == previous_ && !change_.empty();
    return knowsPrevious ? Form{.base = previous_, .map = change_} : Form{.base = 0, .map = whole_};
}

} // namespace magnolia::group
