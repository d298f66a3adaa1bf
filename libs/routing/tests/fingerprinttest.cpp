#include "routing/fingerprint.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace magnolia::routing
{

namespace
{

struct FingerprintFixture {
    RequestIdentity usual{.method = "POST", .host = "h", .target = "/orders/7?a=1", .organisation = "south", .body = "text"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FingerprintTest, FingerprintFixture)

BOOST_AUTO_TEST_CASE(fingerprint_sameRequest_isStableAcrossInstancesAndVersions)
{
    BOOST_TEST(fingerprintOf(usual) == "cd6401929f1b0dc0e0b7fcdc25bc8ab9");
}

BOOST_AUTO_TEST_CASE(fingerprint_anyPartDiffers_differs)
{
    const std::string own = fingerprintOf(usual);
    BOOST_TEST(fingerprintOf({.method = "PUT", .host = "h", .target = "/orders/7?a=1", .organisation = "south", .body = "text"}) != own);
    BOOST_TEST(fingerprintOf({.method = "POST", .host = "g", .target = "/orders/7?a=1", .organisation = "south", .body = "text"}) != own);
    BOOST_TEST(fingerprintOf({.method = "POST", .host = "h", .target = "/orders/7?a=2", .organisation = "south", .body = "text"}) != own);
    BOOST_TEST(fingerprintOf({.method = "POST", .host = "h", .target = "/orders/7?a=1", .organisation = "north", .body = "text"}) != own);
    BOOST_TEST(fingerprintOf({.method = "POST", .host = "h", .target = "/orders/7?a=1", .organisation = "south", .body = "texts"}) != own);
}

BOOST_AUTO_TEST_CASE(fingerprint_textMovedToTheNextPart_differs)
{
    // Guards against forging the fingerprint of another organisation's request by moving text across a part boundary.
    BOOST_TEST(fingerprintOf({.method = "POST", .host = "h", .target = "/a", .organisation = "ab", .body = "c"})
               != fingerprintOf({.method = "POST", .host = "h", .target = "/a", .organisation = "a", .body = "bc"}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
