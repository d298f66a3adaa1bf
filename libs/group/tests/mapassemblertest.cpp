#include "mapassembler.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

BOOST_AUTO_TEST_SUITE(MapAssemblerTest)

BOOST_AUTO_TEST_CASE(ranks_allOfOneVersion_areAssembled)
{
    MapAssembler assembler;
    assembler.setRank(1, 7, {{2}, {0}});
    BOOST_TEST(!assembler.assemble(2).has_value()); // Rank 0 is missing.
    assembler.setRank(0, 7, {{0, 1}, {1, 2}});
    BOOST_TEST((assembler.assemble(2).value() == ExpertMap{{{0, 1}, {2}}, {{1, 2}, {0}}}));
    BOOST_TEST(assembler.version() == 7U);
}

// Guards against a map assembled from two versions, since some ranks report a switch before others.
BOOST_AUTO_TEST_CASE(ranks_ofTwoVersions_areNotAssembled)
{
    MapAssembler assembler;
    assembler.setRank(0, 7, {{0, 1}});
    assembler.setRank(1, 8, {{2}});
    BOOST_TEST(!assembler.assemble(2).has_value());
}

BOOST_AUTO_TEST_CASE(oneRank_absent_getsTheExpertsThatNoOtherHolds)
{
    MapAssembler assembler;
    assembler.setRank(0, 7, {{0, 1}});
    assembler.setRank(2, 7, {{1, 4}});
    BOOST_TEST((assembler.assembleWithout(1, 3, 5).value() == ExpertMap{{{0, 1}, {2, 3}, {1, 4}}}));
    BOOST_TEST(!assembler.assembleWithout(0, 3, 5).has_value()); // Rank 0 is not the absent one.
}

BOOST_AUTO_TEST_CASE(change_takenOnce_isNotReportedAgain)
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
