#include "routing/turnholders.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace magnolia::routing
{

namespace
{

/** How an endpoint ranks an entry; equal hashes are ordered by name, so that all entries order them alike. */
using Rank = std::pair<std::uint64_t, std::string_view>;

Rank rankOf(std::string_view endpoint, std::string_view instance)
{
    const std::uint64_t seed = XXH3_64bits(endpoint.data(), endpoint.size());
    return {XXH3_64bits_withSeed(instance.data(), instance.size(), seed), instance};
}

} // namespace

void TurnHolders::setInstances(std::string own, std::vector<std::string> others)
{
    std::sort(others.begin(), others.end());
    others.erase(std::unique(others.begin(), others.end()), others.end());
    std::erase(others, own);
    if (generation_ > 0 && own == own_ && others == others_) {
        return;
    }
    own_ = std::move(own);
    others_ = std::move(others);
    ++generation_;
}

TurnShare TurnHolders::shareOf(std::string_view endpoint, std::size_t maxHolders) const
{
    if (generation_ == 0) {
        return {};
    }
    const Rank own = rankOf(endpoint, own_);
    const auto ahead = std::count_if(others_.begin(), others_.end(), [&](const std::string &other) { return rankOf(endpoint, other) > own; });
    return {.isHolder = static_cast<std::size_t>(ahead) < maxHolders, .holders = std::min(maxHolders, others_.size() + 1), .rank = own.first};
}

} // namespace magnolia::routing
