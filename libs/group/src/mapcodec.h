#ifndef MAGNOLIA_GROUP_MAPCODEC_H
#define MAGNOLIA_GROUP_MAPCODEC_H

#include "base/failure.h"
#include "group/rankstate.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/** Encoding of expert maps and expert counts in messages between agents, as packed numbers (PackedWriter). */
namespace magnolia::group
{

using ExpertsBySet = std::vector<std::vector<std::uint16_t>>; ///< The experts of one rank, by set.

std::string encodeMap(const ExpertMap &map);
Result<ExpertMap> decodeMap(std::string_view packed);

/** Encodes the difference between two maps of the same shape. @return an empty string if their shapes differ. */
std::string encodeMapDelta(const ExpertMap &base, const ExpertMap &map);

/** @return the resulting map, or a failure if the delta does not fit the base. */
Result<ExpertMap> applyMapDelta(ExpertMap base, std::string_view packed);

std::string encodeExpertsBySet(const ExpertsBySet &experts);
Result<ExpertsBySet> decodeExpertsBySet(std::string_view packed);

/** Large counts are rounded to a multiple of a common unit so that each takes a few bits: only their proportions matter. */
std::string encodeCounts(const std::vector<std::uint64_t> &counts);
Result<std::vector<std::uint64_t>> decodeCounts(std::string_view packed);

} // namespace magnolia::group

#endif
