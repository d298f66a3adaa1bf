#ifndef MAGNOLIA_FORWARD_EVACUATIONLIST_H
#define MAGNOLIA_FORWARD_EVACUATIONLIST_H

#include "forward/forwardtask.h"
#include "http/timer.h"
#include "routing/evacuationroster.h"

#include <cstdint>
#include <string>
#include <string_view>

struct event_base;

namespace magnolia::forward
{

/**
 * Keeps the evacuations of the task in step with the operators' rows in the store, or with a peer's copy of them while the store is unreachable.
 *
 * What is known stays in force until its end is known. Answers older than the known version are ignored. Lives on one event loop, all calls on its thread;
 * the task outlives it.
 *
 * @code
 * EvacuationList list(loop, *task, {});
 * list.applySnapshot({.version = 10, .dataCentres = {"north"}});
 * list.confirm(asOf);
 * @endcode
 */
class EvacuationList
{
public:
    EvacuationList(event_base *loop, ForwardTask &task, routing::EvacuationRoster::Options options);

    /** Applies the complete list: evacuations that are not in it have ended. */
    void applySnapshot(const routing::EvacuationSnapshot &snapshot);

    void applyChanges(const routing::EvacuationChanges &changes);

    /** Applies the complete list as encoded by a peer. An unreadable document is logged and changes nothing. */
    void applyPeerSnapshot(std::string_view document);

    /** The known list was the newest as of the given time. */
    void confirm(BootTime asOf);

    /** Version of the known list; 0 before the first one. */
    std::uint64_t version() const
    {
        return roster_.version();
    }

    /** Latest time at which the known list was the newest. */
    BootTime confirmedAt() const
    {
        return confirmedAt_;
    }

    /** @return the known list for applyPeerSnapshot() of a peer; valid until the next call. */
    std::string_view encodedSnapshot();

private:
    void noteEra(std::uint64_t version);
    void publishIfChanged();
    void endExpired();
    void startExpiryTimer();

    ForwardTask &task_;
    routing::EvacuationRoster roster_;
    routing::EvacuationRoster::DataCentres published_;
    http::Timer expiryTimer_;
    BootTime startedAt_;
    BootTime confirmedAt_;
    std::string encoded_;
};

} // namespace magnolia::forward

#endif
