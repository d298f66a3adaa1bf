#include "countdifferences.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <utility>
#include <vector>

namespace magnolia::group
{

namespace
{

using Counts = std::vector<std::uint64_t>;

const StatedIncarnation Unknown;
const StatedIncarnation Earlier(1000);
const StatedIncarnation Later(2000);

struct CountDifferencesFixture {
    CountsRead add(Counts counts, const StatedIncarnation &stated = {}, const StatedIncarnation &engine = {})
    {
        return differences.add({.epoch = 1, .counts = std::move(counts), .incarnation = stated}, engine);
    }

    CountDifferences differences;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CountDifferencesTest, CountDifferencesFixture)

BOOST_AUTO_TEST_CASE(counts_secondRead_areTheDifference)
{
    BOOST_TEST((add({5, 7}) == CountsRead::First));
    BOOST_TEST((add({6, 9}) == CountsRead::Continued));
    BOOST_TEST((differences.latest() == Counts{1, 2}));
    BOOST_TEST((differences.take() == Counts{1, 2}));
    BOOST_TEST(differences.latest().empty());
}

BOOST_AUTO_TEST_CASE(counts_byIncarnationOfStatementAndEngine_areUsedOrDropped)
{
    struct Case {
        StatedIncarnation stated;
        StatedIncarnation engine;
        CountsRead expected;
    };
    const Case cases[] = {
        {Unknown, Unknown, CountsRead::Continued},
        {Unknown, Earlier, CountsRead::Continued},
        {Earlier, Unknown, CountsRead::Continued},
        {Earlier, Earlier, CountsRead::Continued},
        {Earlier, Later, CountsRead::Dropped},
        {Later, Earlier, CountsRead::First}, // The engine's state was read before its restart.
    };
    for (const Case &one : cases) {
        differences.reset();
        add({5, 7}, one.stated == Later ? Earlier : one.stated);
        BOOST_TEST((add({6, 9}, one.stated, one.engine) == one.expected), toString(one.expected));
    }
}

// Guards against demand of a restarted engine that is computed from counts of its earlier run, if its counts don't name the run.
BOOST_AUTO_TEST_CASE(counts_lowerWithoutIncarnation_areAllNew)
{
    add({50, 7});
    BOOST_TEST((add({3, 9}) == CountsRead::Restarted));
    BOOST_TEST((differences.latest() == Counts{3, 9}));
    BOOST_TEST((add({4, 9}) == CountsRead::Continued));
}

BOOST_AUTO_TEST_CASE(counts_ofAnotherLength_areAFirstRead)
{
    add({5, 7});
    BOOST_TEST((add({6, 9, 1}) == CountsRead::First));
    BOOST_TEST((differences.latest() == Counts{0, 0, 0}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
