#ifndef MAGNOLIA_HTTP_EVENTHANDLES_H
#define MAGNOLIA_HTTP_EVENTHANDLES_H

#include "base/clock.h"

#include <event2/buffer.h>
#include <event2/event.h>

#include <chrono>
#include <memory>

/** Owners for libevent's objects. */
namespace magnolia::http
{

struct EventDeleter {
    void operator()(event *handle) const
    {
        event_free(handle);
    }
};

struct EventBaseDeleter {
    void operator()(event_base *handle) const
    {
        event_base_free(handle);
    }
};

struct EvbufferDeleter {
    void operator()(evbuffer *handle) const
    {
        evbuffer_free(handle);
    }
};

using EventPtr = std::unique_ptr<event, EventDeleter>;
using EventBasePtr = std::unique_ptr<event_base, EventBaseDeleter>;
using EvbufferPtr = std::unique_ptr<evbuffer, EvbufferDeleter>;

inline timeval toTimeval(Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    const auto rest = std::chrono::duration_cast<std::chrono::microseconds>(duration - seconds);
    return {.tv_sec = seconds.count(), .tv_usec = rest.count()};
}

inline void startTimer(event *timer, Duration delay)
{
    const timeval interval = toTimeval(delay);
    event_add(timer, &interval);
}

} // namespace magnolia::http

#endif
