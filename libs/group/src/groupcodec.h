#ifndef MAGNOLIA_GROUP_GROUPCODEC_H
#define MAGNOLIA_GROUP_GROUPCODEC_H

#include "base/failure.h"
#include "group/rankstate.h"
#include "group/rankwitness.h"
#include "knownmaps.h"
#include "wire/messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::group
{

wire::RankReport reportOf(const RankState &state);
RankState stateOf(const wire::RankReport &report);
void putMemory(wire::RankReport &report, const RankMemory &memory);
RankMemory memoryOf(const wire::RankReport &report);

/** Without the order's map, for which there are two forms. */
wire::RankCommand commandOf(const RankOrder &order, std::string_view group, std::uint64_t term);

/** @param known maps that were told, for a command that tells only what differs from one of them. */
Result<RankOrder> orderOf(const wire::RankCommand &command, const KnownMaps &known);

} // namespace magnolia::group

#endif
