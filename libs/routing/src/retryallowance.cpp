#include "routing/retryallowance.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

// Below 1, since a retry may be counted by the far side into a window that holds fewer of the requests that paid for it.
constexpr double ShareUsed = 0.75;

// Of the constant each instance takes a part as if there were twice as many: their number is learnt some seconds late, and
// an instance that begins anew has forgotten what it used.
constexpr double ConstantReserve = 2;

} // namespace

RetryAllowance::RetryAllowance(const Options &options) : options_(options) {}

void RetryAllowance::onRequest(BootTime now)
{
    ++slotAt(now).requests;
}

bool RetryAllowance::tryRetry(BootTime now)
{
    Slot &current = slotAt(now);
    double requests = 0;
    double retries = 0;
    for (const Slot &slot : slots_) {
        if (slot.number > current.number - static_cast<std::int64_t>(SlotCount)) {
            requests += slot.requests;
            retries += slot.retries;
        }
    }
    const double parts = ConstantReserve * static_cast<double>(std::max<std::size_t>(options_.instances, 1));
    const double most = options_.share * ShareUsed * requests + options_.constant / parts;
    if (retries + 1 > most) {
        return false;
    }
    ++current.retries;
    return true;
}

RetryAllowance::Slot &RetryAllowance::slotAt(BootTime now)
{
    const auto width = std::max(options_.window / static_cast<int>(SlotCount), Duration(1));
    const std::int64_t number = now.time_since_epoch() / width;
    Slot &slot = slots_[static_cast<std::size_t>(number) % SlotCount];
    if (slot.number != number) {
        slot = {.number = number, .requests = 0, .retries = 0};
    }
    return slot;
}

} // namespace magnolia::routing
