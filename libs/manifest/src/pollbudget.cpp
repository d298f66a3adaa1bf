#include "manifest/pollbudget.h"

#include <algorithm>

namespace magnolia::manifest
{

namespace
{

constexpr std::size_t MillisecondsPerSecond = 1000;

// More daemons than any list can name; keeps the product below from overflowing.
constexpr std::size_t MostDaemons = 1'000'000'000;

} // namespace

Duration pollIntervalFor(std::size_t daemons, const PollBudget &budget)
{
    if (daemons == 0) {
        return budget.most;
    }
    const std::size_t readsPerSecond = std::max<std::size_t>(budget.readsPerSecond, 1);
    const std::size_t share = std::min(daemons, MostDaemons) * MillisecondsPerSecond / readsPerSecond;
    // The operators' setting goes before the floor.
    return std::min(budget.most, std::max(budget.least, Duration(static_cast<Duration::rep>(share))));
}

} // namespace magnolia::manifest
