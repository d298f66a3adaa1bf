#include "base/statedincarnation.h"

#include <boost/test/unit_test.hpp>

#include <utility>

namespace magnolia
{

BOOST_AUTO_TEST_SUITE(StatedIncarnationTest)

BOOST_AUTO_TEST_CASE(incarnation_unknown_isNeitherEarlierNorOfAnotherRun)
{
    const StatedIncarnation unknown;
    const StatedIncarnation known(1000);
    for (const auto &[one, other] : {std::pair(unknown, known), std::pair(known, unknown), std::pair(unknown, unknown)}) {
        BOOST_TEST(!one.isEarlierThan(other));
        BOOST_TEST(!one.isOtherRunThan(other));
    }
    BOOST_TEST(!unknown.isKnown());
}

BOOST_AUTO_TEST_CASE(incarnation_known_isOrderedByStart)
{
    const StatedIncarnation earlier(1000);
    const StatedIncarnation later(2000);
    BOOST_TEST(earlier.isEarlierThan(later));
    BOOST_TEST(!later.isEarlierThan(earlier));
    BOOST_TEST(later.isOtherRunThan(earlier));
    BOOST_TEST(!earlier.isOtherRunThan(earlier));
    BOOST_TEST(!StatedIncarnation(0).isOtherRunThan(StatedIncarnation(0)));
}

BOOST_AUTO_TEST_CASE(laterOf_oneUnknown_isTheKnownOne)
{
    const StatedIncarnation known(1000);
    BOOST_TEST((StatedIncarnation::laterOf({}, known) == known));
    BOOST_TEST((StatedIncarnation::laterOf(known, {}) == known));
    BOOST_TEST((StatedIncarnation::laterOf(known, StatedIncarnation(2000)) == StatedIncarnation(2000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia
