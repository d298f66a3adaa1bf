#include "bodybudget.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace magnolia::forward
{

namespace
{

// Part of the process's memory for large bodies. Sockets hold bodies that wait, up to their receive buffers, and answers have a part of their own.
constexpr std::size_t MemoryDivisor = 4;

constexpr double HoldAverageWeight = 0.125; ///< Of the newest body.

double millisecondsOf(BootClock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

BodyBudget::BodyBudget(Options options) : options_(std::move(options)), limit_(options_.memoryLimit / MemoryDivisor) {}

Duration BodyBudget::predictedWait(std::size_t bytes) const
{
    const std::size_t wanted = held_ + waiting_ + bytes;
    if (wanted <= limit_ || limit_ == 0) {
        return Duration(0);
    }
    // All of the memory is returned once in the time for which a body is held.
    const double turns = static_cast<double>(wanted - limit_) / static_cast<double>(limit_);
    return Duration(std::llround(turns * averageHoldMs_));
}

bool BodyBudget::hasRoomFor(std::size_t bytes) const
{
    return held_ == 0 || held_ + bytes <= limit_;
}

void BodyBudget::setHeld(std::size_t bytes)
{
    held_ = bytes;
    options_.heldBytes.set(static_cast<double>(held_));
}

void BodyBudget::grant(Share &share)
{
    share.isGranted_ = true;
    share.grantedAt_ = options_.now();
    setHeld(held_ + share.bytes_);
}

void BodyBudget::release(Share &share)
{
    if (share.isGranted_) {
        const double heldMs = millisecondsOf(options_.now() - share.grantedAt_);
        averageHoldMs_ += averageHoldMs_ == 0 ? heldMs : HoldAverageWeight * (heldMs - averageHoldMs_);
        setHeld(held_ - share.bytes_);
    } else if (std::erase(queue_, &share) > 0) {
        waiting_ -= share.bytes_;
    }
    grantWaiting();
}

void BodyBudget::grantWaiting()
{
    if (std::exchange(isGranting_, true)) {
        return;
    }
    while (!queue_.empty() && hasRoomFor(queue_.front()->bytes_)) {
        Share &next = *queue_.front();
        queue_.pop_front();
        waiting_ -= next.bytes_;
        grant(next);
        next.onGranted_();
    }
    isGranting_ = false;
}

BodyBudget::Share::Share(BodyBudget &budget, std::function<void()> onGranted) : budget_(budget), onGranted_(std::move(onGranted)) {}

BodyBudget::Share::~Share()
{
    budget_.release(*this);
}

BodyBudget::Outcome BodyBudget::Share::reserve(std::size_t bytes)
{
    bytes_ = bytes;
    if (budget_.queue_.empty() && budget_.hasRoomFor(bytes)) {
        budget_.grant(*this);
        return Outcome::Granted;
    }
    if (budget_.predictedWait(bytes) > budget_.options_.maxWait) {
        return Outcome::Denied;
    }
    budget_.queue_.push_back(this);
    budget_.waiting_ += bytes;
    return Outcome::Waits;
}

void BodyBudget::Share::shrink(std::size_t bytes)
{
    if (!isGranted_ || bytes >= bytes_) {
        return;
    }
    budget_.setHeld(budget_.held_ - (bytes_ - bytes));
    bytes_ = bytes;
    budget_.grantWaiting();
}

} // namespace magnolia::forward
