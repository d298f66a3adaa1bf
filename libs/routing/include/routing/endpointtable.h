#ifndef MAGNOLIA_ROUTING_ENDPOINTTABLE_H
#define MAGNOLIA_ROUTING_ENDPOINTTABLE_H

#include "base/clock.h"
#include "base/random.h"
#include "base/statedincarnation.h"
#include "routing/coldendpoints.h"
#include "routing/endpointavailability.h"
#include "routing/evacuations.h"
#include "routing/firsteventlatency.h"
#include "routing/loadshare.h"
#include "routing/ratelimitshare.h"
#include "routing/routetable.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

/** An endpoint's entry on the platform's list. */
struct EndpointRecord {
    std::string id; ///< Identifies this endpoint; an address may later be reused by another.
    std::string service;
    std::string address; ///< "IP:PORT"
    std::string dataCentre;
    std::uint32_t slots = 1; ///< Requests that it runs concurrently.
    bool isLeaving = false;
    StatedIncarnation incarnation{}; ///< No state of an earlier run applies to a later one.
    std::uint64_t listedAt = 0; ///< Version of the list at the entry's last change; 0: unknown.
    std::uint64_t heartbeat = 0; ///< Number of the heartbeat that wrote the entry, for logs; 0: unknown. Each run counts from the start.
    BootTime coldUntil{}; ///< By its entry; the epoch: not cold.
    bool isUnproven = false; ///< Listed again after it was gone, and nothing has shown yet that it runs: it must get no requests.

    bool operator==(const EndpointRecord &) const = default;
};

/** Load of an endpoint as reported by itself. */
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/** What one run of an endpoint has stated to this entry about the requests that it accepts. */
struct EndpointStatements {
    RateLimitShare limit;
    EndpointAvailability availability;
    ColdRateShare cold;
};

/** An endpoint and what this entry knows about it. */
struct Endpoint {
    EndpointRecord record;
    bool isRemoved = false; ///< It was removed from the table; holders of the pointer must not dispatch to it.
    bool isEvacuated = false; ///< An operator asks that its data centre gets no requests.
    std::uint32_t inFlight = 0; ///< Attempts of this entry in progress there.
    std::uint32_t unstartedStreams = 0; ///< Streams among inFlight that had no first event yet.
    std::uint32_t suspectRequests = 0; ///< Requests among inFlight for which there are crash reports.
    std::shared_ptr<EndpointStatements> stated = std::make_shared<EndpointStatements>(); ///< Outlives its list entry: attempts in progress may still add to it.
    LoadReport load;
    std::uint32_t inFlightAtReport = 0; ///< Value of inFlight when the load report was received.
    BootTime reportedAt;
    std::uint32_t failures = 0; ///< Consecutive.
    BootTime avoidUntil; ///< Until then it is chosen only if there is no other.
    std::uint32_t group = 0; ///< Endpoints that reject requests because another of them is down share a group number; 0: not known to be in a group.
    BootTime groupAvoidUntil; ///< Until then its group is avoided because it rejected a request; the epoch if the group is believed to be running.
    bool hasAnswered = false; ///< It has run a request since it was added.
    bool isReplaced = false; ///< Another endpoint has its address, so it no longer exists; it is the very last choice.
    bool isSuspected = false; ///< Nothing was received from it for too long, and a liveness check is in progress.
    bool isUnresponsive = false; ///< The liveness check failed; it is chosen only if there is no other.
    BootTime lastStartedSentAt; ///< Latest dispatch time among the requests whose answers have started.
    BootTime lastReceivedAt; ///< When data was last received from it.
    BootTime servedAt; ///< When it last began a successful answer.
    BootTime busySince; ///< When it last went from no requests in flight to one.

    bool acceptsRequests() const
    {
        return !record.isLeaving && !stated->availability.isLeaving() && !isRemoved && !isEvacuated;
    }

    /** @return since when it has been silent while having work; meaningful only with a request in flight there. */
    BootTime silentSince() const
    {
        return std::max(lastReceivedAt, busySince);
    }
};

using EndpointPointer = std::shared_ptr<Endpoint>;

/** What the result of an attempt indicates about the endpoint. */
enum class AttemptOutcome : std::uint8_t {
    Answered, ///< The endpoint is healthy.
    Refused, ///< Rejected without execution, because the endpoint is full or its group is down; does not count as a failure.
    Failed, ///< An error of the endpoint, a truncated or malformed answer, or no answer; also a rejection despite free slots while other endpoints serve.
    Hung, ///< Nothing came from the endpoint, while other requests of the service that were dispatched later progressed.
    Unreachable, ///< No connection could be established.
};

