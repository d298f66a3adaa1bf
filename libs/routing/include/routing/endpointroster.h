#ifndef MAGNOLIA_ROUTING_ENDPOINTROSTER_H
#define MAGNOLIA_ROUTING_ENDPOINTROSTER_H

#include "base/clock.h"
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
struct Absence {
    std::string id;
    BootTime goneAt; ///< When it counts as gone.
};

/**
 * Decides which endpoints of the platform's list count as there.
 *
 * An endpoint whose entry goes is gone at once, except around an outage of the list itself: entries lapse then since
 * nobody could renew them, and the endpoints that live come back soon after its return. Taking those for gone would empty
 * whole services each time. Pure: time comes in, and the task that owns it asks for due removals. Not thread-safe.
 *
 * @code
 * roster.put(record);
 * for (const std::string &id : roster.takeDue(now)) { table.remove(id); }
 * @endcode
 */
class EndpointRoster
{
public:
    struct Options {
        Duration comeBackTime{2200}; ///< After the list's return; an entry still missing then is gone.
    };

    explicit EndpointRoster(Options options) : options_(options) {}

    void put(std::string_view id);

    /** @return nothing if its entry was known to have gone. */
    std::optional<Absence> removed(std::string_view id, BootTime now);

    /** All ids of a full read: the others are removed. @return those whose entries were there before. */
    std::vector<Absence> all(std::span<const std::string> ids, BootTime now);

    void listLost();
    void listRegained(BootTime now);

    /** @return ids that are gone by now; each once. */
    std::vector<std::string> takeDue(BootTime now);

    /** @return when the next removal is due; nothing if none is. */
    std::optional<BootTime> nextDue() const;

private:
    Options options_;
    std::map<std::string, std::optional<BootTime>, std::less<>> due_; ///< By id; a time if it is to be removed.
    bool isListLost_ = false;
    std::optional<BootTime> regainedAt_;
};

} // namespace magnolia::routing

#endif
