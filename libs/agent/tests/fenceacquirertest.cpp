#include "agent/fenceacquirer.h"

#include <boost/test/unit_test.hpp>

using namespace magnolia;
using namespace magnolia::agent;

namespace
{

struct FenceFixture {
    std::optional<store::Row> row;
    FenceAcquirer acquirer{7};

    bool write(const FenceAcquirer::Write &write)
    {
        const std::uint64_t present = row ? row->revision : 0;
        if (write.revision != present) {
            return false;
        }
        row = store::Row{.value = write.value, .revision = present + 1};
        return true;
    }

    void acquire(FenceAcquirer &taker, std::uint64_t highestSeen = 0)
    {
        const auto next = taker.onRow(row, highestSeen);
        BOOST_REQUIRE(next.has_value());
        BOOST_REQUIRE(write(*next));
        taker.onApplied();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FenceAcquirerTest, FenceFixture)

BOOST_AUTO_TEST_CASE(eachIncarnation_takesAHigherNumber)
{
    acquire(acquirer);
    FenceAcquirer later(8);
    acquire(later);
    BOOST_TEST(*later.fence() > *acquirer.fence());
    BOOST_TEST(acquirer.isSuperseded(row));
    BOOST_TEST(!later.isSuperseded(row));
}

// Symptom: after a lost reply an agent gives no orders, or takes number after number.
// Sequence: the write takes effect, its reply is lost, the row is read again.
// Cause: not knowing one's own write again.
BOOST_AUTO_TEST_CASE(lostReply_readBack_isKnownAsOurs)
{
    BOOST_REQUIRE(write(*acquirer.onRow(row)));
    BOOST_TEST(!acquirer.fence().has_value());
    BOOST_TEST(!acquirer.onRow(row).has_value());
    BOOST_TEST(acquirer.fence().value() == 1U);
}

BOOST_AUTO_TEST_CASE(rivalsAtOnce_neverShareANumber)
{
    FenceAcquirer rival(8);
    const auto ours = acquirer.onRow(row);
    const auto theirs = rival.onRow(row);
    BOOST_REQUIRE(write(*theirs));
    rival.onApplied();
    BOOST_TEST(!write(*ours));
    acquire(acquirer);
    BOOST_TEST(*acquirer.fence() != *rival.fence());
}

BOOST_AUTO_TEST_CASE(numberThatTheEngineRefuses_isReplacedByAHigherOne)
{
    acquire(acquirer);
    acquirer.reset();
    acquire(acquirer, 40);
    BOOST_TEST(*acquirer.fence() == 41U);
}

BOOST_AUTO_TEST_CASE(malformedRow_isNeitherTakenNorOverwritten)
{
    row = store::Row{.value = "[]", .revision = 3};
    BOOST_TEST(!acquirer.onRow(row).has_value());
    BOOST_TEST(!acquirer.fence().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
