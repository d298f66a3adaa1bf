#ifndef MAGNOLIA_FORWARD_ENDPOINTLIST_H
#define MAGNOLIA_FORWARD_ENDPOINTLIST_H

#include "forward/forwardtask.h"
#include "http/timer.h"
#include "routing/endpointroster.h"
#include "routing/endpointsnapshot.h"
#include "routing/listedruns.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

struct event_base;

namespace magnolia::forward
{

class ReturnCheck;

/**
 * Keeps the task's endpoints in step with the platform's list, or with a peer's copy of it while the store is unreachable.
 *
 * Without the peers, an entry that alone can't reach the store would keep dispatching to endpoints that have left, until
 * long after the store is reachable again. Lists older than the known version are ignored, and so are entries that were written late, see ListedRuns. An
 * endpoint that is listed again after it was gone is used once it has shown that it runs. Lives on one event loop, all calls on its thread; the task outlives
 * it.
 *
 * @code
 * EndpointList list(loop, *task, {.renewalInterval = Duration(1200)});
 * list.applySnapshot({.version = 10, .endpoints = records});
 * list.confirm(asOf);
 * @endcode
 */
class EndpointList
{
public:
    EndpointList(event_base *loop, ForwardTask &task, routing::EndpointRoster::Options options);
    ~EndpointList();
    EndpointList(const EndpointList &) = delete;
    EndpointList &operator=(const EndpointList &) = delete;

    /** Applies the complete list: endpoints that are not in it have left. */
    void applySnapshot(const routing::EndpointSnapshot &listing);

    struct Delta {
        routing::EndpointSnapshot changed;
        std::span<const std::string> gone{}; ///< Ids whose rows were removed or no longer describe an endpoint.
        std::span<const std::string> relisted{}; ///< Ids whose rows were removed before their change.
    };

    void applyDelta(const Delta &delta);

    /** Applies the complete list as encoded by a peer. An unreadable document is logged and changes nothing. */
    void applyPeerSnapshot(std::string_view document);

    /** The known list was the newest as of the given time. */
    void confirm(BootTime asOf);

    /** Version of the known list; 0 before the first one. */
    std::uint64_t version() const
    {
        return version_;
    }

    /** Latest time at which the known list was the newest. */
    BootTime confirmedAt() const
    {
        return confirmedAt_;
    }

    /** @return the known list for applyPeerSnapshot() of a peer; valid until the next call. */
    std::string_view encodedSnapshot();

private:
    bool acceptVersion(std::uint64_t version);
    void putRecords(std::span<const routing::EndpointRecord> records);
    void putRecord(const routing::EndpointRecord &record);
    void holdBack(const routing::EndpointRecord &record);
    void onShownToRun(const std::string &id);
    void removeOutdated(const Delta &delta);
    void unlist(std::span<const std::string> ids);
    void onUnlisted(const routing::PendingRemoval &absence, BootTime now);
    void removeExpired();

    event_base *loop_;
    ForwardTask &task_;
    Duration renewalInterval_;
    routing::EndpointRoster roster_;
    routing::ListedRuns runs_;
    routing::TextMap<std::unique_ptr<ReturnCheck>> returnChecks_; ///< By endpoint id, while it is unproven.
    http::Timer removalTimer_;
    std::uint64_t version_ = 0;
    BootTime confirmedAt_;
    std::string snapshot_;
    bool isSnapshotStale_ = true;
    BootTime snapshotAt_; ///< When snapshot_ was encoded.
    BootTime coldUntil_; ///< Latest such time among the records put.
};

} // namespace magnolia::forward

#endif
