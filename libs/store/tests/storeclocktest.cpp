#include "store/storeclock.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::store
{

namespace
{

using namespace std::chrono_literals;

struct StoreClockFixture {
    BootTime timeAt(Duration sinceStart) const
    {
        return origin_ + sinceStart;
    }

    const BootTime origin_ = BootTime(1h);
    StoreClock clock;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreClockTest, StoreClockFixture)

BOOST_AUTO_TEST_CASE(firstAnswer_noBoundOfTheStoresClock_countsFromTheRequest)
{
    BOOST_TEST((clock.estimateAnswerTime(timeAt(0ms), 5000ms, timeAt(1000ms)) == timeAt(0ms)));
}

BOOST_AUTO_TEST_CASE(longPoll_answeredAtItsEnd_countsFromItsEnd)
{
    clock.estimateAnswerTime(timeAt(0ms), 5000ms, timeAt(4ms));
    BOOST_TEST((clock.estimateAnswerTime(timeAt(10ms), 6005ms, timeAt(1010ms)) == timeAt(1005ms)));
}

BOOST_AUTO_TEST_CASE(answer_boundBeforeItsRequest_countsFromTheRequest)
{
    clock.estimateAnswerTime(timeAt(0ms), 5000ms, timeAt(4ms));
    BOOST_TEST((clock.estimateAnswerTime(timeAt(2000ms), 5100ms, timeAt(2004ms)) >= timeAt(2000ms)));
}

BOOST_AUTO_TEST_CASE(storeReplaced_itsClockRunsAhead_countsFromTheRequest)
{
    // Guards against accepting revoked keys: the store was replaced by one with a higher clock reading, which the bound of the
    // old store's clock mapped to a time in the future.
    clock.estimateAnswerTime(timeAt(0ms), 5000ms, timeAt(4ms));
    BOOST_TEST((clock.estimateAnswerTime(timeAt(100ms), 900000ms, timeAt(104ms)) == timeAt(100ms)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::store
