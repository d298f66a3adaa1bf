#ifndef MAGNOLIA_HTTP_TESTS_LOOPFIXTURE_H
#define MAGNOLIA_HTTP_TESTS_LOOPFIXTURE_H

#include "http/eventhandles.h"

#include <functional>

namespace magnolia::http
{

/** A loop that a test runs until something has happened. */
struct LoopFixture {
    /** @return false if it has not happened within some seconds; no passing test waits for that. */
    bool runUntil(const std::function<bool()> &happened, Duration limit = Duration{10000})
    {
        const MonoTime end = MonoClock::now() + limit;
        while (!happened() && MonoClock::now() < end) {
            runOnce(Duration{50});
        }
        return happened();
    }

    void runFor(Duration duration)
    {
        const MonoTime end = MonoClock::now() + duration;
        while (MonoClock::now() < end) {
            runOnce(Duration{5});
        }
    }

    EventBasePtr loop{event_base_new()};

private:
    void runOnce(Duration longest)
    {
        const timeval pause = toTimeval(longest);
        event_base_loopexit(loop.get(), &pause);
        event_base_loop(loop.get(), EVLOOP_ONCE);
    }
};

} // namespace magnolia::http

#endif
