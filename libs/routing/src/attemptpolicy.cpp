#include "routing/attemptpolicy.h"

#include <algorithm>

namespace magnolia::routing
{

namespace
{

// An idempotent request is retried at another endpoint after this many times the latency objective: long enough for an endpoint that is merely slow,
// and short enough that the other endpoint's answer is still useful.
constexpr int RetryAfterObjectives = 2;

// First events usually take longer than the minimum, so a stuck stream is moved to another endpoint this long before the latest useful dispatch.
constexpr Duration MigrationLead{200};

// Events are produced in passes, and a new stream may have to wait for the next pass. Only a longer silence indicates a stuck stream.
constexpr Duration MinStreamSilence{500};

// Waiting times differ between endpoints. A request is stuck if one dispatched this much later has started at another endpoint.
constexpr Duration OvertakenThreshold{1000};

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
        return std::max(latestUsefulDispatch(now) - MigrationLead, state.lastReceivedAt + MinStreamSilence);
    }
    if (options_.route.kind == RouteKind::Idempotent && options_.route.latencyObjective.count() > 0) {
        return state.sentAt + RetryAfterObjectives * options_.route.latencyObjective;
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
    const BootTime overtakenAfter = state.sentAt + OvertakenThreshold;
    return endpoint.lastStartedSentAt > state.sentAt || options_.endpoints.serviceLastStartedSentAt(options_.service) > overtakenAfter;
}

} // namespace magnolia::routing
