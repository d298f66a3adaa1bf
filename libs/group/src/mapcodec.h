#ifndef MAGNOLIA_GROUP_MAPCODEC_H
#define MAGNOLIA_GROUP_MAPCODEC_H

#include "base/failure.h"
#include "group/rankstate.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/** Maps of experts, and what is counted of them, as they travel between agents: packed numbers (PackedWriter). */
namespace magnolia::group
{

using ExpertsBySet = std::vector<std::vector<std::uint16_t>>; ///< Of one rank, by set.

std::string encodeMap(const ExpertMap &map);
Result<ExpertMap> decodeMap(std::string_view packed);

/** What leads from one map to another of the same shape, place by place; empty if they have different shapes. */
std::string encodeMapDelta(const ExpertMap &base, const ExpertMap &map);

/** @return the changed map, or a failure if the change does not fit the base. */
Result<ExpertMap> applyMapDelta(ExpertMap base, std::string_view packed);

std::string encodeExpertsBySet(const ExpertsBySet &experts);
Result<ExpertsBySet> decodeExpertsBySet(std::string_view packed);

/** Counts that are large are rounded, to a multiple that leaves a few bits of each: what matters is how they compare. */
std::string encodeCounts(const std::vector<std::uint64_t> &counts);
Result<std::vector<std::uint64_t>> decodeCounts(std::string_view packed);

} // namespace magnolia::group

#endif
