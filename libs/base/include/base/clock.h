#ifndef MAGNOLIA_BASE_CLOCK_H
#define MAGNOLIA_BASE_CLOCK_H

#include <chrono>
#include <concepts>

namespace magnolia
{

/**
 * The only clock that decisions see. Wall clocks are never compared between instances: deadlines travel as the duration
 * left, and each hop adds that to its own monotonic clock.
 */
using MonoClock = std::chrono::steady_clock;
using MonoTime = MonoClock::time_point;
using Duration = std::chrono::milliseconds;

/** Anything that tells the monotonic time; tests inject one that they move by hand. */
template<typename T>
concept ClockSource = requires(const T &clock)
{
    {
        clock.now()
        } -> std::convertible_to<MonoTime>;
};

/** The clock that daemons use. */
struct SystemClock {
    MonoTime now() const
    {
        return MonoClock::now();
    }
};

} // namespace magnolia

#endif
