#ifndef MAGNOLIA_GROUP_COORDINATORTERM_H
#define MAGNOLIA_GROUP_COORDINATORTERM_H

#include "group/engineport.h"

#include <cstdint>
#include <string>

namespace magnolia::group
{

/**
 * @param read the row as the candidate read it. @param followed the highest term that the candidate has followed.
 * @return the row to write in its place. Its term is higher than both and than every term of the store's earlier eras.
 */
CoordinatorRow nextCoordinatorRow(const CoordinatorRow &read, std::uint64_t followed, const std::string &holder);

/**
 * @param writtenVersion version returned by a write that was conditional on the version of the row.
 * @return false if the store was restored from an older copy after the row was read, since the row's version may then have been reused.
 */
bool isInSameStoreEra(const CoordinatorRow &read, std::uint64_t writtenVersion);

} // namespace magnolia::group

#endif
