#ifndef MAGNOLIA_ROUTING_ENDPOINTTABLE_H
#define MAGNOLIA_ROUTING_ENDPOINTTABLE_H

#include "base/clock.h"
#include "base/random.h"
#include "routing/firsteventlatency.h"
#include "routing/ratelimitshare.h"
#include "routing/routetable.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

/** What the platform's list says of an endpoint. */
struct EndpointRecord {
    std::string id; ///< Of this run of the endpoint; an address may be used again by another.
    std::string service;
    std::string address; ///< "IP:PORT"
    std::string dataCentre;
    std::uint32_t slots = 1; ///< Requests that it runs at once.
    bool isLeaving = false;
    std::uint64_t incarnation = 0; ///< Unix millisecond of its start; 0: not stated. A later one has nothing of an earlier.

    bool operator==(const EndpointRecord &) const = default;
};

/** What an endpoint says of its load. */
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/** An endpoint as this entry knows it. */
struct Endpoint {
    EndpointRecord record;
    bool isRemoved = false; ///< It left the list; whoever still holds it sends it nothing new.
    std::uint32_t inFlight = 0; ///< Sent by this entry and not ended.
    std::uint32_t unstartedStreams = 0; ///< Of these, streams whose answers have not begun.
    std::uint32_t suspectRequests = 0; ///< Of these, requests under which endpoints ended.
    RateLimitShare limit;
    LoadReport load;
    std::uint32_t inFlightAtReport = 0; ///< inFlight when that report came.
    BootTime reportedAt;
    std::uint32_t failures = 0; ///< In a row.
    BootTime avoidUntil; ///< Taken before that only if there is no other.
    std::uint32_t group = 0; ///< Endpoints that were seen to refuse for one another's sake; 0: none seen.
    BootTime groupAvoidUntil; ///< Its group does not run; the epoch if it does as far as is known.
    bool isSuspected = false; ///< Nothing came from it for too long, and it is being asked for a sign of life.
    bool isUnresponsive = false; ///< It gave no sign of life when it was asked for one; taken only if there is no other.
    BootTime lastStartedSentAt; ///< When the latest sent of the requests was sent whose answers have begun.
    BootTime lastReceivedAt; ///< When something last came from it.
    BootTime busySince; ///< When the first of the requests in progress there was sent.

    bool acceptsRequests() const
    {
        return !record.isLeaving && !isRemoved;
    }

    /** @return since when something from it has been waited for; only with a request in progress there. */
    BootTime silentSince() const
    {
        return std::max(lastReceivedAt, busySince);
    }
};

using EndpointPointer = std::shared_ptr<Endpoint>;

/** How an attempt at an endpoint ended, as far as it tells of the endpoint. */
enum class AttemptOutcome : std::uint8_t {
    Answered, ///< It does what it should.
    Refused, ///< Without having run it: it is full, or of a broken group. No sign of sickness.
    Failed, ///< An error of its own, a cut or spoilt answer, silence.
    Unreachable, ///< No connection came to be.
};

