#ifndef MAGNOLIA_CAPACITY_TICKER_H
#define MAGNOLIA_CAPACITY_TICKER_H

#include "base/clock.h"

#include <functional>
#include <memory>

struct event_base;

namespace magnolia::capacity
{

/** Calls back at a fixed interval for as long as it lives, on its event loop's thread. */
class Ticker
{
public:
    Ticker(event_base *loop, std::chrono::microseconds interval, std::function<void()> onTick);
    ~Ticker();
    Ticker(const Ticker &) = delete;
    Ticker &operator=(const Ticker &) = delete;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnolia::capacity

#endif
