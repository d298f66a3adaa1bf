#ifndef MAGNOLIA_ROUTING_ROUTETABLE_H
#define MAGNOLIA_ROUTING_ROUTETABLE_H

#include "routing/routingconfig.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace magnolia::routing
{

/** Allows a hash table with string keys to be searched with a string view. */
struct TextHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): name required by the standard library
    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>()(text);
    }
};

template<typename T>
using TextMap = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;

/**
 * Lookup tables over one version of the routing configuration.
 *
 * Immutable and shared: a request keeps the version with which it started.
 *
 * @code
 * const auto table = std::make_shared<const RouteTable>(std::move(config));
 * const Route *route = table->match("shop.example", "/orders/7");
 * @endcode
 */
class RouteTable
{
public:
    using Pointer = std::shared_ptr<const RouteTable>;

    explicit RouteTable(RoutingConfig config);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /** @param host as received, with or without a port, in any case. @return the host's route with the longest matching path prefix, or null. */
    const Route *match(std::string_view host, std::string_view path) const;

    /** @return the organisation to which an API key belongs, or null. */
    const Organisation *organisationOf(std::string_view key) const;

    const Service *service(std::string_view name) const;

    /** @return which priorities streams to a service can have, by their routes and, if these differ, by the organisations. */
    PrioritySet streamPrioritiesOf(std::string_view service) const;

    bool needsKeys() const
    {
        return !config_.organisations.empty();
    }
    std::uint64_t version() const
    {
        return config_.version;
    }
    const RoutingConfig &config() const
    {
        return config_;
    }

private:
    RoutingConfig config_;
    TextMap<TextMap<const Route *>> hosts_; ///< Keys: host, then path prefix.
    TextMap<const Organisation *> keys_;
    TextMap<const Service *> services_;
    TextMap<PrioritySet> streamPriorities_; ///< By service.
};

/** Weighted choice of a target. @param point 0 to 1, drawn at random for each request. */
const RouteTarget &pickTarget(const Route &route, double point);

} // namespace magnolia::routing

#endif
