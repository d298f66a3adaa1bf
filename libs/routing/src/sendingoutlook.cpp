#include "routing/sendingoutlook.h"

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

BootTime SendingOutlook::latestSending(BootTime now) const
{
    const BootTime due = options_.bounds.nextEventDue();
    return isStream() ? due - options_.endpoints.shortestBegin(options_.service, now) : due;
}

BootTime SendingOutlook::patienceEnds(const SendingState &state, BootTime now) const
{
    if (!state.isConnected) {
        return state.sentAt + ConnectTimeout;
    }
    if (state.endpoint->isSilent) {
        return state.heardAt;
    }
    if (isStream()) {
        return std::max(latestSending(now) - MoveLead, state.heardAt + LeastSilence);
    }
    if (options_.route.kind == RouteKind::Idempotent && options_.route.latencyObjective.count() > 0) {
        return state.sentAt + ObjectivesBeforeRepeat * options_.route.latencyObjective;
    }
    return options_.bounds.deadline();
}

bool SendingOutlook::isLeftBehind(const SendingState &state) const
{
    if (!isStream() || !options_.isWatched) {
        return true;
    }
    const Endpoint &endpoint = *state.endpoint;
    if (endpoint.isSilent) {
        return options_.endpoints.isPassedOver(endpoint);
    }
    if (state.hasAnswer) {
        return endpoint.heardAt > state.heardAt;
    }
    const BootTime overtaken = state.sentAt + OvertakenBy;
    return endpoint.begunSentAt > state.sentAt || options_.endpoints.serviceBegunSentAt(options_.service) > overtaken;
}

} // namespace magnolia::routing
