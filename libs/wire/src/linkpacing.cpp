#include "wire/linkpacing.h"

#include <algorithm>
#include <cstdint>

namespace magnolia::wire
{

void LinkPacing::noteOpened()
{
    ++links_;
}

void LinkPacing::noteClosed()
{
    --links_;
}

namespace
{

// Reports come a little sooner than heartbeats are due, so that they take their place.
constexpr std::size_t MarginPercent = 118;

} // namespace

Duration LinkPacing::spacing() const
{
    constexpr std::size_t MillisecondsPerSecond = 1000;
    const std::size_t bytes = links_ * ExchangeBytes * MarginPercent / 100;
    const std::size_t affordable = bytes * MillisecondsPerSecond / std::max<std::size_t>(options_.bytesPerSecond, 1);
    return std::min(Duration(static_cast<std::int64_t>(affordable)), LongestSpacing);
}

} // namespace magnolia::wire
