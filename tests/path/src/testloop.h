#ifndef MAGNOLIA_PATH_TESTLOOP_H
#define MAGNOLIA_PATH_TESTLOOP_H

#include "http/eventhandles.h"

#include <functional>
#include <utility>

namespace magnolia::path
{

/** The event loop that a test's callers live on; it turns only inside runUntil() and runFor(). */
class TestLoop
{
public:
    /** Called at every turn; lets a load go on while a test waits for something else. */
    void onTurn(std::function<void()> callback)
    {
        onTurn_ = std::move(callback);
    }

    event_base *get() const
    {
        return loop_.get();
    }

    /** @return whether it has happened within the limit; a test that passes never waits for the limit. */
    bool runUntil(const std::function<bool()> &happened, Duration limit = Duration{20000}) const
    {
        const MonoTime end = MonoClock::now() + limit;
        while (!happened() && MonoClock::now() < end) {
            runOnce(Duration{5});
        }
        return happened();
    }

    void runFor(Duration duration) const
    {
        const MonoTime end = MonoClock::now() + duration;
        while (MonoClock::now() < end) {
            runOnce(Duration{5});
        }
    }

private:
    void runOnce(Duration longest) const
    {
        if (onTurn_) {
            onTurn_();
        }
        const timeval pause = http::toTimeval(longest);
        event_base_loopexit(loop_.get(), &pause);
        event_base_loop(loop_.get(), EVLOOP_ONCE);
    }

    http::EventBasePtr loop_{event_base_new()};
    std::function<void()> onTurn_;
};

} // namespace magnolia::path

#endif
