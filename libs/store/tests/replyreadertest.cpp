#include "replyreader.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::store
{

BOOST_AUTO_TEST_SUITE(ReplyReaderTest)

// Guards against calls that are repeated before the time that the platform asked for, because the fraction of a second was dropped.
BOOST_AUTO_TEST_CASE(rejection_statesFractionOfASecond_itIsKept)
{
    const Failure failure = unexpectedStatus({.status = 429, .headers = {{"retry-after", "0.5"}}, .body = {}});
    BOOST_TEST(failure.retryAfter.value_or(Duration(0)).count() == 500);
}

BOOST_AUTO_TEST_CASE(rejection_statesNoTime_noneIsGiven)
{
    BOOST_TEST(!unexpectedStatus({.status = 429, .headers = {{"retry-after", "2 days"}}, .body = {}}).retryAfter.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::store
