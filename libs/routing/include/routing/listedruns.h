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
 * Remembers the latest known run of each endpoint, and whether that run leaves or is gone, so that an entry that was written late undoes no newer one.
 *
 * Endpoints write their entries without a condition, so a write may be performed long after a newer one. An endpoint that leaves does so until its run ends: an
 * entry of the same run that names it as ready is outdated. If the entries don't tell the runs apart, one that names a leaving endpoint as ready is outdated,
 * or of an endpoint that started anew. Only a live endpoint renews its entry, so the latter is confirmed once the entry has outlived the time after which
 * entries that are not renewed expire.
 *
 * An endpoint that is gone and is listed again under the same run has either returned, or its entry was written late. It is unproven until it has shown that it
 * runs, or until its entry has outlived that time.
 *
 * What is known of an endpoint outlives its entry. No I/O and no timers. Lives as long as the list of one entry; not thread-safe.
 *
 * @code
 * if (const auto current = runs.apply(record, now)) { table.put(*current); }
 * if (const auto record = runs.onShownToRun(id)) { table.put(*record); } // after an unproven endpoint has answered
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

    /** @return the entry as it is in force, leaving or unproven by what is known of its run; nothing if it is of an earlier run than the known one. */
    std::optional<EndpointRecord> apply(const EndpointRecord &record, BootTime now);

    /** The endpoint is missing from the list. */
    void onUnlisted(std::string_view id, BootTime now);

    /** The endpoint is missing from the list and gets no requests any more. */
    void onGone(std::string_view id);

    /** Whether the entry was written before another known one of the endpoint, by what both state. */
    bool isOutdated(const EndpointRecord &record) const;

    /** @return false if the unproven endpoint's entry was written before another known one of its run, and therefore shows nothing. */
    bool mayRun(std::string_view id) const;

    /** The unproven endpoint has shown that it runs. @return its entry, in force from now on; nothing if it isn't unproven. */
    std::optional<EndpointRecord> onShownToRun(std::string_view id);

    /** @param asOf the list was confirmed as of then. @return the entries that were taken for outdated and are in force from now on. */
    std::vector<EndpointRecord> takeConfirmed(BootTime asOf);

private:
    /** An entry that names an endpoint as ready that leaves or is gone, as far as is known. */
    struct UnconfirmedEntry {
        EndpointRecord record;
        BootTime since; ///< The list has held this entry since then.
    };

    struct Run {
        StatedIncarnation incarnation;
        std::string service;
        std::string address;
        bool isLeaving = false;
        std::uint64_t heartbeat = 0; ///< Highest one of an entry that was in force; 0: unknown.
        std::uint64_t listedAt = 0; ///< Of its newest entry.
        bool isListed = true;
        bool isGone = false; ///< It has been gone, and has not been in use since.
        BootTime unlistedAt; ///< When it was last found missing from the list.
        std::optional<UnconfirmedEntry> unconfirmed;
    };

    static bool isLaterRun(const EndpointRecord &record, const Run &known);
    static void hold(const EndpointRecord &record, Run &known, BootTime now);
    static EndpointRecord judgeReadiness(EndpointRecord record, Run &known, BootTime now);
    static EndpointRecord release(Run &run);

    Options options_;
    std::map<std::string, Run, std::less<>> runs_; ///< By id.
    std::deque<std::string> formerIds_; ///< In order of their removal from the list; those that were listed again are still in it.
};

} // namespace magnolia::routing

#endif
