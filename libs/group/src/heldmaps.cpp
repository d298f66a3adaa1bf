#include "heldmaps.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace magnolia::group
{

void HeldMaps::clear()
{
    held_.clear();
    isNews_ = true;
}

bool HeldMaps::knows(std::uint32_t rank, std::uint64_t version) const
{
    const auto held = held_.find(rank);
    return held != held_.end() && held->second.version == version;
}

void HeldMaps::note(std::uint32_t rank, std::uint64_t version, SetExperts experts)
{
    held_[rank] = {.version = version, .experts = std::move(experts)};
    isNews_ = true;
}

bool HeldMaps::takeNews()
{
    return std::exchange(isNews_, false);
}

bool HeldMaps::isSameEverywhere() const
{
    const Held &first = held_.begin()->second;
    return std::all_of(held_.begin(), held_.end(), [&first](const auto &held) {
        return held.second.version == first.version && held.second.experts.size() == first.experts.size();
    });
}

std::optional<ExpertMap> HeldMaps::joined(std::size_t ranks) const
{
    if (ranks == 0 || held_.size() != ranks || !isSameEverywhere()) {
        return std::nullopt; // Some are missing, or a switch has not been seen everywhere yet.
    }
    const std::size_t sets = held_.begin()->second.experts.size();
    ExpertMap map(sets, std::vector<std::vector<std::uint16_t>>(ranks));
    for (const auto &[rank, held] : held_) {
        for (std::size_t set = 0; set < sets; ++set) {
            map[set].at(rank) = held.experts[set];
        }
    }
    return map;
}

std::optional<ExpertMap> HeldMaps::joinedWithout(std::uint32_t absent, std::size_t ranks, std::size_t experts) const
{
    if (held_.empty() || held_.size() + 1 != ranks || held_.contains(absent) || !isSameEverywhere()) {
        return std::nullopt;
    }
    const std::size_t sets = held_.begin()->second.experts.size();
    ExpertMap map(sets, std::vector<std::vector<std::uint16_t>>(ranks));
    for (std::size_t set = 0; set < sets; ++set) {
        std::vector<bool> isHeld(experts, false);
        for (const auto &[rank, held] : held_) {
            map[set].at(rank) = held.experts.at(set);
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
