#include "policy/endpointsubset.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace magnolia::policy
{

namespace
{

struct Member {
    std::size_t index = 0;
    Distance distance = Distance::SameDataCentre;
    std::uint64_t hash = 0;
};

bool comesFirst(const Member &left, const Member &right)
{
    if (left.distance != right.distance) {
        return left.distance < right.distance;
    }
    return left.hash > right.hash;
}

/** Marks the links that one model keeps. @param members of the model, in order of preference. */
void keep(std::span<const Member> members, std::size_t quota, double spareShare, std::vector<bool> &kept)
{
    const auto firstRemote = std::ranges::find_if(members, [](const Member &member) { return member.distance != Distance::SameDataCentre; });
    const std::size_t near = static_cast<std::size_t>(firstRemote - members.begin());
    const std::size_t remote = members.size() - near;
    // Spares elsewhere are held even where the own data centre has enough: when its endpoints fail together, there is
    // no time to dial others first.
    const std::size_t spares = std::min(remote, static_cast<std::size_t>(std::ceil(spareShare * static_cast<double>(quota))));
    const std::size_t nearKept = std::min(near, quota - std::min(quota, spares));
    const std::size_t remoteKept = std::min(remote, quota - nearKept);
    for (std::size_t i = 0; i < nearKept; ++i) {
        kept[members[i].index] = true;
    }
    for (std::size_t i = 0; i < remoteKept; ++i) {
        kept[members[near + i].index] = true;
    }
}

} // namespace

EndpointSubset::EndpointSubset(const Options &options) : options_(options) {}

std::vector<std::size_t> EndpointSubset::select(std::string_view entry, std::span<const SubsetEndpoint> endpoints) const
{
    std::vector<std::size_t> selected;
    if (endpoints.size() <= options_.target) {
        selected.resize(endpoints.size());
        std::iota(selected.begin(), selected.end(), std::size_t{0});
        return selected;
    }

    const std::uint64_t seed = XXH3_64bits(entry.data(), entry.size());
    std::map<std::uint32_t, std::vector<Member>> byService;
    std::size_t memberships = 0;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        const SubsetEndpoint &endpoint = endpoints[i];
        const std::uint64_t hash = XXH3_64bits_withSeed(&endpoint.endpoint, sizeof(endpoint.endpoint), seed);
        for (const std::uint32_t service : endpoint.services) {
            byService[service].push_back({.index = i, .distance = endpoint.distance, .hash = hash});
            ++memberships;
        }
    }

    std::vector<bool> kept(endpoints.size(), false);
    for (auto &[service, members] : byService) {
        std::ranges::sort(members, comesFirst);
        const double share = static_cast<double>(members.size()) / static_cast<double>(memberships);
        const auto proportional = static_cast<std::size_t>(std::lround(share * static_cast<double>(options_.target)));
        const std::size_t quota = std::min(members.size(), std::max(proportional, options_.minPerService));
        keep(members, quota, options_.spareShare, kept);
    }
    for (std::size_t i = 0; i < kept.size(); ++i) {
        if (kept[i]) {
            selected.push_back(i);
        }
    }
    return selected;
}

} // namespace magnolia::policy
