#include "routing/endpointroster.h"

#include <algorithm>

namespace magnolia::routing
{

void EndpointRoster::put(std::string_view id)
{
    due_.insert_or_assign(std::string(id), std::nullopt);
}

std::optional<Absence> EndpointRoster::removed(std::string_view id, BootTime now)
{
    const auto found = due_.find(id);
    if (found == due_.end() || found->second) {
        return std::nullopt;
    }
    const bool isAfterOutage = regainedAt_ && now < *regainedAt_ + options_.comeBackTime;
    found->second = isAfterOutage ? *regainedAt_ + options_.comeBackTime : now;
    return Absence{.id = found->first, .goneAt = *found->second};
}

std::vector<Absence> EndpointRoster::all(std::span<const std::string> ids, BootTime now)
{
    std::vector<Absence> absences;
    for (const auto &[id, due] : due_) {
        if (std::find(ids.begin(), ids.end(), id) != ids.end()) {
            continue;
        }
        if (auto absence = removed(id, now)) {
            absences.push_back(std::move(*absence));
        }
    }
    return absences;
}

void EndpointRoster::listLost()
{
    isListLost_ = true;
}

void EndpointRoster::listRegained(BootTime now)
{
    if (isListLost_) {
        isListLost_ = false;
        regainedAt_ = now;
    }
}

std::vector<std::string> EndpointRoster::takeDue(BootTime now)
{
    std::vector<std::string> taken;
    if (isListLost_) {
        return taken; // Its return decides.
    }
    for (auto entry = due_.begin(); entry != due_.end();) {
        if (entry->second && *entry->second <= now) {
            taken.push_back(entry->first);
            entry = due_.erase(entry);
        } else {
            ++entry;
        }
    }
    return taken;
}

std::optional<BootTime> EndpointRoster::nextDue() const
{
    std::optional<BootTime> next;
    for (const auto &[id, due] : due_) {
        if (due && (!next || *due < *next)) {
            next = due;
        }
    }
    return next;
}

} // namespace magnolia::routing
