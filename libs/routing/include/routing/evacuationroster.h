#ifndef MAGNOLIA_ROUTING_EVACUATIONROSTER_H
#define MAGNOLIA_ROUTING_EVACUATIONROSTER_H

#include "base/clock.h"
#include "routing/evacuations.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace magnolia::routing
{

/**
 * Decides which evacuations are in force, from the store's rows and from what peers pass on.
 *
 * An evacuation lasts until its end is seen; no outage of the store ends it. If the store was restored from a backup, a row that is missing may have been
 * lost: the evacuation is retained for a while, in which its operator can write it again. Versions are compared by the caller of onStoreRestored() only;
 * here an older one changes nothing. No I/O and no timers: time is passed in. Not thread-safe.
 *
 * @code
 * if (roster.apply(snapshot, now)) { table.setEvacuations(roster.dataCentres()); }
 * @endcode
 */
class EvacuationRoster
{
public:
    struct Options {
        Duration retention{30000}; ///< How long a lost evacuation is retained. Operators' tools repeat lost writes within seconds.
    };

    using DataCentres = std::set<std::string, std::less<>>;

    explicit EvacuationRoster(Options options) : options_(options) {}

    /** The store was restored from a backup; called before the first list or change of its new era is applied. */
    void onStoreRestored(BootTime now);

    /** Applies a complete list. @return false if it is older than the known version; nothing has changed then. */
    bool apply(const EvacuationSnapshot &snapshot, BootTime now);

    /** Applies changes to the known list. @return false if they are older than the known version; nothing has changed then. */
    bool apply(const EvacuationChanges &changes);

    /** Ends the retained evacuations that were not written again in time. @return their data centres. */
    DataCentres takeExpired(BootTime now);

    /** @return when the first of the retained evacuations ends; nothing if none is retained. */
    std::optional<BootTime> nextExpiryAt() const;

    /** Version of the store as of which the evacuations are known; 0: nothing is known. */
    std::uint64_t version() const
    {
        return version_;
    }

    /** @return the evacuated data centres, the retained ones included. */
    DataCentres dataCentres() const;

    /** @return what is known, for peers. */
    EvacuationSnapshot snapshot(BootTime now) const;

private:
    using RetainedUntil = std::optional<BootTime>; ///< Nothing: the evacuation has a row in the store.

    Options options_;
    std::uint64_t version_ = 0;
    std::map<std::string, RetainedUntil, std::less<>> evacuations_; ///< By data centre.
};

} // namespace magnolia::routing

#endif
