#include "ticker.h"

#include <event2/event.h>

namespace magnolia::capacity
{

class Ticker::Impl
{
public:
    Impl(event_base *loop, std::chrono::microseconds interval, std::function<void()> onTick)
        : onTick_(std::move(onTick)), event_(event_new(loop, -1, EV_PERSIST, &Impl::tick, this))
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(interval);
        const timeval period = {.tv_sec = seconds.count(), .tv_usec = (interval - seconds).count()};
        event_add(event_, &period);
    }

    ~Impl()
    {
        event_free(event_);
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

private:
    static void tick(evutil_socket_t /*socket*/, short /*events*/, void *self)
    {
        static_cast<Impl *>(self)->onTick_();
    }

    std::function<void()> onTick_;
    event *event_;
};

Ticker::Ticker(event_base *loop, std::chrono::microseconds interval, std::function<void()> onTick)
    : impl_(std::make_unique<Impl>(loop, interval, std::move(onTick)))
{
}

Ticker::~Ticker() = default;

} // namespace magnolia::capacity
