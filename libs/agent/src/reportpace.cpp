#include "agent/reportpace.h"

#include <algorithm>
#include <random>

namespace magnolia::agent
{

Duration ReportPace::next(std::size_t links, std::size_t reportBytes, Random &random) const
{
    constexpr std::size_t MillisecondsPerSecond = 1000;
    const auto affordable = static_cast<std::int64_t>(links * reportBytes * MillisecondsPerSecond / options_.bytesPerSecond);
    const std::int64_t mean = std::max(options_.interval.count(), affordable);
    std::uniform_int_distribution<std::int64_t> spread(mean * 4 / 5, mean * 6 / 5);
    return Duration(spread(random));
}

} // namespace magnolia::agent
