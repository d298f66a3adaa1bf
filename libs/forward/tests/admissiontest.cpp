#include "admission.h"

#include "routing/routetable.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

namespace magnolia::forward
{

namespace
{

using namespace std::chrono_literals;

struct AdmissionFixture {
    AdmissionFixture()
    {
        routing::RoutingConfig config;
        config.version = 1;
        config.routes = {route("open", true), route("keyed", false)};
        config.organisations = {{.name = "south", .keys = {"k1"}, .priority = {}}};
        table = std::make_shared<const routing::RouteTable>(std::move(config));
        proof.confirm(now);
    }

    static routing::Route route(const std::string &name, bool isPublic)
    {
        routing::Route newRoute;
        newRoute.name = name;
        newRoute.host = "h";
        newRoute.pathPrefix = "/" + name + "/";
        newRoute.isPublic = isPublic;
        return newRoute;
    }

    tl::expected<AdmittedRequest, Rejection> admit(const std::string &target, const std::string &key = {})
    {
        request.head.method = "GET";
        request.head.target = target;
        request.head.headers = {};
        request.head.headers.add("Host", "h");
        if (!key.empty()) {
            request.head.headers.add(protocol.apiKey, key);
        }
        return admitRequest({.routes = table.get(), .proof = &proof, .protocol = &protocol, .request = &request, .now = now});
    }

    BootTime now{1h};
    routing::RouteTable::Pointer table;
    routing::FreshnessProof proof{{.bound = 5s}};
    Protocol protocol;
    CallerRequest request;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionTest, AdmissionFixture)

BOOST_AUTO_TEST_CASE(request_onPublicRoute_needsNoKeyAndHasNoOrganisation)
{
    const auto admitted = admit("/open/x?a=1", "k1");
    BOOST_REQUIRE(admitted.has_value());
    BOOST_TEST(admitted->route->name == "open");
    BOOST_TEST((admitted->organisation == nullptr));
    BOOST_TEST(admitted->fingerprint != admit("/open/x?a=2")->fingerprint);
}

BOOST_AUTO_TEST_CASE(request_withKnownKey_isAttributedToItsOrganisation)
{
    const auto admitted = admit("/keyed/x", "k1");
    BOOST_REQUIRE(admitted.has_value());
    BOOST_TEST(admitted->organisation->name == "south");
}

BOOST_AUTO_TEST_CASE(request_unknownPathOrKeyWhileRoutesAreProvedFresh_isRejectedWithoutRetryAfter)
{
    BOOST_TEST(admit("/nowhere/x").error().status == 404);
    BOOST_TEST(admit("/keyed/x", "k9").error().status == 401);
    BOOST_TEST(!admit("/keyed/x", "k9").error().retryAfter.has_value());
}

// Guards against final rejections of requests that a newer version of the routes may admit.
BOOST_AUTO_TEST_CASE(request_routesNotProvedFresh_isRejectedWithRetryAfter)
{
    now += 6s;
    for (const auto &rejection : {admit("/nowhere/x").error(), admit("/keyed/x", "k1").error()}) {
        BOOST_TEST(rejection.status == 503);
        BOOST_TEST(rejection.retryAfter.has_value());
    }
    BOOST_TEST(admit("/open/x").has_value());
}

BOOST_AUTO_TEST_CASE(request_noRoutesKnown_isRejectedAsUnavailable)
{
    table = nullptr;
    BOOST_TEST(admit("/open/x").error().status == 503);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
