#ifndef MAGNOLIA_ROUTING_ATTEMPTPOLICY_H
#define MAGNOLIA_ROUTING_ATTEMPTPOLICY_H

#include "base/clock.h"
#include "routing/callerdeadlines.h"
#include "routing/endpointtable.h"
#include "routing/routingconfig.h"

#include <string_view>

namespace magnolia::routing
{

// Connecting within a region takes a few milliseconds. A lost packet is retransmitted after about a second, by which time another endpoint could have
// answered.
constexpr Duration ConnectTimeout{400};

/** State of an attempt in progress that determines whether it is continued. */
struct AttemptState {
    const Endpoint *endpoint = nullptr;
    BootTime sentAt{};
    BootTime lastReceivedAt{}; ///< When data was last received for the request; sentAt if never.
    bool isConnected = false;
    bool hasAnswer = false; ///< The header of an answer was received.
};

/**
 * Decides until when it is useful to dispatch a request, and when an attempt in progress should be abandoned for another endpoint.
 *
 * The decision is based on the caller's deadlines and on the state of the service: the current latency of first events, which endpoints are responsive,
 * and whether other requests progressed while this one did not. Keeps references to its options, which must outlive it. Created for one decision.
 *
 * @code
 * const AttemptPolicy policy({.deadlines = deadlines, .route = route, .endpoints = table, .service = "s"});
 * if (now >= policy.latestUsefulDispatch(now)) { rejectAtOnce(); }
 * @endcode
 */
class AttemptPolicy
{
public:
    struct Options {
        const CallerDeadlines &deadlines;
        const Route &route;
        const EndpointTable &endpoints;
        std::string_view service;
        bool hasLivenessChecks = true; ///< Unresponsive endpoints are detected by liveness checks.
    };

    explicit AttemptPolicy(const Options &options) : options_(options) {}

    /** @return the latest time at which a dispatch can still produce an event or answer before the caller's deadline. */
    BootTime latestUsefulDispatch(BootTime now) const;

    /** @return when the attempt may be abandoned in favour of another endpoint. */
    BootTime attemptExpiresAt(const AttemptState &state, BootTime now) const;

    /**
     * Tells a stuck request from one that is delayed like all others and would be delayed again at another endpoint.
     *
     * @return true if other requests progressed while this one did not, or if that cannot be determined.
     */
    bool isOvertaken(const AttemptState &state) const;

private:
    bool isStream() const
    {
        return options_.route.kind == RouteKind::Stream;
    }

    Options options_;
};

} // namespace magnolia::routing

#endif
