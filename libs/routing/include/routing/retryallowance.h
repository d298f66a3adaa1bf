#ifndef MAGNOLIA_ROUTING_RETRYALLOWANCE_H
#define MAGNOLIA_ROUTING_RETRYALLOWANCE_H

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace magnolia::routing
{

/**
 * This instance's part of a retry budget that all instances share, for one service.
 *
 * The budget bounds, in every window of time, the sendings beyond the first of each request to a share of the service's
 * requests plus a constant. Each instance keeps to that share of the requests that it took itself, so that the sum holds
 * however unevenly callers are spread, without a message between instances; of the constant it takes half of an equal part,
 * so that the sum also holds while instances are added or have just begun anew.
 * Refused sendings count too, since they load the endpoint as well. Lives as long as its entry's task. Not thread-safe.
 *
 * @code
 * allowance.requestCame(now);
 * if (allowance.tryRetry(now)) { sendElsewhere(); }
 * @endcode
 */
class RetryAllowance
{
public:
    struct Options {
        double share = 0.2; ///< Retries for each request.
        double constant = 0; ///< Retries in a window besides, of all instances together.
        Duration window{10000};
        /** That share the budget. A process learns the number together with its routes, before it can take a request. */
        std::size_t instances = 8;
    };

    explicit RetryAllowance(const Options &options);

    /** @param instances that share the budget from now on. */
    void setInstances(std::size_t instances)
    {
        options_.instances = instances;
    }

    void onRequest(BootTime now);

    /** @return true if one more sending is within the budget; it is then counted. */
    bool tryRetry(BootTime now);

private:
    static constexpr std::size_t SlotCount = 64; ///< Parts of the window; its edge is one part blurred.

    struct Slot {
        std::int64_t number = 0; ///< Which part of the time since the epoch it counts.
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Slot &slotAt(BootTime now);

    Options options_;
    std::array<Slot, SlotCount> slots_{};
};

} // namespace magnolia::routing

#endif
