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

void MapAssembler::setRank(std::uint32_t rank, std::uint64_t version, ExpertsBySet experts)
{
    rankParts_[rank] = {.version = version, .experts = std::move(experts)};
    isChanged_ = true;
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

std::optional<ExpertMap> MapAssembler::assemble(std::size_t ranks) const
{
    if (ranks == 0 || rankParts_.size() != ranks || !isSameVersionEverywhere()) {
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

std::optional<ExpertMap> MapAssembler::assembleWithout(std::uint32_t absent, std::size_t ranks, std::size_t experts) const
{
    if (rankParts_.empty() || rankParts_.size() + 1 != ranks || rankParts_.contains(absent) || !isSameVersionEverywhere()) {
        return std::nullopt;
    }
    const std::size_t sets = rankParts_.begin()->second.experts.size();
    ExpertMap map(sets, std::vector<std::vector<std::uint16_t>>(ranks));
    for (std::size_t set = 0; set < sets; ++set) {
        std::vector<bool> isHeld(experts, false);
        for (const auto &[rank, part] : rankParts_) {
            map[set].at(rank) = part.experts.at(set);
            for (const std::uint16_t expert : map[set][rank]) {
                isHeld.at(expert) = true;
            }
        }
        for (std::size_t expert = 0; expert < experts; ++expert) {
            if (!isHeld[expert]) {
                map[set].at(absent).push_back(static_cast<std::uint16_t>(expert));
            }
        }
    }
    return map;
}

} // namespace magnolia::group
