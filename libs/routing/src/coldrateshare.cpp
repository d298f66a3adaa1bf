#include "routing/coldrateshare.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace magnolia::routing
{

namespace
{

// A turn is used at the next request, or when a queue is next looked at. The delay is made up for, as far as the turns stay about evenly spaced.
constexpr double MaxCarriedPart = 0.25;

BootClock::duration toDuration(double seconds)
{
    return std::chrono::duration_cast<BootClock::duration>(std::chrono::duration<double>(seconds));
}

/** @return 0 to 1, evenly distributed over entries, endpoints and times. */
double phaseOf(std::uint64_t rank, BootTime now)
{
    const auto ticks = now.time_since_epoch().count();
    return static_cast<double>(XXH3_64bits_withSeed(&ticks, sizeof(ticks), rank)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

bool ColdRateShare::extend(BootTime until, BootTime now)
{
    const bool wasCold = isCold(now);
    coldUntil_ = std::max(coldUntil_, until);
    if (!wasCold) {
        generation_ = 0; // The first turn of each cold time has a phase of its own.
    }
    return !wasCold && isCold(now);
}

bool ColdRateShare::canSend(const Terms &terms, BootTime now)
{
    updateShare(terms, now);
    return isHolder_ && now >= nextSendAt_;
}

void ColdRateShare::onSent(BootTime now)
{
    const auto leastInterval = std::chrono::duration_cast<BootClock::duration>(interval_ * (1 - MaxCarriedPart));
    nextSendAt_ = std::max(nextSendAt_ + interval_, now + leastInterval);
}

std::optional<BootTime> ColdRateShare::nextTurnAt(const Terms &terms, BootTime now)
{
    updateShare(terms, now);
    return isHolder_ ? std::optional(nextSendAt_) : std::nullopt;
}

double ColdRateShare::turnsPerSecond() const
{
    return isHolder_ ? 1 / std::chrono::duration<double>(interval_).count() : 0;
}

bool ColdRateShare::onListed(std::uint64_t version)
{
    const bool isNew = !isListed_ || version == 0 || version > listedVersion_;
    isListed_ = true;
    listedVersion_ = std::max(listedVersion_, version);
    return isNew;
}

/** Determines this entry's share anew if the instances have changed. */
void ColdRateShare::updateShare(const Terms &terms, BootTime now)
{
    if (generation_ == terms.holders.generation() && generation_ != 0) {
        return;
    }
    const bool wasHolder = isHolder_ && generation_ != 0;
    const TurnShare share = terms.holders.shareOf(terms.endpoint, terms.rate.maxHolders);
    generation_ = terms.holders.generation();
    isHolder_ = share.isHolder;
    interval_ = toDuration(static_cast<double>(std::max<std::size_t>(share.holders, 1)) / terms.rate.perSecond);
    if (isHolder_ && !wasHolder) { // A random phase: after a restart the requests of the previous run are not known.
        nextSendAt_ = now + toDuration(phaseOf(share.rank, now) * std::chrono::duration<double>(interval_).count());
    }
}

} // namespace magnolia::routing