/**
 * The endpoints that this entry knows, with their state, and the load balancing among them.
 *
 * Chooses the endpoint with the lowest expected load per slot. The expected load is the entry's own requests in flight, which are exact, plus the load
 * of other entries from the endpoint's latest report, whose weight decays with age.
 *
 * - A failed endpoint is avoided for a backoff that doubles with each consecutive failure, and then gets requests again. There are no active health
 *   checks for this, as they would occupy its slots. One that hangs is avoided for longer, since each further probe of it costs
 *   a caller more than a second; its liveness checks may well succeed.
 * - Engines of a group fail together. Groups are learnt from rejections that name another endpoint as the cause. A group that rejected a request is
 *   probed with one request at a time until one is answered.
 * - When an endpoint crashes, only one of the requests that ran there is the cause. The suspects are sent to different endpoints if possible, so that
 *   the answers to the innocent ones clear them.
 * - While no endpoint of a service has answered yet, nothing is known of groups, and the list may still name the endpoints of before a power loss. A
 *   rejection then speaks for all endpoints that have not answered, and they are probed with one request at a time.
 * - An unresponsive endpoint is the last choice but for one whose address another endpoint has.
 * - An endpoint that states a rate limit is chosen only within this entry's share of it, and one that leaves or asked for rest is not chosen at all, even if
 *   there is no other. What it stated holds until a later run of it begins, also while its entry is missing from the list.
 * - An endpoint of an evacuated data centre is not chosen at all either.
 * - A cold endpoint is chosen only in this entry's turns, see ColdEndpoints.
 * - The number of streams per endpoint that wait for their first event is bounded.
 *
 * Lives as long as its entry's task. Not thread-safe.
 *
 * @code
 * table.put(record);
 * if (EndpointPointer endpoint = table.choose({.service = "orders"}, now, random)) { ... }
 * @endcode
 */
class EndpointTable
{
public:
    struct Options {
        std::string dataCentre{}; ///< This entry's data centre; endpoints in it are preferred at equal load.
        std::optional<ColdBound> coldBound{}; ///< For requests to cold endpoints; nothing: no endpoint is ever cold.
    };

    struct ChoiceRequest {
        std::string_view service;
        std::span<const std::string> excluded{}; ///< Ids of endpoints that must not be chosen.
        bool isSuspect = false; ///< There are crash reports for the request.
    };

    explicit EndpointTable(Options options);

    /** @param instances number of entries that use the same endpoints, including this one. */
    void setInstances(std::size_t instances)
    {
        instances_ = instances;
    }
    std::size_t instances() const
    {
        return instances_;
    }

    /** @return the number of entries among which the service's load would be divided if each had the load of this one, see LoadShare. */
    std::size_t effectiveInstances(std::string_view service, BootTime now) const;

    /**
     * Adds an endpoint or updates its record. An endpoint that restarted under the same id starts with fresh state, since load, failures and group of
     * its earlier run no longer apply; if that had asked for rest or was leaving, the new run is probed. A record of an earlier run than the known one is
     * outdated and ignored.
     */
    void put(const EndpointRecord &record);
    void remove(std::string_view id);

    /** Replaces the evacuations in force. @return the endpoints that accept no requests from now on because of them. */
    std::vector<EndpointPointer> setEvacuations(Evacuations evacuations);
    const Evacuations &evacuations() const
    {
        return evacuations_;
    }

    /** Whether endpoints of the service are evacuated and no other accepts requests. */
    bool isEvacuated(std::string_view service) const;

    /** @return null if no endpoint of the service accepts requests now, or all of them are excluded. */
    EndpointPointer choose(const ChoiceRequest &request, BootTime now, Random &random) const;

    /** Sets the endpoint's rate limit for all entries together. @param perSecond nothing: no limit. @return true if the limit changed. */
    bool updateRateLimit(Endpoint &endpoint, std::optional<double> perSecond, BootTime now, Random &random) const;

    ColdEndpoints &coldEndpoints()
    {
        return cold_;
    }
    const ColdEndpoints &coldEndpoints() const
    {
        return cold_;
    }

    /** Whether the endpoint may be sent a request now, by its list entry and by all that it has stated. */
    bool mayDispatch(Endpoint &endpoint, BootTime now, Random &random) const;

    /** @return when the first of the endpoints that rest, or are cold without a turn for this entry, may be sent a request again; nothing if there is none. */
    std::optional<BootTime> nextRestEnd(const ChoiceRequest &request, BootTime now) const;

    /** @return the mean time between this entry's turns for cold endpoints of the service; zero if it has none, or no endpoint is cold. */
    BootClock::duration turnInterval(std::string_view service, BootTime now) const;

    /** Whether an endpoint of the service is cold. */
    bool hasColdEndpoint(std::string_view service, BootTime now) const;

    EndpointPointer find(std::string_view id) const;

    /** @return all known endpoints of a service, in no particular order. */
    std::span<const EndpointPointer> endpointsOf(std::string_view service) const;
    std::size_t size() const
    {
        return byId_.size();
    }

    /** @return the requests that all endpoints of a service run concurrently; without those that leave, rest or are evacuated, and for cold ones what they
     * can take. */
    std::size_t slotsOf(std::string_view service, BootTime now) const;

    /** An endpoint rejected a request because a peer of its group is down. Marks the whole group as avoided. */
    void onRefusedForPeer(Endpoint &endpoint, std::string_view peerAddress, BootTime now);

