#include "timer.h"

#include <algorithm>

namespace magnolia::entry
{

Timer::Timer(event_base *loop, std::function<void()> callback) : callback_(std::move(callback))
{
    const auto onTimer = [](evutil_socket_t /*socket*/, short /*what*/, void *self) {
        // A copy, since the callback may destroy the timer.
        const auto run = static_cast<Timer *>(self)->callback_;
        run();
    };
    event_.reset(event_new(loop, -1, 0, onTimer, this));
}

void Timer::start(Duration delay)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(std::max(delay, Duration::zero()));
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(micros);
    const timeval value{.tv_sec = seconds.count(), .tv_usec = (micros - seconds).count()};
    event_add(event_.get(), &value);
}

void Timer::stop()
{
    event_del(event_.get());
}

} // namespace magnolia::entry
