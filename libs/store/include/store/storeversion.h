#ifndef MAGNOLIA_STORE_STOREVERSION_H
#define MAGNOLIA_STORE_STOREVERSION_H

#include <cstdint>

namespace magnolia::store
{

// A store restored from a backup assigns versions again that it had assigned before; it counts its restores as its era. A combined version holds the era in
// its high bits, so that combined versions compare in order across restores.
constexpr unsigned VersionBits = 40; ///< Low bits of a combined version, which hold the version within the era.

/** @param version version within the era. */
constexpr std::uint64_t combinedVersion(std::uint64_t era, std::uint64_t version)
{
    return (era << VersionBits) + version;
}

constexpr std::uint64_t eraOf(std::uint64_t combinedVersion)
{
    return combinedVersion >> VersionBits;
}

constexpr std::uint64_t versionInEra(std::uint64_t combinedVersion)
{
    return combinedVersion & ((std::uint64_t(1) << VersionBits) - 1);
}

} // namespace magnolia::store

#endif
