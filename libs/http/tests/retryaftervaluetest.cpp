#include "http/retryaftervalue.h"

#include <boost/test/unit_test.hpp>

#include <string_view>

namespace magnolia::http
{

BOOST_AUTO_TEST_SUITE(RetryAfterValueTest)

BOOST_AUTO_TEST_CASE(seconds_withAndWithoutFraction_areRead)
{
    BOOST_TEST(parseRetryAfter("3").value().count() == 3000);
    BOOST_TEST(parseRetryAfter("0").value().count() == 0);
    BOOST_TEST(parseRetryAfter("1.5").value().count() == 1500);
    BOOST_TEST(parseRetryAfter("0.0004").value().count() == 1);
    BOOST_TEST(parseRetryAfter("3600").value().count() == 3600000);
}

BOOST_AUTO_TEST_CASE(hugeTime_any_isLimitedToADay)
{
    BOOST_TEST((parseRetryAfter("1e300").value() == std::chrono::hours(24)));
}

BOOST_AUTO_TEST_CASE(text_isNoTime_isRejected)
{
    for (const std::string_view text : {"", " ", "soon", "-1", "nan", "inf", "-inf", "3s", "3 4", "1,5", "Thu, 03 Dec 2026 23:00:00 GMT"}) {
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_TEST(!parseRetryAfter(text).has_value());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::http
