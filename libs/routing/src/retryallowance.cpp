#include "routing/retryallowance.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

/** Parts of the budget that a process uses. */
struct Parts {
    double share;
    double constant;
};

// Half of the constant is left for instances that others do not know of yet.
constexpr Parts SettledParts{.share = 0.8, .constant = 0.5};

// What a settled process leaves of the share, because the retries of a process before it may still be in the window.
constexpr Parts StartingParts{.share = 0.2, .constant = 0.25};

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
    used.maxRetries = maxRetries(used.requests, now);
    return used;
}

double RetryAllowance::maxRetries(double requests, BootTime now) const
{
    const double constant = options_.instances == 0 ? 0 : options_.constant / static_cast<double>(options_.instances);
    if (isSettled(now)) {
        return options_.share * SettledParts.share * requests + constant * SettledParts.constant;
    }
    const double earned = std::clamp(std::chrono::duration<double>(now - *options_.precededUntil) / options_.window, 0.0, 1.0);
    return options_.share * StartingParts.share * requests + constant * StartingParts.constant * earned;
}

/** Whether no retry of a process before this one can be in the window any more. */
bool RetryAllowance::isSettled(BootTime now) const
{
    return !options_.precededUntil || now - *options_.precededUntil >= RetryBuckets * bucketWidth();
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
