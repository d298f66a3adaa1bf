#ifndef MAGNOLIA_STANDINS_SCHEDULER_H
#define MAGNOLIA_STANDINS_SCHEDULER_H

#include "http/eventhandles.h"

#include <functional>
#include <list>
#include <memory>

namespace magnolia::standins
{

/** Calls functions later on the loop. Pending ones are dropped when it is destroyed. */
class Scheduler
{
public:
    explicit Scheduler(event_base *loop);
    ~Scheduler();

    void after(Duration delay, std::function<void()> action);

private:
    struct Entry;

    static void onTimer(int fd, short what, void *entry);

    event_base *loop_;
    std::list<std::unique_ptr<Entry>> entries_;
};

} // namespace magnolia::standins

#endif
