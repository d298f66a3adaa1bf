#include "routing/loadshare.h"

#include <algorithm>
#include <cmath>

namespace magnolia::routing
{

namespace
{

// Streams last one to two seconds, so that reports show a new distribution of the callers about as soon.
constexpr std::chrono::duration<double> HalfLife{1.0};

constexpr double Confidence = 2; ///< In standard deviations.

} // namespace

void LoadShare::onLoadReport(const Requests &requests, BootTime now)
{
    if (requests.own == 0 || requests.total == 0) {
        return;
    }
    const double factor = decayUntil(now);
    const std::uint32_t total = std::max(requests.total, requests.own);
    // Without the request that is answered: an endpoint reports only where this instance has one.
    own_ = own_ * factor + (requests.own - 1);
    total_ = total_ * factor + (total - 1);
    updatedAt_ = now;
}

std::size_t LoadShare::effectiveInstances(std::size_t instances, BootTime now) const
{
    const std::size_t known = std::max<std::size_t>(instances, 1);
    const double total = total_ * decayUntil(now);
    if (total < 1) {
        return known;
    }
    const double share = std::min(own_ / total_, 1.0);
    const double equalShare = 1.0 / static_cast<double>(known);
    // The deviation that an equal share would have.
    const double deviation = std::sqrt(std::max(share * (1 - share), equalShare * (1 - equalShare)) / total);
    const double bound = share - Confidence * deviation;
    return bound <= equalShare ? known : std::clamp<std::size_t>(static_cast<std::size_t>(1 / bound), 1, known);
}

double LoadShare::decayUntil(BootTime now) const
{
    return std::exp2(-std::max(std::chrono::duration<double>(now - updatedAt_) / HalfLife, 0.0));
}

} // namespace magnolia::routing
