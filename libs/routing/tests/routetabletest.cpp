#include "routing/routetable.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::routing
{

namespace
{

Route routeTo(std::string name, std::string host, std::string prefix)
{
    Route route;
    route.name = std::move(name);
    route.host = std::move(host);
    route.pathPrefix = std::move(prefix);
    route.targets = {{.service = "one", .weight = 90}, {.service = "two", .weight = 10}};
    return route;
}

struct RouteTableFixture {
    static RoutingConfig config()
    {
        RoutingConfig config;
        config.version = 7;
        config.routes = {routeTo("shop", "a.example", "/shop/"), routeTo("cart", "a.example", "/shop/cart/"), routeTo("all", "b.example", "/")};
        config.services = {{.name = "one"}};
        config.organisations = {{.name = "south", .keys = {"k1", "k2"}, .priority = {}}};
        return config;
    }

    std::string nameOf(std::string_view host, std::string_view path) const
    {
        const Route *route = table.match(host, path);
        return route == nullptr ? "none" : route->name;
    }

    const RouteTable table{config()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RouteTableTest, RouteTableFixture)

BOOST_AUTO_TEST_CASE(path_severalMatchingPrefixes_longestIsChosen)
{
    BOOST_TEST(nameOf("a.example", "/shop/cart/1") == "cart");
    BOOST_TEST(nameOf("a.example", "/shop/cart") == "shop");
    BOOST_TEST(nameOf("a.example", "/shop/") == "shop");
}

BOOST_AUTO_TEST_CASE(path_noMatchingPrefix_hasNoRoute)
{
    BOOST_TEST(nameOf("a.example", "/shop") == "none");
    BOOST_TEST(nameOf("a.example", "/") == "none");
    BOOST_TEST(nameOf("c.example", "/shop/") == "none");
    BOOST_TEST(nameOf("a.example", "*") == "none");
}

BOOST_AUTO_TEST_CASE(host_withPort_matchesWithoutPort)
{
    BOOST_TEST(nameOf("b.example:8080", "/x") == "all");
}

// Guards against denying requests of callers that write the host in capitals.
BOOST_AUTO_TEST_CASE(host_inCapitals_matches)
{
    BOOST_TEST(nameOf("B.Example", "/x") == "all");
    BOOST_TEST(nameOf("B.EXAMPLE:8080", "/x") == "all");
    BOOST_TEST(nameOf("a.example", "/Shop/") == "none"); // Paths are compared as they are.
}

BOOST_AUTO_TEST_CASE(key_known_hasItsOrganisation)
{
    BOOST_REQUIRE(table.organisationOf("k2") != nullptr);
    BOOST_TEST(table.organisationOf("k2")->name == "south");
    BOOST_TEST(table.organisationOf("k3") == nullptr);
    BOOST_TEST(table.organisationOf("") == nullptr);
}

BOOST_AUTO_TEST_CASE(targets_weighted_shareTheRequests)
{
    const Route *route = table.match("b.example", "/");
    BOOST_REQUIRE(route != nullptr);
    BOOST_TEST(pickTarget(*route, 0).service == "one");
    BOOST_TEST(pickTarget(*route, 0.899).service == "one");
    BOOST_TEST(pickTarget(*route, 0.901).service == "two");
    BOOST_TEST(pickTarget(*route, 1).service == "two");
}

// Guards against services whose routes have one priority being admitted by class because an organisation has another.
BOOST_AUTO_TEST_CASE(streamPriorities_ofOrganisations_countOnlyWhereRoutesDiffer)
{
    const auto stream = [](std::string service, Priority priority) {
        return Route{
            .name = "r", .host = "a.example", .pathPrefix = "/", .kind = RouteKind::Stream, .priority = priority, .targets = {{.service = std::move(service)}}};
    };
    const RouteTable priorities({.version = 1,
                                 .routes = {stream("one", 1), stream("two", 1), stream("two", 2)},
                                 .services = {},
                                 .limits = {},
                                 .organisations = {{.name = "o", .keys = {"k"}, .priority = 0}}});
    BOOST_TEST(priorities.streamPrioritiesOf("one").count() == 1U);
    BOOST_TEST(priorities.streamPrioritiesOf("two").count() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
