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
        runs_.insert_or_assign(record.id,
                               Run{.incarnation = record.incarnation,
                                   .service = record.service,
                                   .address = record.address,
                                   .isLeaving = record.isLeaving,
                                   .heartbeat = record.heartbeat,
                                   .isListed = true,
                                   .unlistedAt = {},
                                   .unconfirmed = {}});
        return record;
    }
    Run &known = found->second;
    known.isListed = true;
    known.heartbeat = std::max(known.heartbeat, record.heartbeat);
    return judgeReadiness(record, known, now);
}

EndpointRecord ListedRuns::judgeReadiness(EndpointRecord record, Run &known, BootTime now)
{
    const bool isSameRun = known.incarnation.isKnown() && record.incarnation.isKnown();
    known.incarnation = StatedIncarnation::laterOf(known.incarnation, record.incarnation);
    if (record.isLeaving) {
        known.isLeaving = true;
        known.unconfirmed.reset();
        return record;
    }
    if (!known.isLeaving) {
        return record;
    }
    if (!isSameRun) {
        const BootTime since = known.unconfirmed ? known.unconfirmed->since : now;
        known.unconfirmed = UnconfirmedEntry{.record = record, .since = since};
    }
    record.isLeaving = true;
    return record;
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
            run.isLeaving = false;
            confirmed.push_back(std::move(run.unconfirmed->record));
            run.unconfirmed.reset();
        }
    }
    return confirmed;
}

} // namespace magnolia::routing
