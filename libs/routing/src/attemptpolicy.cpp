#include "routing/attemptpolicy.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

// An answer to a request that may be repeated is waited for so many times the route's objective before another endpoint is
// tried: long enough for one that is merely slow, and short enough that the other's answer is in time to be of use.
constexpr int ObjectivesBeforeRepeat = 2;

// First events take longer than the shortest of them: a stream that is stuck is moved so long before a sending is of no use any more.
constexpr Duration MoveLead{200};

// What has begun goes on in passes, and what was just sent may wait for one; only a longer silence tells that a stream is stuck.
constexpr Duration LeastSilence{500};

// Endpoints differ in how long requests wait there; one that is overtaken by so much is stuck.
constexpr Duration OvertakenBy{1000};

} // namespace

BootTime AttemptPolicy::latestUsefulDispatch(BootTime now) const
{
    const BootTime due = options_.deadlines.nextEventDeadline();
    return isStream() ? due - options_.endpoints.shortestFirstEventTime(options_.service, now) : due;
}

BootTime AttemptPolicy::attemptExpiresAt(const AttemptState &state, BootTime now) const
{
    if (!state.isConnected) {
        return state.sentAt + ConnectTimeout;
    }
    if (state.endpoint->isUnresponsive) {
        return state.lastReceivedAt;
    }
    if (isStream()) {
        return std::max(latestUsefulDispatch(now) - MoveLead, state.lastReceivedAt + LeastSilence);
    }
    if (options_.route.kind == RouteKind::Idempotent && options_.route.latencyObjective.count() > 0) {
        return state.sentAt + ObjectivesBeforeRepeat * options_.route.latencyObjective;
    }
    return options_.deadlines.deadline();
}

bool AttemptPolicy::isOvertaken(const AttemptState &state) const
{
    if (!isStream() || !options_.hasLivenessChecks) {
        return true;
    }
    const Endpoint &endpoint = *state.endpoint;
    if (endpoint.isUnresponsive) {
        return options_.endpoints.hasFallenBehind(endpoint);
    }
    if (state.hasAnswer) {
        return endpoint.lastReceivedAt > state.lastReceivedAt;
    }
    const BootTime overtaken = state.sentAt + OvertakenBy;
    return endpoint.lastStartedSentAt > state.sentAt || options_.endpoints.serviceLastStartedSentAt(options_.service) > overtaken;
}

} // namespace magnolia::routing
