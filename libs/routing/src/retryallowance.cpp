#include "routing/retryallowance.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

constexpr double ShareUsed = 0.8;

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
        const std::int64_t age = current - bucket.number;
        used.requests += age < RequestBuckets ? bucket.requests : 0;
        used.retries += age < RetryBuckets ? bucket.retries : 0;
    }
    used.maxRetries = maxRetries(used.requests);
    return used;
}

double RetryAllowance::maxRetries(double requests) const
{
    const double constant = options_.instances == 0 ? 0 : options_.constant / (ConstantReserve * static_cast<double>(options_.instances));
    return options_.share * ShareUsed * requests + constant;
}

Duration RetryAllowance::bucketWidth() const
{
    return std::max(options_.window / RequestBuckets, Duration(1));
}

std::int64_t RetryAllowance::bucketNumber(BootTime now) const
{
    return now.time_since_epoch() / bucketWidth();
}

RetryAllowance::Bucket &RetryAllowance::bucketAt(BootTime now)
{
    const std::int64_t number = bucketNumber(now);
    Bucket &bucket = buckets_[static_cast<std::size_t>(number % RetryBuckets)];
    if (bucket.number != number) {
        bucket = {.number = number, .requests = 0, .retries = 0};
    }
    return bucket;
}

} // namespace magnolia::routing
