#include "forward/evacuationlist.h"

#include "observe/log.h"
#include "store/storeversion.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace magnolia::forward
{

namespace
{

constexpr Duration MinExpiryDelay{20};

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("endpoints");
    return instance;
}

} // namespace

EvacuationList::EvacuationList(event_base *loop, ForwardTask &task, routing::EvacuationRoster::Options options)
    : task_(task), roster_(options), expiryTimer_(loop, [this] { endExpired(); }), startedAt_(BootClock::now())
{
}

/** Called before a list or change is applied: a higher era means that the store was restored from a backup. */
void EvacuationList::noteEra(std::uint64_t version)
{
    if (roster_.version() > 0 && store::eraOf(version) > store::eraOf(roster_.version())) {
        roster_.onStoreRestored(BootClock::now());
    }
}

void EvacuationList::applySnapshot(const routing::EvacuationSnapshot &snapshot)
{
    noteEra(snapshot.version);
    if (!roster_.apply(snapshot, BootClock::now())) {
        log()->info("Outdated list of evacuations ignored version={} own={}", snapshot.version, roster_.version());
        return;
    }
    startExpiryTimer();
    publishIfChanged();
}

void EvacuationList::applyChanges(const routing::EvacuationChanges &changes)
{
    noteEra(changes.version);
    if (!roster_.apply(changes)) {
        log()->info("Outdated changes of evacuations ignored version={} own={}", changes.version, roster_.version());
        return;
    }
    startExpiryTimer();
    publishIfChanged();
}

void EvacuationList::applyPeerSnapshot(std::string_view document)
{
    const auto snapshot = routing::decodeEvacuations(document);
    if (!snapshot) {
        log()->error("Evacuations of a peer unreadable, ignored cause={}", snapshot.error().detail);
        return;
    }
    applySnapshot(*snapshot);
}

void EvacuationList::publishIfChanged()
{
    routing::EvacuationRoster::DataCentres known = roster_.dataCentres();
    if (known == published_) {
        return;
    }
    published_ = std::move(known);
    task_.putEvacuations({.version = roster_.version(), .provedAt = std::max(confirmedAt_, startedAt_), .dataCentres = published_});
}

void EvacuationList::confirm(BootTime asOf)
{
    confirmedAt_ = std::max(confirmedAt_, asOf);
}

std::string_view EvacuationList::encodedSnapshot()
{
    encoded_ = routing::encodeEvacuations(roster_.snapshot(BootClock::now()));
    return encoded_;
}

/** Ends evacuations whose rows were lost with the store and not written again. */
void EvacuationList::endExpired()
{
    for (const std::string &dataCentre : roster_.takeExpired(BootClock::now())) {
        log()->warn("Lost evacuation not asked for again data_centre={} version={}", dataCentre, roster_.version());
    }
    publishIfChanged();
    startExpiryTimer();
}

void EvacuationList::startExpiryTimer()
{
    if (const auto next = roster_.nextExpiryAt()) {
        expiryTimer_.start(std::max(std::chrono::ceil<Duration>(*next - BootClock::now()), MinExpiryDelay));
    }
}

} // namespace magnolia::forward
