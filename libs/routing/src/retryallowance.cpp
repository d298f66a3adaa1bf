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
    Bucket &current = bucketAt(now);
    double requests = 0;
    double retries = 0;
    for (const Bucket &bucket : buckets_) {
        if (bucket.number > current.number - static_cast<std::int64_t>(BucketCount)) {
            requests += bucket.requests;
            retries += bucket.retries;
        }
    }
    const double parts = ConstantReserve * static_cast<double>(std::max<std::size_t>(options_.instances, 1));
    const double maxRetries = options_.share * ShareUsed * requests + options_.constant / parts;
    if (retries + 1 > maxRetries) {
        return false;
    }
    ++current.retries;
    return true;
}

RetryAllowance::Bucket &RetryAllowance::bucketAt(BootTime now)
{
    const auto width = std::max(options_.window / static_cast<int>(BucketCount), Duration(1));
    const std::int64_t number = now.time_since_epoch() / width;
    Bucket &bucket = buckets_[static_cast<std::size_t>(number) % BucketCount];
    if (bucket.number != number) {
        bucket = {.number = number, .requests = 0, .retries = 0};
    }
    return bucket;
}

} // namespace magnolia::routing
