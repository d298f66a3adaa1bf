#include "group/coordinatorterm.h"

#include "store/storeversion.h"

#include <algorithm>

namespace magnolia::group
{

namespace
{

// Bits for the coordinators of one era. Together with the era and the versions of a term, the result stays in the range of integers that a JSON number
// represents exactly.
constexpr unsigned TermBits = 24;

} // namespace

CoordinatorRow nextCoordinatorRow(const CoordinatorRow &read, std::uint64_t followed, const std::string &holder)
{
    const std::uint64_t firstOfEra = store::eraOf(read.version) << TermBits;
    return {.term = std::max({read.term + 1, followed + 1, firstOfEra}), .holder = holder, .version = 0};
}

bool isInSameStoreEra(const CoordinatorRow &read, std::uint64_t writtenVersion)
{
    return store::eraOf(writtenVersion) == store::eraOf(read.version);
}

} // namespace magnolia::group
