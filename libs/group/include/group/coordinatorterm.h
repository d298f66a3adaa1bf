#ifndef MAGNOLIA_GROUP_COORDINATORTERM_H
#define MAGNOLIA_GROUP_COORDINATORTERM_H

#include "group/engineport.h"

#include <cstdint>
#include <string>

namespace magnolia::group
{

/**
 * @param read the row as the candidate read it. @param followed the highest term that it has followed.
 * @return the row to write in its place: its term is higher than both, and than all of the store's eras before.
 */
CoordinatorRow nextCoordinatorRow(const CoordinatorRow &read, std::uint64_t followed, const std::string &holder);

/**
 * @param writtenVersion of a write that was made under the condition of the row's version.
 * @return false if the store has returned from an older copy since the row was read: that version may have been given out again.
 */
bool isInSameStoreEra(const CoordinatorRow &read, std::uint64_t writtenVersion);

} // namespace magnolia::group

#endif
