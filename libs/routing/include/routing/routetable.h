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

/** Lets a table keyed by strings be searched by a view. */
struct TextHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): the name that the standard library asks for
    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>()(text);
    }
};

template<typename T>
using TextMap = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;

/**
 * One version of the routing configuration, made quick to search.
 *
 * Never changes once built, and is shared: a request keeps the version that it began under.
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

    /** @param host as received, with or without a port. @return that host's route with the longest prefix of the path, or null. */
    const Route *match(std::string_view host, std::string_view path) const;

    /** @return the holder of a key, or null. */
    const Organisation *organisationOf(std::string_view key) const;

    const Service *service(std::string_view name) const;

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
    TextMap<TextMap<const Route *>> hosts_; ///< By host, then by prefix.
    TextMap<const Organisation *> keys_;
    TextMap<const Service *> services_;
};

/** @param point 0 to 1, drawn at random for each request. @return the target whose share of the weights holds it. */
const RouteTarget &pickTarget(const Route &route, double point);

} // namespace magnolia::routing

#endif
