#include "routing/endpointroster.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

// The platform drops an entry after three missed renewals. The last renewal may have been one interval before the outage, so no entry expires in an
// outage shorter than two intervals.
constexpr int MinOutageRenewals = 2;

} // namespace

void EndpointRoster::put(const EndpointRecord &record)
{
    entries_.insert_or_assign(record.id, Entry{.record = record, .removeAt = {}});
}

/** @return true if the list was last known to be available so long ago that entries may have expired in an outage. */
bool EndpointRoster::mayHaveBeenUnavailable(BootTime now) const
{
    return lastServingAt_ && now - *lastServingAt_ >= MinOutageRenewals * options_.renewalInterval;
}

/**
 * Starts the recovery time if the list is available again after an outage in which entries can expire. A shorter silence must not start it: an endpoint
 * that left while only this instance was disconnected would then be retained here, and get requests long after all other instances had removed it.
 */
void EndpointRoster::onListResponse(BootTime now)
{
    if (mayHaveBeenUnavailable(now)) {
        recoveryEndsAt_ = now + options_.recoveryTime;
    }
}

std::optional<PendingRemoval> EndpointRoster::onEntryRemoved(std::string_view id, BootTime now)
{
    onListResponse(now);
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.removeAt) {
        return std::nullopt;
    }
    found->second.removeAt = std::max(now, recoveryEndsAt_);
    return PendingRemoval{.id = found->first, .removeAt = *found->second.removeAt};
}

std::vector<PendingRemoval> EndpointRoster::onFullList(std::span<const std::string> ids, BootTime now)
{
    std::vector<PendingRemoval> removals;
    for (const auto &[id, entry] : entries_) {
        if (std::find(ids.begin(), ids.end(), id) != ids.end()) {
            continue;
        }
        if (auto removal = onEntryRemoved(id, now)) {
            removals.push_back(std::move(*removal));
        }
    }
    return removals;
}

void EndpointRoster::onListConfirmed(BootTime asOf, BootTime now)
{
    onListResponse(now);
    lastServingAt_ = lastServingAt_ ? std::max(*lastServingAt_, asOf) : asOf;
}

std::vector<std::string> EndpointRoster::takeDueRemovals(BootTime now)
{
    std::vector<std::string> due;
    if (mayHaveBeenUnavailable(now)) {
        return due;
    }
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        if (entry->second.removeAt && *entry->second.removeAt <= now) {
            due.push_back(entry->first);
            entry = entries_.erase(entry);
        } else {
            ++entry;
        }
    }
    return due;
}

std::optional<BootTime> EndpointRoster::nextRemovalAt() const
{
    std::optional<BootTime> next;
    for (const auto &[id, entry] : entries_) {
        if (entry.removeAt && (!next || *entry.removeAt < *next)) {
            next = entry.removeAt;
        }
    }
    return next;
}

EndpointSnapshot EndpointRoster::snapshot(std::uint64_t version, BootTime now) const
{
    EndpointSnapshot snapshot{.version = version, .endpoints = {}};
    for (const auto &[id, entry] : entries_) {
        if (entry.removeAt) {
            const auto timeLeft = std::chrono::ceil<Duration>(std::max(*entry.removeAt - now, BootClock::duration(0)));
            snapshot.retained.push_back({.record = entry.record, .timeLeft = timeLeft});
        } else {
            snapshot.endpoints.push_back(entry.record);
        }
    }
    return snapshot;
}

std::optional<PendingRemoval> EndpointRoster::onRetainedByPeer(std::string_view id, Duration timeLeft, BootTime now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.removeAt) {
        return std::nullopt;
    }
    onListResponse(now);
    found->second.removeAt = std::max(now + timeLeft, recoveryEndsAt_);
    return PendingRemoval{.id = found->first, .removeAt = *found->second.removeAt};
}

} // namespace magnolia::routing
