#include "routing/retryallowance.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

// Less than 1, because a retry may fall into another window at the receiver, one with fewer of the requests that allowed it.
constexpr double ShareUsed = 0.75;

// Each instance uses its part of the constant as if there were twice as many instances, because their number is known some seconds late and a restarted
// instance has lost its count of used retries.
constexpr double ConstantReserve = 2;

} // namespace

RetryAllowance::RetryAllowance(const Options &options) : options_(options) {}

void RetryAllowance::onRequest(BootTime now)
{
    ++bucketAt(now).requests;
}

bool RetryAllowance::tryRetry(BootTime now)
{
    const Usage used = usage(now);
    if (used.retries + 1 > used.maxRetries) {
        return false;
    }
    ++bucketAt(now).retries;
    return true;
}

RetryAllowance::Usage RetryAllowance::usage(BootTime now) const
{
    Usage used{.instances = options_.instances};
    const std::int64_t current = bucketNumber(now);
    for (const Bucket &bucket : buckets_) {
        if (bucket.number > current - static_cast<std::int64_t>(BucketCount)) {
            used.requests += bucket.requests;
            used.retries += bucket.retries;
        }
    }
    const double parts = ConstantReserve * static_cast<double>(std::max<std::size_t>(options_.instances, 1));
    used.maxRetries = options_.share * ShareUsed * used.requests + options_.constant / parts;
    return used;
}

std::int64_t RetryAllowance::bucketNumber(BootTime now) const
{
    return now.time_since_epoch() / std::max(options_.window / static_cast<int>(BucketCount), Duration(1));
}

RetryAllowance::Bucket &RetryAllowance::bucketAt(BootTime now)
{
    const std::int64_t number = bucketNumber(now);
    Bucket &bucket = buckets_[static_cast<std::size_t>(number) % BucketCount];
    if (bucket.number != number) {
        bucket = {.number = number, .requests = 0, .retries = 0};
    }
    return bucket;
}

} // namespace magnolia::routing
