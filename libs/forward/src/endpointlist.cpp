#include "forward/endpointlist.h"

#include "observe/log.h"
#include "returncheck.h"
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

/** @param isKnownRun whether the entry belongs to the known run of the endpoint, which leaves, and not to an earlier one. */
void logOutdated(const routing::EndpointRecord &record, bool isKnownRun)
{
    log()->warn("Outdated entry of an endpoint ignored id={} cause={} incarnation={} listed_at={} heartbeat={}",
                record.id,
                isKnownRun ? "the endpoint leaves" : "a later run is known",
                record.incarnation.startedAtMs().value_or(0),
                record.listedAt,
                record.heartbeat);
}

/** @param former what was known of the endpoint when it was last on the list. */
void logListedAgain(const routing::EndpointRecord &record, const routing::ListedRuns::FormerRun &former, BootTime now)
{
    log()->info("Endpoint listed again id={} missing_ms={} heartbeat={} last_heartbeat={} incarnation={} last_incarnation={} listed_at={}",
                record.id,
                std::chrono::duration_cast<Duration>(now - former.unlistedAt).count(),
                record.heartbeat,
                former.heartbeat,
                record.incarnation.startedAtMs().value_or(0),
                former.incarnation.startedAtMs().value_or(0),
                record.listedAt);
}

} // namespace

EndpointList::EndpointList(event_base *loop, ForwardTask &task, routing::EndpointRoster::Options options)
    : loop_(loop)
    , task_(task)
    , renewalInterval_(options.renewalInterval)
    , roster_(options)
    , runs_({.renewalInterval = options.renewalInterval})
    , removalTimer_(loop, [this] { removeExpired(); })
{
}

EndpointList::~EndpointList() = default;

/**
 * Checks and adopts a list's version. A late answer of the store may be older than what a peer has sent since, and would
 * bring back endpoints that have left.
 *
 * @return false if the version is older than the known one.
 */
bool EndpointList::acceptVersion(std::uint64_t version)
{
    if (version < version_) {
        log()->info("Outdated endpoint list ignored version={} own={}", version, version_);
        return false;
    }
    if (version_ > 0 && store::eraOf(version) > store::eraOf(version_)) {
        roster_.onListRolledBack(BootClock::now());
    }
    version_ = version;
    return true;
}

void EndpointList::applySnapshot(const routing::EndpointSnapshot &listing)
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
    for (const routing::RetainedEndpoint &kept : listing.retained) {
        if (wasEmpty) {
            putRecords(std::span(&kept.record, 1));
        }
        if (const auto absence = roster_.onRetainedByPeer(kept.record.id, kept.timeLeft, now)) {
            onUnlisted(*absence, now);
        }
    }
    for (const routing::PendingRemoval &absence : roster_.onFullList(ids, now)) {
        onUnlisted(absence, now);
    }
    putRecords(listing.endpoints);
    if (wasEmpty) {
        task_.onFirstListComplete();
    }
    removeExpired();
}

void EndpointList::applyDelta(const Delta &delta)
{
    if (!acceptVersion(delta.changed.version)) {
        return;
    }
    removeOutdated(delta);
    // Before the removals: an endpoint that is leaving and removed in the same delta must not be kept as one that accepts work.
    putRecords(delta.changed.endpoints);
    unlist(delta.gone);
}

/** An endpoint whose entry lapsed and was renewed within one answer stays in use, unless the entry was written before a known one. */
void EndpointList::removeOutdated(const Delta &delta)
{
    for (const routing::EndpointRecord &record : delta.changed.endpoints) {
        const auto relisted = std::find(delta.relisted.begin(), delta.relisted.end(), record.id);
        if (relisted != delta.relisted.end() && runs_.isOutdated(record)) {
            unlist(std::span(&*relisted, 1));
        }
    }
}

void EndpointList::unlist(std::span<const std::string> ids)
{
    const BootTime now = BootClock::now();
    for (const std::string &id : ids) {
        if (const auto absence = roster_.onEntryRemoved(id, now)) {
            onUnlisted(*absence, now);
        }
    }
    removeExpired();
}

void EndpointList::applyPeerSnapshot(std::string_view document)
{
    const auto listing = routing::decodeSnapshot(document);
    if (!listing) {
        log()->error("Endpoint list of a peer unreadable, ignored cause={}", listing.error().detail);
        return;
    }
    applySnapshot(*listing);
}

