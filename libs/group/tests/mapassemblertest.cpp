#include "mapassembler.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

BOOST_AUTO_TEST_SUITE(MapAssemblerTest)

BOOST_AUTO_TEST_CASE(ranks_allOfOneVersion_areJoined)
{
    MapAssembler assembler;
    assembler.setRank(1, 7, {{2}, {0}});
    BOOST_TEST(!assembler.assemble(2).has_value()); // One is missing.
    assembler.setRank(0, 7, {{0, 1}, {1, 2}});
    BOOST_TEST((assembler.assemble(2).value() == ExpertMap{{{0, 1}, {2}}, {{1, 2}, {0}}}));
    BOOST_TEST(assembler.version() == 7U);
}

// A switch is seen at some ranks before others: what is put together from two maps is neither.
BOOST_AUTO_TEST_CASE(ranks_ofTwoVersions_areNotJoined)
{
    MapAssembler assembler;
    assembler.setRank(0, 7, {{0, 1}});
    assembler.setRank(1, 8, {{2}});
    BOOST_TEST(!assembler.assemble(2).has_value());
}

BOOST_AUTO_TEST_CASE(oneRank_absent_holdsWhatNoOtherDoes)
{
    MapAssembler assembler;
    assembler.setRank(0, 7, {{0, 1}});
    assembler.setRank(2, 7, {{1, 4}});
    BOOST_TEST((assembler.assembleWithout(1, 3, 5).value() == ExpertMap{{{0, 1}, {2, 3}, {1, 4}}}));
    BOOST_TEST(!assembler.assembleWithout(0, 3, 5).has_value()); // It is not the one that is absent.
}

BOOST_AUTO_TEST_CASE(news_takenOnce_areNoNewsAnyMore)
{
    MapAssembler assembler;
    assembler.setRank(0, 7, {{0}});
    BOOST_TEST(assembler.takeChanged());
    BOOST_TEST(!assembler.takeChanged());
    assembler.clear();
    BOOST_TEST(assembler.takeChanged());
    BOOST_TEST(!assembler.hasRank(0, 7));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
