#ifndef MAGNOLIA_STORE_STORECLOCK_H
#define MAGNOLIA_STORE_STORECLOCK_H

#include "base/clock.h"

#include <algorithm>
#include <optional>

namespace magnolia::store
{

/**
 * Tells when a store gave an answer, by this process's own clock.
 *
 * An answer to a long poll may have been given at its begin or its end; its own steady clock tells which. The bound used
 * is on the safe side: the answer was given no sooner than the time returned. A value type.
 *
 * @code
 * const BootTime asOf = clock.answered(sentAt, storeTime, receivedAt);
 * @endcode
 */
class StoreClock
{
public:
    BootTime answered(BootTime sentAt, Duration storeTime, BootTime receivedAt)
    {
        // The store answered after the question was sent, so its clock's zero is at this or later.
        const BootTime zero = sentAt - storeTime;
        zero_ = zero_ ? std::max(*zero_, zero) : zero;
        const BootTime at = *zero_ + storeTime;
        if (at > receivedAt) {
            // The store's clock did not run steadily (it was replaced): what was learnt of it holds no more.
            zero_ = zero;
            return sentAt;
        }
        return std::max(at, sentAt);
    }

private:
    std::optional<BootTime> zero_; ///< Latest lower bound of when the store's clock stood at 0.
};

} // namespace magnolia::store

#endif
