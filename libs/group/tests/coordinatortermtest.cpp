#include "group/coordinatorterm.h"
#include "store/storeversion.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

BOOST_AUTO_TEST_SUITE(CoordinatorTermTest)

BOOST_AUTO_TEST_CASE(nextRow_ofAnyRow_hasAHigherTermThanTheRowAndTheFollowedTerm)
{
    const CoordinatorRow read{.term = 7, .holder = "a", .version = 40};
    BOOST_TEST(nextCoordinatorRow(read, 0, "b").term == 8U);
    BOOST_TEST(nextCoordinatorRow(read, 12, "b").term == 13U);
    BOOST_TEST(nextCoordinatorRow(read, 0, "b").holder == "b");
}

// Guards against reuse of a term after the store was restored from an older copy.
BOOST_AUTO_TEST_CASE(nextRow_inALaterEra_hasAHigherTermThanAllEarlierEras)
{
    const CoordinatorRow before{.term = 900, .holder = "a", .version = store::combinedVersion(1, 40)};
    const CoordinatorRow older{.term = 3, .holder = "a", .version = store::combinedVersion(2, 4)};
    BOOST_TEST(nextCoordinatorRow(older, 0, "b").term > nextCoordinatorRow(before, 0, "b").term);
}

BOOST_AUTO_TEST_CASE(write_answeredInAnotherEra_isDetected)
{
    const CoordinatorRow read{.term = 7, .holder = "a", .version = store::combinedVersion(1, 40)};
    BOOST_TEST(isInSameStoreEra(read, store::combinedVersion(1, 41)));
    BOOST_TEST(!isInSameStoreEra(read, store::combinedVersion(2, 41)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
