#include "routing/coldrate.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

// The rest is for requests that are delayed on their way and arrive together with later ones.
constexpr double UsedFraction = 0.9;

// Holders send at evenly spaced times, so each adds little more than one request to what its rate allows in a second. Half of the room above the rate is for
// these, the other half for entries whose lists of instances differ.
constexpr double RoomForHolders = 0.5;

// More holders would each have a turn so seldom that it often finds no request.
constexpr double MaxHolders = 16;

// A bound that allows hardly anything still lets an endpoint become warm with an occasional request.
constexpr double MinPerSecond = 0.1;

} // namespace

ColdRate coldRateOf(const ColdStart &start, const ColdBound &bound)
{
    const double inOneSecond = start.perSecond * bound.overshoot + bound.slack;
    const double perSecond = std::max(std::min(start.perSecond * UsedFraction, inOneSecond - 1), MinPerSecond);
    const double holders = std::clamp((inOneSecond - perSecond) * RoomForHolders, 1.0, MaxHolders);
    return {.perSecond = perSecond, .maxHolders = static_cast<std::size_t>(holders)};
}

} // namespace magnolia::routing
