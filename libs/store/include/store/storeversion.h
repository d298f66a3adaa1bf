#ifndef MAGNOLIA_STORE_STOREVERSION_H
#define MAGNOLIA_STORE_STOREVERSION_H

#include <cstdint>

namespace magnolia::store
{

// A store that returns from an older copy gives versions out again, and counts such returns as its era. One number of both compares across them.
constexpr unsigned VersionBits = 40;

/** @param version in that era. */
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
