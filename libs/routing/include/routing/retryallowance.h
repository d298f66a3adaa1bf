#ifndef MAGNOLIA_ROUTING_RETRYALLOWANCE_H
#define MAGNOLIA_ROUTING_RETRYALLOWANCE_H

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace magnolia::routing
{

/**
 * This instance's part of a service's retry budget, which all instances share.
 *
 * In every time window the budget limits retries (all attempts of a request after its first) to a share of the service's requests plus a constant.
 * Each instance applies the share to its own requests, so that the total holds for any distribution of the callers and without communication. Of the
 * constant it uses half of an equal part, so that the total also holds while instances are added.
 *
 * A process does not know what the one before it on the same instance has used. Until that has left the window, it uses a smaller part of both, which it
 * earns as time passes. The part that processes earn in one window does not depend on how often they are restarted.
 *
 * Rejected attempts count too, since they also load the endpoint. Lives as long as its entry's task. Not thread-safe.
 *
 * @code
 * allowance.onRequest(now);
 * if (allowance.tryRetry(now)) { sendElsewhere(); }
 * @endcode
 */
class RetryAllowance
{
public:
    struct Options {
        double share = 0.2; ///< Retries per request.
        double constant = 0; ///< Additional retries per window, for all instances together.
        Duration window{10000};
        std::size_t instances = 0; ///< That share the budget; 0: not known, so that no part of the constant is used.
        /** Until when another process may have used this instance's part. Nothing: this process is the first one of its instance. */
        std::optional<BootTime> precededUntil = BootClock::now();
    };

    explicit RetryAllowance(const Options &options);

    /** @param instances number of instances that share the budget from now on. */
    void setInstances(std::size_t instances)
    {
        options_.instances = instances;
    }

    /** This process is the first one of its instance. */
    void setFirstProcess()
    {
        options_.precededUntil.reset();
    }

    void onRequest(BootTime now);

    /** @return true if one more retry is within the budget; the retry is then counted. */
    bool tryRetry(BootTime now);

    /** What decides about the next retry. */
    struct Usage {
        double requests = 0; ///< In the window.
        double retries = 0; ///< In the window and the time that a retry may be on its way.
        double maxRetries = 0; ///< Number of retries at which the next one is denied.
        std::size_t instances = 0; ///< See Options.
    };

    Usage usage(BootTime now) const;

private:
    static constexpr std::int64_t RequestBuckets = 64; ///< The window of the requests.

    // Retries count for a quarter longer than the window, because they may be on their way for that long, and arrive together with later ones. Two more
    // buckets hold the parts of a bucket at both ends.
    static constexpr std::int64_t RetryBuckets = RequestBuckets * 5 / 4 + 2;

    struct Bucket {
        std::int64_t number = 0; ///< Index of its time span since the epoch.
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Duration bucketWidth() const;
    std::int64_t bucketNumber(BootTime now) const;
    Bucket &bucketAt(BootTime now);
    bool isSettled(BootTime now) const;
    double maxRetries(double requests, BootTime now) const;

    Options options_;
    std::array<Bucket, RetryBuckets> buckets_{};
};

} // namespace magnolia::routing

#endif
