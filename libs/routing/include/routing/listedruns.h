#ifndef MAGNOLIA_ROUTING_LISTEDRUNS_H
#define MAGNOLIA_ROUTING_LISTEDRUNS_H

#include "base/clock.h"
#include "base/statedincarnation.h"
#include "routing/endpointtable.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

/**
 * Remembers the latest known run of each endpoint, and whether that run leaves, so that an entry that was written late undoes no newer one.
 *
 * Endpoints write their entries without a condition, so a write may be performed long after a newer one. An endpoint that leaves does so until its run ends: an
 * entry of the same run that names it as ready is outdated. If the entries don't tell the runs apart, one that names a leaving endpoint as ready is outdated,
 * or of an endpoint that started anew. Only a live endpoint renews its entry, so the latter is confirmed once the entry has outlived the time after which
 * entries that are not renewed expire.
 *
 * What is known of an endpoint outlives its entry. No I/O and no timers. Lives as long as the list of one entry; not thread-safe.
 *
 * @code
 * if (const auto current = runs.apply(record, now)) { table.put(*current); }
 * for (const EndpointRecord &record : runs.takeConfirmed(asOf)) { table.put(record); } // after each confirmation of the list
 * @endcode
 */
class ListedRuns
{
public:
    struct Options {
        Duration renewalInterval{1200}; ///< Interval at which endpoints renew their entries, as defined by the platform.
    };

    explicit ListedRuns(Options options) : options_(options) {}

    /** What was last known of an endpoint that is missing from the list. */
    struct FormerRun {
        StatedIncarnation incarnation;
        std::uint64_t heartbeat = 0; ///< Highest one known; 0: unknown.
        BootTime unlistedAt;
    };

    /** @return nothing if the endpoint is listed, or is not known to have been. */
    std::optional<FormerRun> formerRun(std::string_view id) const;

    /** @return the entry as it is in force, leaving if its run is known to leave; nothing if it is of an earlier run than the known one. */
    std::optional<EndpointRecord> apply(const EndpointRecord &record, BootTime now);

    /** The endpoint is missing from the list. */
    void onUnlisted(std::string_view id, BootTime now);

    /** @param asOf the list was confirmed as of then. @return the entries that were taken for outdated and are in force from now on. */
    std::vector<EndpointRecord> takeConfirmed(BootTime asOf);

private:
    /** An entry that names a leaving endpoint as ready and may be of a later run. */
    struct UnconfirmedEntry {
        EndpointRecord record;
        BootTime since; ///< The list has named the endpoint as ready since then.
    };

    struct Run {
        StatedIncarnation incarnation;
        std::string service;
        std::string address;
        bool isLeaving = false;
        std::uint64_t heartbeat = 0; ///< Highest one known; 0: unknown.
        bool isListed = true;
        BootTime unlistedAt; ///< When it was last found missing from the list.
        std::optional<UnconfirmedEntry> unconfirmed;
    };

    static bool isLaterRun(const EndpointRecord &record, const Run &known);
    EndpointRecord judgeReadiness(EndpointRecord record, Run &known, BootTime now);

    Options options_;
    std::map<std::string, Run, std::less<>> runs_; ///< By id.
    std::deque<std::string> formerIds_; ///< In order of their removal from the list; those that were listed again are still in it.
};

} // namespace magnolia::routing

#endif
