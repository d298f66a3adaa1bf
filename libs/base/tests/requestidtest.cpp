#include "base/requestid.h"

#include <boost/test/unit_test.hpp>

#include <array>

using magnolia::Random;
using magnolia::RequestId;

BOOST_AUTO_TEST_SUITE(RequestIdTest)

BOOST_AUTO_TEST_CASE(mintedId_printedAndParsed_isTheSame)
{
    Random random(7);
    const RequestId id = RequestId::mint(random);
    const auto parsed = RequestId::parse(id.toString());
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((*parsed == id));
}

BOOST_AUTO_TEST_CASE(malformedText_parsed_isRefused)
{
    const std::array<std::string_view, 5> malformed = {
        "",
        "00",
        "0123456789abcdef0123456789abcdeg",
        "0123456789ABCDEF0123456789ABCDEF",
        "0123456789abcdef0123456789abcdef0",
    };
    for (const std::string_view text : malformed) {
        BOOST_TEST(!RequestId::parse(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
