#ifndef MAGNOLIA_HTTP_TIMER_H
#define MAGNOLIA_HTTP_TIMER_H

#include "base/clock.h"
#include "http/eventhandles.h"

#include <functional>

namespace magnolia::http
{

/**
 * Calls back once after a delay, on the event loop's thread.
 *
 * Owned by the task that waits; destroying or stopping it means that no call follows. The callback may start the timer
 * again or destroy it.
 *
 * @code
 * Timer timer(loop, [this] { onTick(); });
 * timer.start(std::chrono::seconds(1));
 * @endcode
 */
class Timer
{
public:
    Timer(event_base *loop, std::function<void()> callback);
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /** Starts the delay, anew if it is running. */
    void start(Duration delay);
    void stop();

private:
    std::function<void()> callback_;
    EventPtr event_;
};

} // namespace magnolia::http

#endif
