#include "scheduler.h"

#include <utility>

namespace magnolia::standins
{

struct Scheduler::Entry {
    Scheduler *owner = nullptr;
    std::list<std::unique_ptr<Entry>>::iterator position;
    std::function<void()> action;
    http::EventPtr timer;
};

Scheduler::Scheduler(event_base *loop) : loop_(loop) {}

Scheduler::~Scheduler() = default;

void Scheduler::after(Duration delay, std::function<void()> action)
{
    auto entry = std::make_unique<Entry>();
    entry->owner = this;
    entry->action = std::move(action);
    entry->timer.reset(evtimer_new(loop_, &Scheduler::onTimer, entry.get()));
    http::startTimer(entry->timer.get(), delay);
    entries_.push_front(std::move(entry));
    entries_.front()->position = entries_.begin();
}

void Scheduler::onTimer(int /*fd*/, short /*what*/, void *entry)
{
    auto *due = static_cast<Entry *>(entry);
    const std::function<void()> action = std::move(due->action);
    due->owner->entries_.erase(due->position);
    action();
}

} // namespace magnolia::standins
