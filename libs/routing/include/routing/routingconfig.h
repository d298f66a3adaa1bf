#ifndef MAGNOLIA_ROUTING_ROUTINGCONFIG_H
#define MAGNOLIA_ROUTING_ROUTINGCONFIG_H

#include "base/clock.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** Configuration and state for routing requests, which are forwarded without inspecting their bodies, to the endpoints of services. */
namespace magnolia::routing
{

/** Determines whether a request may be retried. */
enum class RouteKind : std::uint8_t {
    Idempotent, ///< May be executed more than once.
    AtMostOnce, ///< Retried only if it is proven that it has not been executed.
    Stream, ///< Answered by a stream of events; retried like AtMostOnce, unless the route is resumable.
};

/** A service that gets a share of a route's requests. */
struct RouteTarget {
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the route's other targets.
};

/** 0 is the highest priority, LowestPriority the lowest. */
using Priority = std::uint8_t;
constexpr Priority LowestPriority = 9;
constexpr Priority DefaultPriority = 5; ///< What endpoints assume for a request without a priority.

using PrioritySet = std::bitset<LowestPriority + 1>;

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with '/'.
    RouteKind kind = RouteKind::AtMostOnce;
    Duration timeout{0}; ///< Maximum time to the end of the answer; 0: no limit by the route.
    Duration latencyObjective{0}; ///< Time to the complete answer, or to the first event of a stream.
    Duration pauseObjective{0}; ///< Maximum pause between two events of a stream; 0: no objective.
    std::optional<Priority> priority;
    std::vector<RouteTarget> targets; ///< At least one.
    std::uint32_t maxEndpoints = 1; ///< Maximum number of endpoints to which one request is dispatched.
    bool isPublic = false; ///< Requires no API key.
    bool isResumable = false; ///< A stream may be resumed at another endpoint after its last event.
};

/** Model of the duration of an engine's passes, as configured by the operators. */
struct StepModel {
    std::uint32_t slots = 1; ///< Requests that the engine runs concurrently.
    std::uint64_t memoryTokens = 0; ///< Capacity of its memory in prompt and answer tokens.
    std::uint32_t stepsPerPass = 1;
    double stepMs = 0;
    double perRequestMs = 0; ///< Added to the step time for each request in the batch.
    double perThousandTokensMs = 0; ///< Added to the step time for each 1,000 context tokens of such a request.
    double prefillTokensPerSecond = 0; ///< Processing rate of prompt tokens.
    double typicalPromptTokens = 0;
    double typicalAnswerTokens = 0;
};

/** Distribution of a model's experts over the engines of a group. */
struct ExpertLayout {
    Duration pauseObjective{0}; ///< Shortest objective of the routes to the service; 0: none.
    std::uint32_t sets = 0; ///< Number of expert sets; 0: the model has no experts.
    std::uint32_t experts = 0; ///< Experts per set.
    std::uint32_t expertSlotsPerRank = 0; ///< Expert slots of a rank per set.
    std::uint32_t spareExpertSlots = 0; ///< Maximum number of experts per set that a rank can add in one map switch.
    double expertMegabytes = 0;
    double linkMegabitsPerSecond = 0;
    double workShare = 0; ///< Fraction of the work per token that experts do, 0 to 1.
    double basePassMs = 0; ///< Time of a pass regardless of the tokens in progress; 0: unknown.
    Duration formingTime{0}; ///< Time from a rank's return until its group serves again.
};

/** How endpoints of a service behave after a start. */
struct ColdStart {
    Duration time{0}; ///< For which an endpoint is cold after its start.
    double perSecond = 0; ///< Requests that a cold endpoint takes from all entries together; 0: endpoints are never cold.

    bool isConfigured() const
    {
        return perSecond > 0;
    }
};

struct Service {
    std::string name;
    std::uint32_t maxConnections = 0; ///< Maximum connections to one endpoint from all entries together.
    std::string healthPath{}; ///< On which its endpoints state whether they are healthy; empty: they don't.
    std::optional<StepModel> steps{}; ///< Set for model engines.
    ExpertLayout experts{};
    ColdStart coldStart{};
};

/** Limits on the size and duration of callers' requests. */
struct CallerLimits {
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    Duration headerTimeout{3000};
    Duration idleTimeout{15000}; ///< For a keep-alive connection without a request.
};

struct Organisation {
    std::string name;
    std::vector<std::string> keys;
    std::optional<Priority> priority; ///< Overrides the priority of the route.
};

/** One version of the complete routing configuration. */
struct RoutingConfig {
    std::uint64_t version = 0; ///< A configuration with a higher version replaces one with a lower version.
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    std::vector<Organisation> organisations; ///< Empty: no request requires an API key.
};

/** @return the shortest pause objective of the routes to a service; 0 if none has one. */
Duration shortestPauseObjective(const RoutingConfig &config, std::string_view service);

} // namespace magnolia::routing

#endif
