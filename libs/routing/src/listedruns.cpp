#include "routing/listedruns.h"

#include <algorithm>
#include <utility>

namespace magnolia::routing
{

namespace
{

// The platform drops an entry after three missed renewals; one more covers the time until the removal is seen.
constexpr int ConfirmedAfterRenewals = 4;

// Limit on the remembered runs of endpoints that are missing from the list. A write is performed seconds late at most.
constexpr std::size_t MaxFormerRuns = 4000;

} // namespace

/** Endpoints keep their service and address for a whole run. */
bool ListedRuns::isLaterRun(const EndpointRecord &record, const Run &known)
{
    return known.incarnation.isEarlierThan(record.incarnation) || known.service != record.service || known.address != record.address;
}

std::optional<ListedRuns::FormerRun> ListedRuns::formerRun(std::string_view id) const
{
    const auto found = runs_.find(id);
    if (found == runs_.end() || found->second.isListed) {
        return std::nullopt;
    }
    const Run &run = found->second;
    return FormerRun{.incarnation = run.incarnation, .heartbeat = run.heartbeat, .unlistedAt = run.unlistedAt};
}

std::optional<EndpointRecord> ListedRuns::apply(const EndpointRecord &record, BootTime now)
{
    const auto found = runs_.find(record.id);
    if (found != runs_.end() && record.incarnation.isEarlierThan(found->second.incarnation)) {
        return std::nullopt;
    }
    if (found == runs_.end() || isLaterRun(record, found->second)) {
        Run run{.incarnation = record.incarnation,
                .service = record.service,
                .address = record.address,
                .isLeaving = record.isLeaving,
                .heartbeat = record.isUnproven ? 0 : record.heartbeat,
                .listedAt = record.listedAt,
                .isGone = record.isUnproven,
                .unlistedAt = {},
                .unconfirmed = {}};
        if (record.isUnproven) {
            hold(record, run, now);
        }
        runs_.insert_or_assign(record.id, std::move(run));
        return record;
    }
    Run &known = found->second;
    known.isListed = true;
    // A peer has seen a removal that this entry has missed.
    known.isGone = known.isGone || (record.isUnproven && record.listedAt > known.listedAt);
    known.listedAt = std::max(known.listedAt, record.listedAt);
    return judgeReadiness(record, known, now);
}

EndpointRecord ListedRuns::judgeReadiness(EndpointRecord record, Run &known, BootTime now)
{
    const bool isSameRun = known.incarnation.isKnown() && record.incarnation.isKnown();
    known.incarnation = StatedIncarnation::laterOf(known.incarnation, record.incarnation);
    record.isUnproven = false;
    if (record.isLeaving) {
        known.isLeaving = true;
        known.unconfirmed.reset();
        return record;
    }
    if (!known.isLeaving && !known.isGone) {
        known.heartbeat = std::max(known.heartbeat, record.heartbeat);
        return record;
    }
    if (!known.isLeaving || !isSameRun) {
        hold(record, known, now);
    }
    (known.isLeaving ? record.isLeaving : record.isUnproven) = true;
    return record;
}

/** Entries that differ in their version are different ones: each expires by itself. */
void ListedRuns::hold(const EndpointRecord &record, Run &known, BootTime now)
{
    const bool isSameEntry = known.unconfirmed && known.unconfirmed->record.listedAt == record.listedAt;
    known.unconfirmed = UnconfirmedEntry{.record = record, .since = isSameEntry ? known.unconfirmed->since : now};
}

EndpointRecord ListedRuns::release(Run &run)
{
    EndpointRecord record = std::move(run.unconfirmed->record);
    run.unconfirmed.reset();
    run.isLeaving = false;
    run.isGone = false;
    run.heartbeat = std::max(run.heartbeat, record.heartbeat);
    record.isUnproven = false;
    return record;
}

void ListedRuns::onGone(std::string_view id)
{
    if (const auto found = runs_.find(id); found != runs_.end() && !found->second.isListed) {
        found->second.isGone = true;
    }
}

bool ListedRuns::isOutdated(const EndpointRecord &record) const
{
    const auto found = runs_.find(record.id);
    if (found == runs_.end() || isLaterRun(record, found->second)) {
        return false;
    }
    return record.incarnation.isEarlierThan(found->second.incarnation) || (record.heartbeat > 0 && record.heartbeat <= found->second.heartbeat);
}

bool ListedRuns::mayRun(std::string_view id) const
{
    const auto found = runs_.find(id);
    const bool isUnproven = found != runs_.end() && found->second.unconfirmed && !found->second.isLeaving;
    return isUnproven && !isOutdated(found->second.unconfirmed->record);
}

std::optional<EndpointRecord> ListedRuns::onShownToRun(std::string_view id)
{
    const auto found = runs_.find(id);
    const bool isUnproven = found != runs_.end() && found->second.isListed && found->second.unconfirmed && !found->second.isLeaving;
    return isUnproven ? std::optional(release(found->second)) : std::nullopt;
}

void ListedRuns::onUnlisted(std::string_view id, BootTime now)
{
    const auto found = runs_.find(id);
    if (found == runs_.end() || !std::exchange(found->second.isListed, false)) {
        return;
    }
    found->second.unlistedAt = now;
    found->second.unconfirmed.reset();
    formerIds_.push_back(found->first);
    if (formerIds_.size() <= MaxFormerRuns) {
        return;
    }
    const auto oldest = runs_.find(formerIds_.front());
    if (oldest != runs_.end() && !oldest->second.isListed) {
        runs_.erase(oldest);
    }
    formerIds_.pop_front();
}

std::vector<EndpointRecord> ListedRuns::takeConfirmed(BootTime asOf)
{
    std::vector<EndpointRecord> confirmed;
    for (auto &[id, run] : runs_) {
        if (run.unconfirmed && run.unconfirmed->since + ConfirmedAfterRenewals * options_.renewalInterval <= asOf) {
            confirmed.push_back(release(run));
        }
    }
    return confirmed;
}

} // namespace magnolia::routing
