#include "routing/endpointavailability.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

namespace magnolia::routing
{

namespace
{

constexpr Duration Rest{3000};
constexpr Duration Moment{1};

struct AvailabilityFixture {
    /** Dispatches whenever that is allowed. @return the number of requests. */
    int dispatchUntil(BootTime until)
    {
        int requests = 0;
        for (; now < until; now += Moment) {
            if (availability.mayDispatch(now)) {
                availability.onDispatch(now);
                ++requests;
            }
        }
        return requests;
    }

    BootTime now{std::chrono::hours(1)};
    Random random{7};
    EndpointAvailability availability;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointAvailabilityTest, AvailabilityFixture)

BOOST_AUTO_TEST_CASE(noStatement_any_mayDispatch)
{
    BOOST_TEST(availability.mayDispatch(now));
    BOOST_TEST(availability.isUnrestricted());
}

// Guards against requests to an endpoint within the rest that it asked for, which would turn away each of them.
BOOST_AUTO_TEST_CASE(rest_untilItsEnd_nothingIsDispatched)
{
    availability.onRestStated(Rest, now, random);
    BOOST_TEST(dispatchUntil(now + Rest) == 0);
}

BOOST_AUTO_TEST_CASE(rest_hasEnded_oneProbeAtATimeUntilAnAnswer)
{
    availability.onRestStated(Rest, now, random);
    now = availability.nextDispatchAt();
    BOOST_TEST(dispatchUntil(now + Duration(200)) == 1);
    availability.onAnswer(now);
    BOOST_TEST(dispatchUntil(now + Duration(10)) == 10);
}

BOOST_AUTO_TEST_CASE(answer_toRequestOfBeforeTheRest_provesNothing)
{
    const BootTime sentAt = now;
    availability.onRestStated(Rest, now, random);
    availability.onAnswer(sentAt);
    BOOST_TEST(!availability.mayDispatch(now + Rest - Moment));
    BOOST_TEST(!availability.isUnrestricted());
}

BOOST_AUTO_TEST_CASE(shorterRest_statedLater_doesNotShortenTheFirst)
{
    availability.onRestStated(Rest, now, random);
    availability.onRestStated(Duration(100), now + Moment, random);
    BOOST_TEST(!availability.mayDispatch(now + Rest - Moment));
}

BOOST_AUTO_TEST_CASE(restOfZero_any_changesNothing)
{
    availability.onRestStated(Duration(0), now, random);
    BOOST_TEST(availability.isUnrestricted());
}

BOOST_AUTO_TEST_CASE(restOfADay_any_lastsThatLong)
{
    availability.onRestStated(std::chrono::hours(24), now, random);
    BOOST_TEST(!availability.mayDispatch(now + std::chrono::hours(24) - Moment));
    BOOST_TEST(availability.mayDispatch(now + std::chrono::hours(24) + std::chrono::seconds(1)));
}

// Guards against all entries returning to an endpoint in the same moment, after it asked all of them for the same rest.
BOOST_AUTO_TEST_CASE(rest_statedToManyEntries_theyReturnAtDifferentTimes)
{
    std::vector<BootTime> returns;
    for (int entry = 0; entry < 100; ++entry) {
        EndpointAvailability other;
        other.onRestStated(Rest, now, random);
        returns.push_back(other.nextDispatchAt());
    }
    const auto inOneTick = [&](BootTime at) {
        return std::count_if(returns.begin(), returns.end(), [at](BootTime other) { return other >= at && other < at + Duration(50); });
    };
    BOOST_TEST((std::all_of(returns.begin(), returns.end(), [&](BootTime at) { return inOneTick(at) < 30; })));
}

BOOST_AUTO_TEST_CASE(leaving_stated_nothingIsDispatchedAnyMore)
{
    BOOST_TEST(availability.onLeavingStated());
    BOOST_TEST(!availability.onLeavingStated());
    BOOST_TEST(!availability.mayDispatch(now + std::chrono::hours(24)));
}

BOOST_AUTO_TEST_CASE(newRun_afterRestAndLeaving_isProbed)
{
    availability.onRestStated(std::chrono::hours(1), now, random);
    availability.onLeavingStated();
    availability.onNewRun();
    BOOST_TEST(dispatchUntil(now + Duration(200)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
