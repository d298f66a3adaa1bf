#include "policy/tokenbuckets.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <string>
#include <unordered_map>

namespace magnolia::policy
{

namespace
{

/** Idle buckets looked at per call: more than one, so that they are forgotten faster than new ones can come. */
constexpr int SweepPerCall = 2;

struct Bucket {
    std::string organisation;
    double tokens = 0;
    RateLimit limit;
    MonoTime updated;
};

void refill(Bucket &bucket, MonoTime now)
{
    if (now <= bucket.updated) {
        return;
    }
    const double elapsed = std::chrono::duration<double>(now - bucket.updated).count();
    bucket.tokens = std::min(bucket.limit.burst, bucket.tokens + elapsed * bucket.limit.perSecond);
    bucket.updated = now;
}

} // namespace

class TokenBuckets::Impl
{
public:
    explicit Impl(const Options &options) : capacity_(std::max<std::size_t>(options.capacity, 1)) {}

    RateDecision take(std::string_view organisation, const RateLimit &limit, MonoTime now)
    {
        sweep(now);
        Bucket &bucket = find(organisation, limit, now);
        bucket.limit = limit;
        bucket.limit.burst = std::max(limit.burst, 1.0);
        bucket.tokens = std::min(bucket.tokens, bucket.limit.burst);
        refill(bucket, now);
        if (bucket.tokens >= 1) {
            bucket.tokens -= 1;
            return {};
        }
        const double wait = (1 - bucket.tokens) / limit.perSecond;
        const std::chrono::duration<double> untilNext(std::min(wait, 3600.0));
        return {.allowed = false, .retryAfter = std::chrono::ceil<Duration>(untilNext)};
    }

    std::size_t size() const
    {
        return buckets_.size();
    }

private:
    Bucket &find(std::string_view organisation, const RateLimit &limit, MonoTime now)
    {
        const auto known = byName_.find(organisation);
        if (known != byName_.end()) {
            buckets_.splice(buckets_.begin(), buckets_, known->second);
            return buckets_.front();
        }
        if (buckets_.size() >= capacity_) {
            forgetOldest();
        }
        buckets_.push_front({.organisation = std::string(organisation), .tokens = std::max(limit.burst, 1.0), .limit = limit, .updated = now});
        // The key views the string inside the list node, which never moves.
        byName_.emplace(buckets_.front().organisation, buckets_.begin());
        return buckets_.front();
    }

    void sweep(MonoTime now)
    {
        for (int i = 0; i < SweepPerCall && !buckets_.empty(); ++i) {
            Bucket &oldest = buckets_.back();
            refill(oldest, now);
            if (oldest.tokens < oldest.limit.burst) {
                return;
            }
            forgetOldest();
        }
    }

    void forgetOldest()
    {
        byName_.erase(buckets_.back().organisation);
        buckets_.pop_back();
    }

    std::size_t capacity_;
    std::list<Bucket> buckets_; ///< Latest used first.
    std::unordered_map<std::string_view, std::list<Bucket>::iterator> byName_;
};

TokenBuckets::TokenBuckets(const Options &options) : impl_(std::make_unique<Impl>(options)) {}

TokenBuckets::~TokenBuckets() = default;

RateDecision TokenBuckets::take(std::string_view organisation, const RateLimit &limit, MonoTime now)
{
    if (limit.perSecond <= 0) {
        return {};
    }
    return impl_->take(organisation, limit, now);
}

std::size_t TokenBuckets::size() const
{
    return impl_->size();
}

} // namespace magnolia::policy
