#ifndef MAGNOLIA_ROUTING_ATTEMPTPOLICY_H
#define MAGNOLIA_ROUTING_ATTEMPTPOLICY_H

#include "base/clock.h"
#include "routing/callerdeadlines.h"
#include "routing/endpointtable.h"
#include "routing/routingconfig.h"

#include <string_view>

namespace magnolia::routing
{

// A dialled endpoint in the same region answers within a few milliseconds; a lost packet is sent again after about a
// second, and by then another endpoint could have answered.
constexpr Duration ConnectTimeout{400};

/** One sending in progress, as far as it says whether the request is left there. */
struct AttemptState {
    const Endpoint *endpoint = nullptr;
    BootTime sentAt{};
    BootTime lastReceivedAt{}; ///< When something last came for the request; sentAt if nothing has.
    bool isConnected = false;
    bool hasAnswer = false; ///< The head of an answer has come.
};

/**
 * Whether sending a request is of use to its caller, and how long it is left where it is.
 *
 * Decided from how long the caller stays and what is known of the service: how long its streams take to begin just now, which endpoints speak,
 * and whether others went on without this request. Refers to its options, which outlive it. Made for one decision.
 *
 * @code
 * const SendingOutlook outlook({.bounds = bounds, .route = route, .endpoints = table, .service = "s"});
 * if (now >= outlook.latestSending(now)) { rejectAtOnce(); }
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
        bool hasLivenessChecks = true; ///< Endpoints out of reach are found by asking them.
    };

    explicit AttemptPolicy(const Options &options) : options_(options) {}

    /** @return until when a sending can bring the caller something before it leaves. */
    BootTime latestUsefulDispatch(BootTime now) const;

    /** @return until when the sending is left alone. */
    BootTime attemptExpiresAt(const AttemptState &state, BootTime now) const;

    /**
     * A request for which nothing comes for long either waits with all others, and would wait anew elsewhere, or it alone is stuck.
     *
     * @return true if others went on without it.
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
