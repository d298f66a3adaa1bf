#include "forward/endpointlist.h"

#include "observe/log.h"
#include "store/storeversion.h"

#include <algorithm>
#include <vector>

namespace magnolia::forward
{

namespace
{

constexpr Duration MinRemovalDelay{20};

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("endpoints");
    return instance;
}

} // namespace

EndpointList::EndpointList(event_base *loop, ForwardTask &task, routing::EndpointRoster::Options options)
    : task_(task), roster_(options), removalTimer_(loop, [this] { removeExpired(); })
{
}

/** An answer to a question put before a peer told of more would bring back what has left. @return false if it is older. */
bool EndpointList::acceptVersion(std::uint64_t version)
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
    const bool wasEmpty = version_ == 0;
    if (!acceptVersion(listing.version)) {
        return;
    }
    std::vector<std::string> ids;
    ids.reserve(listing.endpoints.size());
    for (const routing::EndpointRecord &record : listing.endpoints) {
        ids.push_back(record.id);
    }
    const BootTime now = BootClock::now();
    for (const routing::KeptEndpoint &kept : listing.kept) {
        if (wasEmpty) {
            putRecords(std::span(&kept.record, 1));
        }
        if (const auto absence = roster_.keptByPeer(kept.record.id, kept.left, now)) {
            logAbsence(*absence, now);
        }
    }
    for (const routing::Absence &absence : roster_.all(ids, now)) {
        logAbsence(absence, now);
    }
    putRecords(listing.endpoints);
    removeExpired();
}

void EndpointList::applyDelta(const routing::EndpointListing &changed, std::span<const std::string> gone)
{
    if (!acceptVersion(changed.version)) {
        return;
    }
    putRecords(changed.endpoints); // One that says that it leaves and goes at once is kept, if at all, as one that leaves.
    const BootTime now = BootClock::now();
    for (const std::string &id : gone) {
        if (const auto absence = roster_.removed(id, now)) {
            logAbsence(*absence, now);
        }
    }
    removeExpired();
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

void EndpointList::putRecords(std::span<const routing::EndpointRecord> records)
{
    for (const routing::EndpointRecord &record : records) {
        roster_.put(record);
        task_.putEndpoint(record);
    }
    isSnapshotStale_ = true;
}

/** Tells one that still gets requests for a while from one that does not. */
void EndpointList::logAbsence(const routing::Absence &absence, BootTime now)
{
    const auto kept = std::chrono::duration_cast<Duration>(absence.goneAt - now);
    log()->info("Not on the list any more id={} kept_ms={}", absence.id, kept.count());
}

void EndpointList::confirm(BootTime asOf)
{
    confirmedAt_ = std::max(confirmedAt_, asOf);
    roster_.confirmed(asOf, BootClock::now());
    removeExpired();
}

std::string_view EndpointList::encodedSnapshot()
{
    if (isSnapshotStale_ || roster_.nextDue()) { // How long one is still kept changes all the while.
        isSnapshotStale_ = false;
        snapshot_ = routing::encodeListing(roster_.listing(version_, BootClock::now()));
    }
    return snapshot_;
}

void EndpointList::removeExpired()
{
    const BootTime now = BootClock::now();
    for (const std::string &id : roster_.takeDue(now)) {
        isSnapshotStale_ = true;
        task_.removeEndpoint(id);
    }
    // What is overdue waits for the next word of the list.
    const auto next = roster_.nextDue();
    if (next && *next > now) {
        removalTimer_.start(std::max(std::chrono::ceil<Duration>(*next - now), MinRemovalDelay));
    }
}

} // namespace magnolia::forward
