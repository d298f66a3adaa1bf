#ifndef MAGNOLIA_ROUTING_ROUTINGCONFIG_H
#define MAGNOLIA_ROUTING_ROUTINGCONFIG_H

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/** Which request goes where, and what may be done with it: the operators' word on requests that are passed on unread. */
namespace magnolia::routing
{

/** What may be repeated. */
enum class RouteKind : std::uint8_t {
    Idempotent, ///< May run more than once.
    AtMostOnce, ///< Never sent again, unless it is proved that it has not run.
    Stream, ///< Answered by events; as AtMostOnce, unless the route is resumable.
};

/** A service's part of a route's requests. */
struct RouteTarget {
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the route's other targets.
};

/** 0 is the most urgent, LeastUrgent the least. */
using Priority = std::uint8_t;
constexpr Priority LowestPriority = 9;

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with '/'.
    RouteKind kind = RouteKind::AtMostOnce;
    Duration timeout{0}; ///< Longest time that a caller waits for the end of its answer; 0: no limit of the route's own.
    Duration latencyObjective{0}; ///< To the whole answer; of a stream: to its first event.
    Duration pauseObjective{0}; ///< Longest pause between a stream's events; 0: none stated.
    std::optional<Priority> priority;
    std::vector<RouteTarget> targets; ///< At least one.
    std::uint32_t maxEndpoints = 1; ///< Endpoints that one request may be sent to.
    bool isPublic = false; ///< Needs no key.
    bool isResumable = false; ///< A stream may go on at another endpoint behind its last event.
};

/** How an engine's passes take their time; all as the operators state it. */
struct StepModel {
    std::uint32_t slots = 1; ///< Requests that it runs at once.
    std::uint64_t memoryTokens = 0; ///< Prompt and answer tokens that fit into its memory.
    std::uint32_t stepsPerPass = 1;
    double stepMs = 0;
    double perRequestMs = 0; ///< Added to a step for each request that is answered in it.
    double perThousandTokensMs = 0; ///< Added for each 1,000 tokens of context of such a request.
    double prefillTokensPerSecond = 0; ///< Prompt tokens.
    double typicalPromptTokens = 0;
    double typicalAnswerTokens = 0;
};

/** How a service's engines share the experts of a group. */
struct ExpertLayout {
    Duration pauseObjective{0}; ///< The shortest of the routes that lead to the service; 0: none.
    std::uint32_t sets = 0; ///< 0: it has no experts.
    std::uint32_t experts = 0; ///< In each set.
    std::uint32_t placesPerRank = 0; ///< In each set.
    std::uint32_t sparePlaces = 0; ///< Most experts of a set that a rank can take on in one change.
    double expertMegabytes = 0;
    double linkMegabitsPerSecond = 0;
    double workShare = 0; ///< Of a token's work that is done by experts, 0 to 1.
    Duration formingTime{0}; ///< From a rank's return to the opening of its group.
};

struct Service {
    std::string name;
    std::uint32_t maxConnections = 0; ///< An endpoint takes so many of all callers together.
    std::optional<StepModel> steps{}; ///< Of model engines.
    ExpertLayout experts{};
};

/** What a caller may send, and how long it may take. */
struct CallerLimits {
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    Duration headerTimeout{3000};
    Duration idleTimeout{15000}; ///< Of a kept connection without a request.
};

struct Organisation {
    std::string name;
    std::vector<std::string> keys;
    std::optional<Priority> priority; ///< Goes before the route's.
};

/** One version of all of it. */
struct RoutingConfig {
    std::uint64_t version = 0; ///< A higher one replaces a lower one.
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
    std::vector<Organisation> organisations; ///< Empty: no request needs a key.
};

/** @return the shortest pause objective of the routes that lead to a service; 0 if none states one. */
Duration shortestPauseObjective(const RoutingConfig &config, std::string_view service);

} // namespace magnolia::routing

#endif
