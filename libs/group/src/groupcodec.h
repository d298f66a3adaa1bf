#ifndef MAGNOLIA_GROUP_GROUPCODEC_H
#define MAGNOLIA_GROUP_GROUPCODEC_H

#include "base/failure.h"
#include "group/rankstate.h"
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

wire::RankReport reportOf(const RankState &state);
RankState stateOf(const wire::RankReport &report);

wire::RankCommand commandOf(const RankOrder &order, std::string_view group, std::uint64_t term);
Result<RankOrder> orderOf(const wire::RankCommand &command);

} // namespace magnolia::group

#endif
