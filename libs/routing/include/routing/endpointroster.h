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

/** An endpoint whose entry has gone from the list. */
struct PendingRemoval {
    std::string id;
    BootTime removeAt; ///< When it counts as gone.
};

/**
 * Decides which endpoints of the platform's list count as there.
 *
 * An endpoint whose entry goes is gone at once, unless the list itself may have been away for so long that entries lapsed
 * since nobody could renew them: the endpoints that live come back soon after its return, and taking those for gone would
 * empty whole services each time. Whether it may have been away is judged by when it was last known to serve, by this
 * process's own word or by a peer's: an instance that alone has lost its way to the list must not take that for the list's
 * outage. Pure: time comes in, and the task that owns it asks for due removals. Not thread-safe.
 *
 * @code
 * roster.put(record);
 * roster.confirmed(asOf, now); // after all that an answer told
 * for (const std::string &id : roster.takeDue(now)) { table.remove(id); }
 * @endcode
 */
class EndpointRoster
{
public:
    struct Options {
        Duration renewalInterval{1200}; ///< Between two renewals of an entry by its endpoint; as the platform states it.
        Duration recoveryTime{2200}; ///< After the list's return; an entry still missing then is gone. Stated as "about two seconds".
    };

    explicit EndpointRoster(Options options) : options_(options) {}

    void put(const EndpointRecord &record);

    /** @return nothing if its entry was known to have gone. */
    std::optional<PendingRemoval> onEntryRemoved(std::string_view id, BootTime now);

    /** All ids of a full read: the others are removed. @return those whose entries were there before. */
    std::vector<PendingRemoval> onFullList(std::span<const std::string> ids, BootTime now);

    /** The list has gone back to an older state: what endpoints wrote since comes again. */
    void onListRolledBack(BootTime now)
    {
        comeBackUntil_ = now + options_.recoveryTime;
    }

    /** All that was told is the list as of then, by the list's own answer or a peer's. */
    void onListConfirmed(BootTime asOf, BootTime now);

    /** @return ids that are gone by now; each once. None while the list may be away: its return decides. */
    std::vector<std::string> takeDueRemovals(BootTime now);

    /** @return when the next removal is due, if the list is heard of until then; nothing if none is. */
    std::optional<BootTime> nextRemovalAt() const;

    /** @return what a peer is told: the endpoints on the list, and apart from them those that are only kept. */
    EndpointSnapshot snapshot(std::uint64_t version, BootTime now) const;

    /** A peer keeps it for so long though its entry has gone: so does this one, unless it has given it up or never knew it. */
    std::optional<PendingRemoval> onRetainedByPeer(std::string_view id, Duration left, BootTime now);

private:
    struct Entry {
        EndpointRecord record;
        std::optional<BootTime> removeAt; ///< Set if it is to be removed.
    };

    bool mayHaveBeenAway(BootTime now) const;
    void heard(BootTime now);

    Options options_;
    std::map<std::string, Entry, std::less<>> entries_; ///< By id.
    std::optional<BootTime> knownAsOf_; ///< When the list last served, as far as is known.
    BootTime comeBackUntil_; ///< Until then entries may still come back that lapsed while the list was away.
};

} // namespace magnolia::routing

#endif
