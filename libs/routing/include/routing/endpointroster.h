#ifndef MAGNOLIA_ROUTING_ENDPOINTROSTER_H
#define MAGNOLIA_ROUTING_ENDPOINTROSTER_H

#include "base/clock.h"
#include "routing/endpointsnapshot.h"
#include "routing/endpointtable.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

/** The scheduled removal of an endpoint whose entry is missing from the list. */
struct PendingRemoval {
    std::string id;
    BootTime removeAt; ///< When the endpoint is removed, at the earliest.
};

/**
 * Decides when endpoints that are missing from the platform's list are removed.
 *
 * An endpoint whose entry disappears is removed at once, unless the list may have been unavailable for so long that entries expired because they could
 * not be renewed. Live endpoints register again soon after such an outage, and removing them meanwhile would empty whole services each time. Whether
 * there may have been an outage follows from when the list was last known to be available, as seen by this process or by a peer: an instance that
 * alone has lost its connection to the list must not mistake that for an outage. No I/O and no timers: time is passed in, and the owning task polls
 * for due removals. Not thread-safe.
 *
 * @code
 * roster.put(record);
 * roster.onListConfirmed(asOf, now); // after the changes of one response were applied
 * for (const std::string &id : roster.takeDueRemovals(now)) { table.remove(id); }
 * @endcode
 */
class EndpointRoster
{
public:
    struct Options {
        Duration renewalInterval{1200}; ///< Interval at which endpoints renew their entries, as defined by the platform.
        Duration recoveryTime{2200}; ///< After an outage of the list, for endpoints to register again. The platform documents "about two seconds".
    };

    explicit EndpointRoster(Options options) : options_(options) {}

    void put(const EndpointRecord &record);

    /** An entry was removed from the list. @return the scheduled removal; nothing if the endpoint is unknown or already scheduled. */
    std::optional<PendingRemoval> onEntryRemoved(std::string_view id, BootTime now);

    /** The list was read in full. @param ids of all its entries; removals of other endpoints are scheduled. @return the newly scheduled removals. */
    std::vector<PendingRemoval> onFullList(std::span<const std::string> ids, BootTime now);

    /** The list was reset to an older state: endpoints that registered since then will register again. */
    void onListRolledBack(BootTime now)
    {
        recoveryEndsAt_ = now + options_.recoveryTime;
    }

    /** The roster is known to match the list as of that time, from a response of the list or from a peer. */
    void onListConfirmed(BootTime asOf, BootTime now);

    /** Removes the endpoints whose removal is due. @return their ids; none while the list may be unavailable, as they may register again. */
    std::vector<std::string> takeDueRemovals(BootTime now);

    /** @return when the next removal is due, provided that the list is available until then; nothing if none is scheduled. */
    std::optional<BootTime> nextRemovalAt() const;

    /** @return the snapshot for peers: the endpoints on the list, and separately those that are only retained. */
    EndpointSnapshot snapshot(std::uint64_t version, BootTime now) const;

    /** A peer retains an endpoint that is missing from the list. Schedules its removal likewise, unless it is unknown here or already scheduled. */
    std::optional<PendingRemoval> onRetainedByPeer(std::string_view id, Duration timeLeft, BootTime now);

private:
    struct Entry {
        EndpointRecord record;
        std::optional<BootTime> removeAt; ///< Set if the removal is scheduled.
    };

    bool mayHaveBeenUnavailable(BootTime now) const;
    void onListResponse(BootTime now);

    Options options_;
    std::map<std::string, Entry, std::less<>> entries_; ///< By id.
    std::optional<BootTime> lastServingAt_; ///< When the list was last known to be available.
    BootTime recoveryEndsAt_; ///< End of the time in which endpoints may register again after an outage of the list.
};

} // namespace magnolia::routing

#endif
