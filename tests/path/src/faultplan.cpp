#include "faultplan.h"

#include <pcg_random.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>

namespace magnolia::path
{

namespace
{

constexpr std::array<std::string_view, 17> Names = {
    "agent killed",
    "booking agent killed",
    "agent frozen",
    "booking agent frozen",
    "entry killed",
    "engine restarted",
    "engine stalled",
    "links silent",
    "endpoint connections silent",
    "platform connections silent",
    "table down",
    "table silent",
    "objects down",
    "table replies lost",
    "table writes dropped",
    "booking replies lost",
    "agent stopped",
};
constexpr std::uint32_t ShortestMs = 300;
constexpr std::uint32_t LongestMs = 3000;
constexpr std::uint32_t MemberNumbers = 60; ///< Divisible by each small number of members.

Fault drawFault(pcg32 &random)
{
    // One draw a statement: their order is part of what a seed means.
    const std::uint32_t kind = random(static_cast<std::uint32_t>(Names.size()));
    const std::uint32_t member = random(MemberNumbers);
    const std::uint32_t length = ShortestMs + random(LongestMs - ShortestMs);
    return {.kind = static_cast<FaultKind>(kind), .member = member, .length = Duration(length)};
}

} // namespace

std::string_view nameOf(FaultKind kind)
{
    return Names.at(static_cast<std::size_t>(kind));
}

std::string Fault::toString() const
{
    return fmt::format("{} (member {}, {} ms)", nameOf(kind), member, length.count());
}

std::vector<FaultRound> drawPlan(std::uint64_t seed, Duration length)
{
    pcg32 random(seed);
    std::vector<FaultRound> plan;
    Duration planned{0};
    while (planned < length) {
        FaultRound round;
        round.first = drawFault(random);
        do {
            round.second = drawFault(random);
        } while (round.second.kind == round.first.kind);
        plan.push_back(round);
        planned += std::max(round.first.length, round.second.length);
    }
    return plan;
}

} // namespace magnolia::path
