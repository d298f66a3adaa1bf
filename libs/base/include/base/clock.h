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

/**
 * A clock that also counts the time for which the instance was suspended.
 *
 * The monotonic clock stands still meanwhile. A process that judged by it how old its knowledge is would, after waking, act
 * on what it knew before as if no time had passed: it would serve with keys that were taken away, or hand out time that a
 * caller no longer has. Ages of knowledge and deadlines of requests are therefore kept by this one.
 */
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the name that <chrono> asks for

    static time_point now();
};
using BootTime = BootClock::time_point;

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
