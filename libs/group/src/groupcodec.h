#ifndef MAGNOLIA_GROUP_GROUPCODEC_H
#define MAGNOLIA_GROUP_GROUPCODEC_H

#include "base/failure.h"
#include "group/armedstateprover.h"
#include "group/rankstate.h"
#include "knownmaps.h"
#include "wire/messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::group
{

wire::RankReport toReport(const RankState &state);
RankState toRankState(const wire::RankReport &report);
void writeSwitchRecord(wire::RankReport &report, const SwitchRecord &record);
SwitchRecord toSwitchRecord(const wire::RankReport &report);

/** Converts all but the order's map, which MapEncoder encodes. */
wire::RankCommand toCommand(const RankOrder &order, std::string_view group, std::uint64_t term);

/** @param knownMaps maps received before, needed to decode a command that carries a delta to one of them. */
Result<RankOrder> toOrder(const wire::RankCommand &command, const KnownMaps &knownMaps);

} // namespace magnolia::group

#endif
