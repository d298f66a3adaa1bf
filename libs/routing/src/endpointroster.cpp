#include "routing/endpointroster.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

// The platform drops an entry after three renewals are missed. The last one may have come one interval before the list went
// away, so no entry lapses in an outage that is shorter than two.
constexpr int RenewalsMissedInOutage = 2;

} // namespace

void EndpointRoster::put(const EndpointRecord &record)
{
    entries_.insert_or_assign(record.id, Entry{.record = record, .removeAt = {}});
}

/** Whether entries may have lapsed since the list was last known to serve. */
bool EndpointRoster::mayHaveBeenAway(BootTime now) const
{
    return knownAsOf_ && now - *knownAsOf_ >= RenewalsMissedInOutage * options_.renewalInterval;
}

/**
 * The list is heard of again. Only a silence in which entries can lapse opens the time in which they may come back: an
 * endpoint that left while this instance alone was cut off was otherwise kept for that time too, and got requests long after
 * all other instances had given it up.
 */
void EndpointRoster::heard(BootTime now)
{
    if (mayHaveBeenAway(now)) {
        comeBackUntil_ = now + options_.recoveryTime;
    }
}

std::optional<PendingRemoval> EndpointRoster::onEntryRemoved(std::string_view id, BootTime now)
{
    heard(now);
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.removeAt) {
        return std::nullopt;
    }
    found->second.removeAt = std::max(now, comeBackUntil_);
    return PendingRemoval{.id = found->first, .removeAt = *found->second.removeAt};
}

std::vector<PendingRemoval> EndpointRoster::onFullList(std::span<const std::string> ids, BootTime now)
{
    std::vector<PendingRemoval> absences;
    for (const auto &[id, entry] : entries_) {
        if (std::find(ids.begin(), ids.end(), id) != ids.end()) {
            continue;
        }
        if (auto absence = onEntryRemoved(id, now)) {
            absences.push_back(std::move(*absence));
        }
    }
    return absences;
}

void EndpointRoster::onListConfirmed(BootTime asOf, BootTime now)
{
    heard(now);
    knownAsOf_ = knownAsOf_ ? std::max(*knownAsOf_, asOf) : asOf;
}

std::vector<std::string> EndpointRoster::takeDueRemovals(BootTime now)
{
    std::vector<std::string> taken;
    if (mayHaveBeenAway(now)) {
        return taken;
    }
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        if (entry->second.removeAt && *entry->second.removeAt <= now) {
            taken.push_back(entry->first);
            entry = entries_.erase(entry);
        } else {
            ++entry;
        }
    }
    return taken;
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
    EndpointSnapshot listing{.version = version, .endpoints = {}};
    for (const auto &[id, entry] : entries_) {
        if (entry.removeAt) {
            const auto left = std::chrono::ceil<Duration>(std::max(*entry.removeAt - now, BootClock::duration(0)));
            listing.retained.push_back({.record = entry.record, .timeLeft = left});
        } else {
            listing.endpoints.push_back(entry.record);
        }
    }
    return listing;
}

std::optional<PendingRemoval> EndpointRoster::onRetainedByPeer(std::string_view id, Duration left, BootTime now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.removeAt) {
        return std::nullopt;
    }
    heard(now);
    found->second.removeAt = std::max(now + left, comeBackUntil_);
    return PendingRemoval{.id = found->first, .removeAt = *found->second.removeAt};
}

} // namespace magnolia::routing
