#include "forward/endpointlist.h"

#include "observe/log.h"
#include "store/storeversion.h"

#include <algorithm>
#include <vector>

namespace magnolia::forward
{

namespace
{

constexpr Duration SoonestRemoval{20};

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("endpoints");
    return instance;
}

} // namespace

EndpointList::EndpointList(event_base *loop, ForwardTask &task, routing::EndpointRoster::Options options)
    : task_(task), roster_(options), removalTimer_(loop, [this] { removeDue(); })
{
}

/** An answer to a question put before a peer told of more would bring back what has left. @return false if it is older. */
bool EndpointList::takesVersion(std::uint64_t version)
{
    if (version < version_) {
        log()->info("An answer is older than what is known version={} own={}", version, version_);
        return false;
    }
    if (version_ > 0 && store::eraOf(version) > store::eraOf(version_)) {
        roster_.wentBack(BootClock::now());
    }
    version_ = version;
    return true;
}

void EndpointList::applySnapshot(const routing::EndpointListing &listing)
{
    const bool knewNothing = version_ == 0;
    if (!takesVersion(listing.version)) {
        return;
    }
    std::vector<std::string> ids;
    ids.reserve(listing.endpoints.size());
    for (const routing::EndpointRecord &record : listing.endpoints) {
        ids.push_back(record.id);
    }
    const BootTime now = BootClock::now();
    for (const routing::KeptEndpoint &kept : listing.kept) {
        if (knewNothing) {
            put(std::span(&kept.record, 1));
        }
        if (const auto absence = roster_.keptByPeer(kept.record.id, kept.left, now)) {
            noteAbsence(*absence, now);
        }
    }
    for (const routing::Absence &absence : roster_.all(ids, now)) {
        noteAbsence(absence, now);
    }
    put(listing.endpoints);
    removeDue();
}

void EndpointList::applyDelta(const routing::EndpointListing &changed, std::span<const std::string> gone)
{
    if (!takesVersion(changed.version)) {
        return;
    }
    put(changed.endpoints); // One that says that it leaves and goes at once is kept, if at all, as one that leaves.
    const BootTime now = BootClock::now();
    for (const std::string &id : gone) {
        if (const auto absence = roster_.removed(id, now)) {
            noteAbsence(*absence, now);
        }
    }
    removeDue();
}

void EndpointList::applyPeerSnapshot(std::string_view document)
{
    const auto listing = routing::decodeListing(document);
    if (!listing) {
        log()->error("A peer's list can't be used, the last one stays cause={}", listing.error().detail);
        return;
    }
    applySnapshot(*listing);
}

void EndpointList::put(std::span<const routing::EndpointRecord> records)
{
    for (const routing::EndpointRecord &record : records) {
        roster_.put(record);
        task_.putEndpoint(record);
    }
    isDocumentOld_ = true;
}

/** Tells one that still gets requests for a while from one that does not. */
void EndpointList::noteAbsence(const routing::Absence &absence, BootTime now)
{
    const auto kept = std::chrono::duration_cast<Duration>(absence.goneAt - now);
    log()->info("Not on the list any more id={} kept_ms={}", absence.id, kept.count());
}

void EndpointList::confirm(BootTime asOf)
{
    provedAt_ = std::max(provedAt_, asOf);
    roster_.confirmed(asOf, BootClock::now());
    removeDue();
}

std::string_view EndpointList::encodedSnapshot()
{
    if (isDocumentOld_ || roster_.nextDue()) { // How long one is still kept changes all the while.
        isDocumentOld_ = false;
        document_ = routing::encodeListing(roster_.listing(version_, BootClock::now()));
    }
    return document_;
}

void EndpointList::removeDue()
{
    const BootTime now = BootClock::now();
    for (const std::string &id : roster_.takeDue(now)) {
        isDocumentOld_ = true;
        task_.removeEndpoint(id);
    }
    // What is overdue waits for the next word of the list.
    const auto next = roster_.nextDue();
    if (next && *next > now) {
        removalTimer_.start(std::max(std::chrono::ceil<Duration>(*next - now), SoonestRemoval));
    }
}

} // namespace magnolia::forward
