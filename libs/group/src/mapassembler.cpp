#include "mapassembler.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace magnolia::group
{

void MapAssembler::clear()
{
    rankParts_.clear();
    isChanged_ = true;
}

bool MapAssembler::hasRank(std::uint32_t rank, std::uint64_t version) const
{
    const auto part = rankParts_.find(rank);
    return part != rankParts_.end() && part->second.version == version;
}

bool MapAssembler::setRank(std::uint32_t rank, std::uint64_t version, ExpertsBySet experts)
{
    const auto isKnown = [this](std::uint16_t expert) { return expert < expertsPerSet_; };
    const auto isValid = [&isKnown](const auto &set) { return std::all_of(set.begin(), set.end(), isKnown); };
    if (!std::all_of(experts.begin(), experts.end(), isValid)) {
        return false;
    }
    rankParts_[rank] = {.version = version, .experts = std::move(experts)};
    isChanged_ = true;
    return true;
}

bool MapAssembler::takeChanged()
{
    return std::exchange(isChanged_, false);
}

bool MapAssembler::isSameVersionEverywhere() const
{
    const RankPart &first = rankParts_.begin()->second;
    return std::all_of(rankParts_.begin(), rankParts_.end(), [&first](const auto &part) {
        return part.second.version == first.version && part.second.experts.size() == first.experts.size();
    });
}

bool MapAssembler::hasOnlyRanksBelow(std::size_t ranks) const
{
    return rankParts_.empty() || rankParts_.rbegin()->first < ranks;
}

std::optional<ExpertMap> MapAssembler::assemble(std::size_t ranks) const
{
    if (ranks == 0 || rankParts_.size() != ranks || !hasOnlyRanksBelow(ranks) || !isSameVersionEverywhere()) {
        return std::nullopt; // Ranks are missing, or not all of them have reported after a switch.
    }
    const std::size_t sets = rankParts_.begin()->second.experts.size();
    ExpertMap map(sets, std::vector<std::vector<std::uint16_t>>(ranks));
    for (const auto &[rank, part] : rankParts_) {
        for (std::size_t set = 0; set < sets; ++set) {
            map[set].at(rank) = part.experts[set];
        }
    }
    return map;
}

std::optional<ExpertMap> MapAssembler::assembleWithout(std::uint32_t absent, std::size_t ranks) const
{
    const bool isComplete = rankParts_.size() + 1 == ranks && !rankParts_.contains(absent) && hasOnlyRanksBelow(ranks);
    if (rankParts_.empty() || !isComplete || !isSameVersionEverywhere()) {
        return std::nullopt;
    }
    const std::size_t sets = rankParts_.begin()->second.experts.size();
    ExpertMap map(sets, std::vector<std::vector<std::uint16_t>>(ranks));
    for (std::size_t set = 0; set < sets; ++set) {
        std::vector<bool> isHeld(expertsPerSet_, false);
        for (const auto &[rank, part] : rankParts_) {
            map[set].at(rank) = part.experts.at(set);
            for (const std::uint16_t expert : map[set][rank]) {
                isHeld.at(expert) = true;
            }
        }
        for (std::size_t expert = 0; expert < expertsPerSet_; ++expert) {
            if (!isHeld[expert]) {
                map[set].at(absent).push_back(static_cast<std::uint16_t>(expert));
            }
        }
    }
    return map;
}

} // namespace magnolia::group
