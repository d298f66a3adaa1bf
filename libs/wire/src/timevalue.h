#ifndef MAGNOLIA_WIRE_TIMEVALUE_H
#define MAGNOLIA_WIRE_TIMEVALUE_H

#include <sys/time.h>

#include <algorithm>
#include <chrono>

namespace magnolia::wire
{

/** @return the duration for libevent; at least zero, at most an hour, after which a timer finds nothing to do and is set again. */
template<typename Rep, typename Period>
timeval toTimeValue(std::chrono::duration<Rep, Period> duration)
{
    using std::chrono::microseconds;
    constexpr microseconds Longest = std::chrono::hours(1);
    // Rounded up: a timer that fires a little early would find nothing to do, and spin until it is time.
    const microseconds clamped = duration >= Longest ? Longest : std::max(microseconds::zero(), std::chrono::ceil<microseconds>(duration));
    const auto seconds = std::chrono::floor<std::chrono::seconds>(clamped);
    return {.tv_sec = seconds.count(), .tv_usec = (clamped - seconds).count()};
}

} // namespace magnolia::wire

#endif
