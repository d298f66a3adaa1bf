#include "prefixcache.h"

#include <algorithm>

namespace magnolia::standins
{

namespace
{

constexpr std::size_t MaxEventsKept = 1024;

} // namespace

bool PrefixCache::use(const std::string &prefix, MonoTime now)
{
    const auto found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
    if (found != prefixes_.end()) {
        prefixes_.splice(prefixes_.begin(), prefixes_, found);
        return true;
    }
    prefixes_.push_front(prefix);
    publish(true, prefix, now);
    if (prefixes_.size() > options_.capacity) {
        publish(false, prefixes_.back(), now);
        prefixes_.pop_back();
    }
    return false;
}

Json PrefixCache::eventsAfter(std::uint64_t sequence, MonoTime now) const
{
    Json shown = Json::array();
    std::uint64_t next = sequence;
    for (const Event &event : events_) {
        if (event.sequence <= sequence || event.at + options_.eventLag > now) {
            continue;
        }
        next = event.sequence;
        shown.push_back({{"seq", event.sequence}, {"kind", event.isStored ? "stored" : "evicted"}, {"prefix", event.prefix}});
    }
    return {{"events", shown}, {"next", next}};
}

void PrefixCache::clear()
{
    prefixes_.clear();
    events_.clear();
}

void PrefixCache::publish(bool isStored, const std::string &prefix, MonoTime now)
{
    ++lastSequence_;
    const bool isGap = options_.gapEvery != 0 && lastSequence_ % options_.gapEvery == 0;
    if (isGap) {
        return;
    }
    events_.push_back({.sequence = lastSequence_, .at = now, .isStored = isStored, .prefix = prefix});
    if (events_.size() > MaxEventsKept) {
        events_.pop_front();
    }
}

} // namespace magnolia::standins