    /** A request is dispatched to the endpoint. If its group is being avoided, this request is the probe, and the avoidance is extended for all others. */
    void onDispatch(Endpoint &endpoint, BootTime now, Random &random);

    /** The endpoint answered a request, so its group is running. @return true if it was avoided until now. */
    bool onGroupAnswer(Endpoint &endpoint);

    /** Whether another endpoint of its service began a successful answer after that time. */
    bool haveOthersServed(const Endpoint &endpoint, BootTime after) const;

    /** Another endpoint answered at the endpoint's address, so the endpoint has ended. */
    void onAddressTaken(Endpoint &endpoint, BootTime now);

    /** @return until when the endpoint is avoided because its group, or every endpoint of which nothing is known yet, rejects requests; the epoch if not. */
    BootTime groupAvoidedUntil(const Endpoint &endpoint) const;

    /**
     * Whether an endpoint can take another stream without exceeding its share of streams without a first event. Avoided endpoints count only if no
     * other endpoint is merely saturated.
     *
     * @return true also if no endpoint accepts requests, since waiting would not help then.
     */
    bool canAdmitStream(std::string_view service, BootTime now, Random &random) const;

    /** Whether data from other endpoints of its service arrived well after the latest data from it. Meaningful only with a request in flight there. */
    bool hasFallenBehind(const Endpoint &endpoint) const;

    /** Data was received from the endpoint. */
    void onDataReceived(Endpoint &endpoint, BootTime now);

    /** @return when data was last received from any endpoint of the service; the epoch if never. */
    BootTime serviceLastReceivedAt(std::string_view service) const;

    /** The answer to a request has started. @param sentAt when the request was dispatched. */
    void onAnswerStarted(Endpoint &endpoint, BootTime sentAt);

    /** @return the latest dispatch time among the service's requests whose answers have started; the epoch if there are none. */
    BootTime serviceLastStartedSentAt(std::string_view service) const;

    /** A stream of the service had its first event. @param latency time since its dispatch. */
    void onStreamStarted(std::string_view service, BootClock::duration latency, BootTime now);

    /** @return the minimum recent latency of first events; zero if no stream started recently. */
    BootClock::duration shortestFirstEventTime(std::string_view service, BootTime now) const;

    void onLoadReport(Endpoint &endpoint, const LoadReport &load, BootTime now);
    static void onAttemptEnded(Endpoint &endpoint, AttemptOutcome outcome, BootTime now);

    /** @return the number of requests expected at the endpoint now. */
    static double expectedLoad(const Endpoint &endpoint, BootTime now);

private:
    /** In increasing order; an endpoint is chosen only if there is none with a lower level. */
    enum class AvoidanceLevel : std::uint8_t {
        None,
        Saturated, ///< It has this entry's share of streams without a first event.
        Avoided, ///< It failed recently, its group is avoided, it is suspected, or the request and one in flight there both have crash reports.
        Unresponsive,
        Replaced,
    };

    struct ServiceActivity {
        BootTime lastReceivedAt;
        BootTime lastStartedSentAt;
        FirstEventLatency firstEventLatency;
        LoadShare loadShare;
        BootTime unprovenAvoidUntil; ///< Until then endpoints that have not answered are avoided; the epoch if they are not.
    };

    /** A run of an endpoint whose entry is missing from the list. */
    struct FormerEndpoint {
        std::string id;
        StatedIncarnation incarnation;
        std::shared_ptr<EndpointStatements> stated;
    };

    void rememberStatements(const Endpoint &endpoint);
    std::shared_ptr<EndpointStatements> takeStatements(const EndpointRecord &record);
    ServiceActivity &activityOf(std::string_view service);
    bool isAtUnstartedLimit(const Endpoint &endpoint, BootTime now) const;
    AvoidanceLevel avoidanceOf(const Endpoint &endpoint, const ChoiceRequest &request, BootTime now) const;
    double cost(const Endpoint &endpoint, BootTime now) const;
    void mergeGroups(std::string_view service, std::uint32_t one, std::uint32_t other);
    void setGroupAvoidUntil(Endpoint &endpoint, BootTime until);
    bool isServiceProven(std::string_view service) const;
    void avoidUnproven(std::string_view service, BootTime now);
    void addToAddress(const EndpointPointer &endpoint);
    void removeFromAddress(const EndpointPointer &endpoint);
    void markReplaced(std::string_view address);

    Options options_;
    ColdEndpoints cold_;
    std::size_t instances_ = 1;
    Evacuations evacuations_;
    TextMap<EndpointPointer> byId_;
    TextMap<std::vector<EndpointPointer>> byService_;
    TextMap<std::vector<EndpointPointer>> byAddress_;
    TextMap<ServiceActivity> activity_; ///< By service.
    std::deque<FormerEndpoint> formerEndpoints_; ///< In the order of their removal.
    std::uint32_t lastGroup_ = 0;
    TextMap<std::uint32_t> groupsByFaultyAddress_; ///< Key: address that rejections named as the cause; it need not be on the list.
};

} // namespace magnolia::routing

#endif
