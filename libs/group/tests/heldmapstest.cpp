#include "heldmaps.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

BOOST_AUTO_TEST_SUITE(HeldMapsTest)

BOOST_AUTO_TEST_CASE(ranks_allOfOneVersion_areJoined)
{
    HeldMaps held;
    held.note(1, 7, {{2}, {0}});
    BOOST_TEST(!held.joined(2).has_value()); // One is missing.
    held.note(0, 7, {{0, 1}, {1, 2}});
    BOOST_TEST((held.joined(2).value() == ExpertMap{{{0, 1}, {2}}, {{1, 2}, {0}}}));
    BOOST_TEST(held.version() == 7U);
}

// A switch is seen at some ranks before others: what is put together from two maps is neither.
BOOST_AUTO_TEST_CASE(ranks_ofTwoVersions_areNotJoined)
{
    HeldMaps held;
    held.note(0, 7, {{0, 1}});
    held.note(1, 8, {{2}});
    BOOST_TEST(!held.joined(2).has_value());
}

BOOST_AUTO_TEST_CASE(oneRank_absent_holdsWhatNoOtherDoes)
{
    HeldMaps held;
    held.note(0, 7, {{0, 1}});
    held.note(2, 7, {{1, 4}});
    BOOST_TEST((held.joinedWithout(1, 3, 5).value() == ExpertMap{{{0, 1}, {2, 3}, {1, 4}}}));
    BOOST_TEST(!held.joinedWithout(0, 3, 5).has_value()); // It is not the one that is absent.
}

BOOST_AUTO_TEST_CASE(news_takenOnce_areNoNewsAnyMore)
{
    HeldMaps held;
    held.note(0, 7, {{0}});
    BOOST_TEST(held.takeNews());
    BOOST_TEST(!held.takeNews());
    held.clear();
    BOOST_TEST(held.takeNews());
    BOOST_TEST(!held.knows(0, 7));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
