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

/** Without the order's map, for which there are two forms. */
wire::RankCommand toCommand(const RankOrder &order, std::string_view group, std::uint64_t term);

/** @param known maps that were told, for a command that tells only what differs from one of them. */
Result<RankOrder> toOrder(const wire::RankCommand &command, const KnownMaps &knownMaps);

} // namespace magnolia::group

#endif
