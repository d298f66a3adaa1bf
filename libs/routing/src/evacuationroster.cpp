#include "routing/evacuationroster.h"

#include <algorithm>
#include <chrono>

namespace magnolia::routing
{

void EvacuationRoster::onStoreRestored(BootTime now)
{
    for (auto &[dataCentre, until] : evacuations_) {
        until = until.value_or(now + options_.retention);
    }
}

bool EvacuationRoster::apply(const EvacuationSnapshot &snapshot, BootTime now)
{
    if (snapshot.version < version_) {
        return false;
    }
    version_ = snapshot.version;
    std::erase_if(evacuations_, [](const auto &entry) { return !entry.second; });
    for (const std::string &dataCentre : snapshot.dataCentres) {
        evacuations_[dataCentre] = std::nullopt;
    }
    for (const RetainedEvacuation &retained : snapshot.retained) {
        evacuations_.emplace(retained.dataCentre, now + std::min(retained.timeLeft, options_.retention));
    }
    return true;
}

bool EvacuationRoster::apply(const EvacuationChanges &changes)
{
    if (changes.version < version_) {
        return false;
    }
    version_ = changes.version;
    for (const std::string &dataCentre : changes.ended) {
        evacuations_.erase(dataCentre);
    }
    for (const std::string &dataCentre : changes.begun) {
        evacuations_[dataCentre] = std::nullopt;
    }
    return true;
}

EvacuationRoster::DataCentres EvacuationRoster::takeExpired(BootTime now)
{
    DataCentres expired;
    std::erase_if(evacuations_, [&](const auto &entry) {
        const bool isOver = entry.second && now >= *entry.second;
        if (isOver) {
            expired.insert(entry.first);
        }
        return isOver;
    });
    return expired;
}

std::optional<BootTime> EvacuationRoster::nextExpiryAt() const
{
    std::optional<BootTime> next;
    for (const auto &[dataCentre, until] : evacuations_) {
        if (until) {
            next = std::min(next.value_or(*until), *until);
        }
    }
    return next;
}

EvacuationRoster::DataCentres EvacuationRoster::dataCentres() const
{
    DataCentres names;
    for (const auto &[dataCentre, until] : evacuations_) {
        names.insert(dataCentre);
    }
    return names;
}

EvacuationSnapshot EvacuationRoster::snapshot(BootTime now) const
{
    EvacuationSnapshot snapshot{.version = version_};
    for (const auto &[dataCentre, until] : evacuations_) {
        if (until) {
            const auto left = std::chrono::ceil<Duration>(*until - now);
            snapshot.retained.push_back({.dataCentre = dataCentre, .timeLeft = std::max(left, Duration(0))});
        } else {
            snapshot.dataCentres.push_back(dataCentre);
        }
    }
    return snapshot;
}

} // namespace magnolia::routing
