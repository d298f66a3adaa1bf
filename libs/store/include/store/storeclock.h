#ifndef MAGNOLIA_STORE_STORECLOCK_H
#define MAGNOLIA_STORE_STORECLOCK_H

#include "base/clock.h"

#include <algorithm>
#include <optional>

namespace magnolia::store
{

/**
 * Maps the store's clock readings to this process's clock, to estimate when the store gave an answer.
 *
 * The store may answer a long poll at its start or at its end; the clock reading in the answer tells which. The estimate is
 * conservative: the store answered no earlier than the time returned. A value type.
 *
 * @code
 * const BootTime asOf = clock.estimateAnswerTime(sentAt, storeTime, receivedAt);
 * @endcode
 */
class StoreClock
{
public:
    BootTime estimateAnswerTime(BootTime sentAt, Duration storeTime, BootTime receivedAt)
    {
        // The store answered after the request was sent, so its clock read zero at this time or later.
        const BootTime zeroBound = sentAt - storeTime;
        zeroLowerBound_ = zeroLowerBound_ ? std::max(*zeroLowerBound_, zeroBound) : zeroBound;
        const BootTime answeredAt = *zeroLowerBound_ + storeTime;
        if (answeredAt > receivedAt) {
            // The store's clock has jumped ahead, as when the store was replaced: earlier bounds no longer hold.
            zeroLowerBound_ = zeroBound;
            return sentAt;
        }
        return std::max(answeredAt, sentAt);
    }

private:
    std::optional<BootTime> zeroLowerBound_; ///< Highest lower bound so far of the time at which the store's clock read 0.
};

} // namespace magnolia::store

#endif
