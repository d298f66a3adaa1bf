#include "planobstacle.h"

#include <array>
#include <cstddef>

namespace magnolia::group
{

namespace
{

// A group that has just formed has a whole map and demand within a second.
constexpr Duration LogDelay{3000};
constexpr Duration LogInterval{10000};

} // namespace

std::string_view toString(PlanObstacle obstacle)
{
    constexpr std::array<std::string_view, 5> Names{"missing ranks", "no whole map", "no demand", "even enough", "no gain"};
    return Names[static_cast<std::size_t>(obstacle)];
}

bool PlanMonitor::onObstacle(PlanObstacle obstacle, BootTime now)
{
    since_ = since_.value_or(now);
    const bool isNew = logged_ != obstacle;
    if (now < *since_ + LogDelay || (!isNew && now < loggedAt_ + LogInterval)) {
        return false;
    }
    // A reason that alternates with another is not logged each time.
    if (isNew && logged_ && now < loggedAt_ + LogDelay) {
        return false;
    }
    logged_ = obstacle;
    loggedAt_ = now;
    return true;
}

void PlanMonitor::onProgress()
{
    since_.reset();
    logged_.reset();
}

} // namespace magnolia::group
