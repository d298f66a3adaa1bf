#include "policy/backoff.h"

#include <algorithm>
#include <random>

namespace magnolia::policy
{

namespace
{

constexpr std::uint32_t MaxDoublings = 30;

} // namespace

Backoff::Backoff(const Options &options) : options_(options) {}

Duration Backoff::next(Random &random)
{
    // Full jitter: clients that failed together would otherwise come back together, wave after wave.
    const std::int64_t base = std::max<std::int64_t>(options_.base.count(), 1);
    const std::int64_t limit = std::max(options_.limit.count(), base);
    const std::int64_t bound = std::min(limit, base << std::min(attempts_, MaxDoublings));
    ++attempts_;
    std::uniform_int_distribution<std::int64_t> delay(0, bound);
    return Duration(delay(random));
}

void Backoff::reset()
{
    attempts_ = 0;
}

std::uint32_t Backoff::attempts() const
{
    return attempts_;
}

} // namespace magnolia::policy
