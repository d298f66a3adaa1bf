#include "agent/rolloutpace.h"

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <utility>

namespace magnolia::agent
{

namespace
{

MonoTime spreadAround(MonoTime now, Duration mean, Random &random)
{
    std::uniform_int_distribution<std::int64_t> pause(mean.count() / 2, mean.count() * 3 / 2);
    return now + Duration(pause(random));
}

/** Place in the order of a model; the name settles equal hashes. */
std::pair<std::uint64_t, std::string_view> placeOf(std::string_view model, std::string_view endpoint)
{
    const std::uint64_t seed = XXH3_64bits(model.data(), model.size());
    return {XXH3_64bits_withSeed(endpoint.data(), endpoint.size(), seed), endpoint};
}

} // namespace

void RolloutPace::changeSeen(MonoTime now, Random &random)
{
    promptUntil_ = now + options_.promptTime;
    nextLook_ = std::min(nextLook_, spreadAround(now, options_.promptLook, random));
}

void RolloutPace::lookedInVain(MonoTime now, Random &random)
{
    nextLook_ = spreadAround(now, isPrompt(now) ? options_.promptLook : options_.waitingLook, random);
}

bool isNextToMove(std::string_view model, std::string_view endpoint, const std::set<std::string> &waitingPeers, std::uint32_t maxMoving)
{
    const auto own = placeOf(model, endpoint);
    const auto ahead = std::count_if(waitingPeers.begin(), waitingPeers.end(), [&](const std::string &peer) { return placeOf(model, peer) < own; });
    return ahead <= static_cast<std::ptrdiff_t>(maxMoving);
}

} // namespace magnolia::agent