void EndpointList::putRecords(std::span<const routing::EndpointRecord> records)
{
    const BootTime now = BootClock::now();
    isSnapshotStale_ = true; // The version may have changed although no entry has.
    for (const routing::EndpointRecord &record : records) {
        if (const auto former = runs_.formerRun(record.id)) {
            logListedAgain(record, *former, now);
        }
        const auto current = runs_.apply(record, now);
        if (!current || current->isLeaving != record.isLeaving) {
            logOutdated(record, current.has_value());
        }
        if (!current) {
            continue;
        }
        if (current->isUnproven) {
            holdBack(*current);
        } else {
            putRecord(*current);
        }
    }
}

/** The endpoint stays in the roster, and so in the list for peers, but the task doesn't get to know it. */
void EndpointList::holdBack(const routing::EndpointRecord &record)
{
    roster_.put(record);
    task_.removeEndpoint(record.id);
    const auto found = returnChecks_.find(record.id);
    if (found != returnChecks_.end() && found->second->endpoint().listedAt == record.listedAt) {
        return;
    }
    const bool mayRun = runs_.mayRun(record.id);
    log()->info("Endpoint unproven, not used id={} address={} listed_at={} heartbeat={} asked={}",
                record.id,
                record.address,
                record.listedAt,
                record.heartbeat,
                mayRun);
    returnChecks_.erase(record.id);
    if (mayRun) {
        ReturnCheck::Options options{.loop = loop_, .task = task_, .endpoint = record, .interval = renewalInterval_};
        returnChecks_.emplace(record.id, std::make_unique<ReturnCheck>(std::move(options), [this, id = record.id] { onShownToRun(id); }));
    }
}

void EndpointList::onShownToRun(const std::string &id)
{
    if (const auto record = runs_.onShownToRun(id)) {
        log()->info("Endpoint has returned, using it again id={} listed_at={}", record->id, record->listedAt);
        putRecord(*record);
    }
}

void EndpointList::putRecord(const routing::EndpointRecord &record)
{
    returnChecks_.erase(record.id);
    roster_.put(record);
    coldUntil_ = std::max(coldUntil_, record.coldUntil);
    task_.putEndpoint(record);
    isSnapshotStale_ = true;
}

/** Also logs for how long the endpoint still receives requests. */
void EndpointList::onUnlisted(const routing::PendingRemoval &absence, BootTime now)
{
    runs_.onUnlisted(absence.id, now);
    const auto kept = std::chrono::duration_cast<Duration>(absence.removeAt - now);
    log()->info("Endpoint no longer listed id={} kept_ms={}", absence.id, kept.count());
}

void EndpointList::confirm(BootTime asOf)
{
    confirmedAt_ = std::max(confirmedAt_, asOf);
    roster_.onListConfirmed(asOf, BootClock::now());
    for (const routing::EndpointRecord &record : runs_.takeConfirmed(asOf)) {
        log()->info("Endpoint stays listed as ready, using it again id={} listed_at={}", record.id, record.listedAt);
        putRecord(record);
    }
    removeExpired();
}

std::string_view EndpointList::encodedSnapshot()
{
    // The remaining times of unlisted and of cold endpoints change continuously.
    if (isSnapshotStale_ || roster_.nextRemovalAt() || snapshotAt_ < coldUntil_) {
        isSnapshotStale_ = false;
        snapshotAt_ = BootClock::now();
        snapshot_ = routing::encodeSnapshot(roster_.snapshot(version_, BootClock::now()));
    }
    return snapshot_;
}

void EndpointList::removeExpired()
{
    const BootTime now = BootClock::now();
    for (const std::string &id : roster_.takeDueRemovals(now)) {
        isSnapshotStale_ = true;
        runs_.onGone(id);
        returnChecks_.erase(id);
        task_.removeEndpoint(id);
    }
    // An endpoint that is overdue but was not removed stays until the list is next updated or confirmed.
    const auto next = roster_.nextRemovalAt();
    if (next && *next > now) {
        removalTimer_.start(std::max(std::chrono::ceil<Duration>(*next - now), MinRemovalDelay));
    }
}

} // namespace magnolia::forward
