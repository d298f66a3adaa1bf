#ifndef MAGNOLIA_ENTRY_TIMER_H
#define MAGNOLIA_ENTRY_TIMER_H

#include "base/clock.h"

#include <event2/event.h>

#include <functional>
#include <memory>

namespace magnolia::entry
{

/** Calls back once after a delay, on the loop's thread. Stopped by destruction; the callback may destroy or restart it. */
class Timer
{
public:
    Timer(event_base *loop, std::function<void()> callback);
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /** @param delay from now; a delay that was running is replaced. */
    void start(Duration delay);
    void stop();

private:
    struct FreeEvent {
        void operator()(event *handle) const
        {
            event_free(handle);
        }
    };

    std::function<void()> callback_;
    std::unique_ptr<event, FreeEvent> event_;
};

} // namespace magnolia::entry

#endif
