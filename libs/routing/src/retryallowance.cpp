#include "routing/retryallowance.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

// Below 1, since a retry may be counted by the far side into a window that holds fewer of the requests that paid for it.
constexpr double ShareUsed = 0.75;

// The constant is divided as if there were so many instances; with more of them than this its sum would be passed.
constexpr double ConstantParts = 16;

} // namespace

RetryAllowance::RetryAllowance(const Options &options) : options_(options) {}

void RetryAllowance::requestCame(BootTime now)
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
    const double most = options_.share * ShareUsed * requests + options_.constant / ConstantParts;
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