/**
 * The endpoints that this entry knows, and the choice among them.
 *
 * Chooses the one with the least expected load for each slot: the entry's own requests there, which are exact, plus what
 * others had there by its latest report, which counts less as it ages. An endpoint that failed is avoided for a time that
 * grows with each failure in a row, and is then tried by one request after the other; nothing is asked of it besides, as
 * health checks cost its slots. Engines of a group fail together: which they are is learnt from refusals that name another
 * endpoint as the cause, and a group that refused is tried by one request at a time until one is answered. Of
 * the requests under which an endpoint ended one is the cause; they go to different endpoints as far as there are, so that the
 * others' answers clear them. An endpoint out of reach is
 * the last choice, one that states a limit is taken only within it, and only so many streams are sent ahead of those that have begun. Lives as long as its
 * entry's task. Not thread-safe.
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
        std::string dataCentre{}; ///< This entry's; a nearer endpoint is taken among equals.
    };

    struct ChoiceRequest {
        std::string_view service;
        std::span<const std::string> excluded{}; ///< Ids not to be taken again.
        bool isSuspect = false; ///< Endpoints ended under it.
    };

    explicit EndpointTable(Options options);

    /** @param instances entries that send to the same endpoints, this one included. */
    void setInstances(std::size_t instances)
    {
        instances_ = instances;
    }

    /**
     * Adds an endpoint or replaces what is known of it. One that has started again under its id is another endpoint: load,
     * failures and group of its earlier run say nothing of it. An entry of an earlier run than the known one is late, and left out.
     */
    void put(const EndpointRecord &record);
    void remove(std::string_view id);

    /** @return null if no endpoint of the service takes work now, or all have been tried. */
    EndpointPointer choose(const ChoiceRequest &request, BootTime now, Random &random) const;

    /** It states what it takes from all entries together; nothing: no limit. @return true if that is news. */
    bool updateRateLimit(Endpoint &endpoint, std::optional<double> perSecond, BootTime now, Random &random) const;

    EndpointPointer find(std::string_view id) const;

    /** All endpoints of a service that are known, in no order. */
    std::span<const EndpointPointer> endpointsOf(std::string_view service) const;
    std::size_t size() const
    {
        return byId_.size();
    }

    /** An endpoint refused a request since another of its group fails: the whole group does. */
    void onRefusedForPeer(Endpoint &endpoint, std::string_view peerAddress, BootTime now);

    /** A request is sent there; if its group is in doubt, the others wait for what becomes of this one. */
    void onDispatch(Endpoint &endpoint, BootTime now, Random &random);

    /** It answered a request, so its group runs. @return true if that was in doubt. */
    bool onGroupAnswer(Endpoint &endpoint);

    /**
     * Whether a stream that is let in now begins without waiting behind another. An endpoint that is avoided counts only if all are.
     *
     * @return true also if no endpoint takes work: then there is nothing to wait for.
     */
    bool canAdmitStream(std::string_view service, BootTime now, Random &random) const;

    /** Others of its service were heard well after it. Only with a request in progress there. */
    bool hasFallenBehind(const Endpoint &endpoint) const;

    /** Something came from it. */
    void onDataReceived(Endpoint &endpoint, BootTime now);

    /** @return when something last came from any endpoint of the service; the epoch if nothing has. */
    BootTime serviceLastReceivedAt(std::string_view service) const;

    /** The answer to a request has begun. @param sentAt when that was sent. */
    void onAnswerStarted(Endpoint &endpoint, BootTime sentAt);

    /** @return when the latest sent of the requests to the service was sent whose answers have begun; the epoch if none has. */
    BootTime serviceLastStartedSentAt(std::string_view service) const;

    /** A stream of the service had its first event so long after it was sent. */
    void onStreamStarted(std::string_view service, BootClock::duration took, BootTime now);

    /** @return the shortest of those times lately; zero if nothing began. */
    BootClock::duration shortestFirstEventTime(std::string_view service, BootTime now) const;

    static void onLoadReport(Endpoint &endpoint, const LoadReport &load, BootTime now);
    static void onAttemptEnded(Endpoint &endpoint, AttemptOutcome sign, BootTime now);

    /** @return requests expected there now. */
    static double expectedLoad(const Endpoint &endpoint, BootTime now);

private:
    /** In this order: one that is taken with more of it is taken only if there is no other. */
    enum class Reluctance : std::uint8_t {
        None,
        Behind, ///< It has enough streams to begin.
        Avoided, ///< It failed lately, may be out of reach, or is kept apart from such requests.
        OutOfReach,
    };

    struct ServiceSigns {
        BootTime lastReceivedAt;
        BootTime lastStartedSentAt;
        FirstEventLatency beginTimes;
    };

    ServiceSigns &signsOf(std::string_view service);
    bool hasShareUnbegun(const Endpoint &endpoint) const;
    Reluctance reluctanceTo(const Endpoint &endpoint, const ChoiceRequest &request, BootTime now) const;
    double cost(const Endpoint &endpoint, BootTime now) const;
    void joinGroups(std::string_view service, std::uint32_t one, std::uint32_t other);
    void markGroup(Endpoint &endpoint, BootTime until);

    Options options_;
    std::size_t instances_ = 1;
    TextMap<EndpointPointer> byId_;
    TextMap<std::vector<EndpointPointer>> byService_;
    TextMap<ServiceSigns> signs_; ///< By service.
    std::uint32_t lastGroup_ = 0;
    TextMap<std::uint32_t> groupsByFault_; ///< By the address that refusals named, which may have left the list.
};

} // namespace magnolia::routing

#endif
