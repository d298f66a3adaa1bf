#include "mapassembler.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::group
{

namespace
{

constexpr std::size_t Experts = 5; // In each set.

} // namespace

BOOST_AUTO_TEST_SUITE(MapAssemblerTest)

BOOST_AUTO_TEST_CASE(ranks_allOfOneVersion_areAssembled)
{
    MapAssembler assembler(Experts);
    assembler.setRank(1, 7, {{2}, {0}});
    BOOST_TEST(!assembler.assemble(2).has_value()); // Rank 0 is missing.
    assembler.setRank(0, 7, {{0, 1}, {1, 2}});
    BOOST_TEST((assembler.assemble(2).value() == ExpertMap{{{0, 1}, {2}}, {{1, 2}, {0}}}));
    BOOST_TEST(assembler.version() == 7U);
}

// Guards against a map assembled from two versions, since some ranks report a switch before others.
BOOST_AUTO_TEST_CASE(ranks_ofTwoVersions_areNotAssembled)
{
    MapAssembler assembler(Experts);
    assembler.setRank(0, 7, {{0, 1}});
    assembler.setRank(1, 8, {{2}});
    BOOST_TEST(!assembler.assemble(2).has_value());
}

BOOST_AUTO_TEST_CASE(oneRank_absent_getsTheExpertsThatNoOtherHolds)
{
    MapAssembler assembler(Experts);
    assembler.setRank(0, 7, {{0, 1}});
    assembler.setRank(2, 7, {{1, 4}});
    BOOST_TEST((assembler.assembleWithout(1, 3).value() == ExpertMap{{{0, 1}, {2, 3}, {1, 4}}}));
    BOOST_TEST(!assembler.assembleWithout(0, 3).has_value()); // Rank 0 is not the absent one.
}

// Guards against an exception, which ends the process, on the report of an engine that holds experts which do not exist.
BOOST_AUTO_TEST_CASE(rank_holdsAnExpertThatDoesNotExist_isIgnored)
{
    MapAssembler assembler(Experts);
    assembler.setRank(0, 7, {{0, 1}});
    assembler.setRank(2, 7, {{1, Experts}});
    BOOST_TEST(!assembler.hasRank(2, 7));
    BOOST_TEST(!assembler.assembleWithout(1, 3).has_value());
}

// Guards against the same on a rank that the group does not have.
BOOST_AUTO_TEST_CASE(rank_beyondTheGroup_nothingIsAssembled)
{
    MapAssembler assembler(Experts);
    assembler.setRank(0, 7, {{0, 1}});
    assembler.setRank(9, 7, {{1, 4}});
    BOOST_TEST(!assembler.assemble(2).has_value());
    BOOST_TEST(!assembler.assembleWithout(1, 3).has_value());
}

BOOST_AUTO_TEST_CASE(change_takenOnce_isNotReportedAgain)
{
    MapAssembler assembler(Experts);
    assembler.setRank(0, 7, {{0}});
    BOOST_TEST(assembler.takeChanged());
    BOOST_TEST(!assembler.takeChanged());
    assembler.clear();
    BOOST_TEST(assembler.takeChanged());
    BOOST_TEST(!assembler.hasRank(0, 7));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
