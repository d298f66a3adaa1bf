#include "agent/rolloutgate.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace magnolia::agent
{

std::string slotHolder(const std::string &value)
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object() || !json.contains("endpoint") || !json["endpoint"].is_string()) {
        return {};
    }
    return json["endpoint"].get<std::string>();
}

RolloutGate::RolloutGate(Options options) : options_(std::move(options)) {}

RolloutDecision RolloutGate::decide(const RolloutView &view, MonoTime now)
{
    watch(view, now);
    const auto own = ownSlot(view);
    if (view.inPlace) {
        return {.mayMove = false, .holdsSlot = own.has_value(), .write = own ? std::optional(writeOf(view, *own, {})) : std::nullopt};
    }
    if (own) {
        // One that has left service already keeps its slot until it is back, whatever became of the others meanwhile.
        const bool mayMove = !view.servesOther || keepsFloor(view, now);
        if (!mayMove) {
            // The slot is given back, so that two who block each other don't do so for ever.
            return {.mayMove = false, .holdsSlot = true, .write = writeOf(view, *own, {})};
        }
        const bool renews = now - seen_.at(*own).since >= options_.renewInterval;
        return {.mayMove = true, .holdsSlot = true, .write = renews ? std::optional(writeOf(view, *own, options_.endpoint)) : std::nullopt};
    }
    if (!view.servesOther || !keepsFloor(view, now)) {
        return {};
    }
    for (std::uint32_t slot = 0; slot < view.maxMoving; ++slot) {
        if (isFree(view, slot, now)) {
            return {.mayMove = false, .holdsSlot = false, .write = writeOf(view, slot, options_.endpoint)};
        }
    }
    return {};
}

void RolloutGate::watch(const RolloutView &view, MonoTime now)
{
    std::erase_if(seen_, [&view](const auto &entry) { return !view.slots.contains(entry.first); });
    for (const auto &[slot, row] : view.slots) {
        const auto found = seen_.find(slot);
        if (found == seen_.end() || found->second.revision != row.revision) {
            seen_[slot] = {.revision = row.revision, .since = now};
        }
    }
}

bool RolloutGate::isFree(const RolloutView &view, std::uint32_t slot, MonoTime now) const
{
    const auto row = view.slots.find(slot);
    if (row == view.slots.end() || slotHolder(row->second.value).empty()) {
        return true;
    }
    // Wall clocks are not compared: a lease has lapsed if nothing changed for its time as measured here.
    return now - seen_.at(slot).since >= options_.leaseTime;
}

bool RolloutGate::keepsFloor(const RolloutView &view, MonoTime now) const
{
    std::set<std::string> staying = view.peersServing;
    for (const auto &[slot, row] : view.slots) {
        const std::string holder = slotHolder(row.value);
        if (holder != options_.endpoint && !isFree(view, slot, now)) {
            staying.erase(holder);
        }
    }
    // A floor of all endpoints could never change its version; one may always be out.
    const std::uint32_t floor = std::min(view.servingFloor, view.endpoints - std::min(view.endpoints, 1U));
    return staying.size() >= floor;
}

std::optional<std::uint32_t> RolloutGate::ownSlot(const RolloutView &view) const
{
    for (const auto &[slot, row] : view.slots) {
        if (slotHolder(row.value) == options_.endpoint) {
            return slot;
        }
    }
    return std::nullopt;
}

WriteSlot RolloutGate::writeOf(const RolloutView &view, std::uint32_t slot, const std::string &holder)
{
    const auto row = view.slots.find(slot);
    return {
        .slot = slot,
        .ifRevision = row == view.slots.end() ? std::nullopt : std::optional(row->second.revision),
        .value = nlohmann::json({{"endpoint", holder}, {"beat", ++beat_}}).dump(),
    };
}

} // namespace magnolia::agent
