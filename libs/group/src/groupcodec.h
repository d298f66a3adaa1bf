#ifndef MAGNOLIA_GROUP_GROUPCODEC_H
#define MAGNOLIA_GROUP_GROUPCODEC_H

#include "base/failure.h"
#include "group/rankstate.h"
#include "group/rankwitness.h"
#include "mapcourier.h"
#include "wire/messages.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::group
{

/** Lists of numbers as they travel in our messages. */
std::string encodeCounts(const std::vector<std::uint64_t> &counts);
Result<std::vector<std::uint64_t>> decodeCounts(std::string_view cbor);

using SetExperts = std::vector<std::vector<std::uint16_t>>; ///< Of one rank, by set.
std::string encodeSetExperts(const SetExperts &experts);
Result<SetExperts> decodeSetExperts(std::string_view cbor);

std::string encodeMap(const RankExperts &map);

/** What leads from one map to another of the same shape; empty if they have different shapes. */
std::string encodeMapChange(const RankExperts &base, const RankExperts &map);

wire::RankReport reportOf(const RankState &state);
RankState stateOf(const wire::RankReport &report);
void putMemory(wire::RankReport &report, const RankMemory &memory);
RankMemory memoryOf(const wire::RankReport &report);

/** Without the order's map, for which there are two forms. */
wire::RankCommand commandOf(const RankOrder &order, std::string_view group, std::uint64_t term);

/** @param known the map that was last told, for a command that tells only what differs from it. */
Result<RankOrder> orderOf(const wire::RankCommand &command, const KnownMap &known);

} // namespace magnolia::group

#endif
