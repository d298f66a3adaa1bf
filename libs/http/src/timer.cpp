#include "http/timer.h"

#include <algorithm>

namespace magnolia::http
{

Timer::Timer(event_base *loop, std::function<void()> callback)
    : callback_(std::move(callback))
    , event_(event_new(
          loop,
          -1,
          0,
          [](evutil_socket_t, short, void *self) {
              // A copy, since the callback may destroy the timer.
              const auto call = static_cast<Timer *>(self)->callback_;
              call();
          },
          this))
{
}

void Timer::start(Duration delay)
{
    startTimer(event_.get(), std::max(delay, Duration(0)));
}

void Timer::stop()
{
    event_del(event_.get());
}

} // namespace magnolia::http
