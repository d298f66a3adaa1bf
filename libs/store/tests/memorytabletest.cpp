#include "store/testing/memorytable.h"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace magnolia;
using namespace magnolia::store;
using magnolia::store::testing::MemoryTable;

namespace
{

struct MemoryTableFixture {
    WriteCallback storeOutcome()
    {
        return [this](Result<WriteOutcome> result) { outcome = std::move(result); };
    }

    MemoryTable table;
    std::optional<Result<WriteOutcome>> outcome;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemoryTableTest, MemoryTableFixture)

BOOST_AUTO_TEST_CASE(secondInsert_delivered_isNotAppliedAndShowsTheFirst)
{
    table.insert("k", "a", {[](const Result<WriteOutcome> &) {}});
    table.insert("k", "b", storeOutcome());
    BOOST_TEST(!outcome.has_value());
    BOOST_TEST(table.deliver() == 2U);
    BOOST_REQUIRE(outcome && *outcome);
    BOOST_TEST(!(*outcome)->applied);
    BOOST_TEST((*outcome)->current->value == "a");
}

BOOST_AUTO_TEST_CASE(writeFaults_delivered_differOnlyInTheirEffect)
{
    struct Case {
        MemoryTable::Fault fault;
        bool isAppliedAtOnce;
        bool isAppliedLater;
    };
    for (const Case &wanted : {Case{MemoryTable::Fault::LoseReply, true, true},
                               Case{MemoryTable::Fault::LoseRequest, false, false},
                               Case{MemoryTable::Fault::DelayEffect, false, true}}) {
        MemoryTable fresh;
        fresh.failNextWrite(wanted.fault);
        fresh.insert("k", "a", storeOutcome());
        fresh.deliver();
        BOOST_REQUIRE(outcome.has_value());
        BOOST_REQUIRE(!outcome->has_value());
        BOOST_TEST((outcome->error().verdict == Verdict::MayHaveRun));
        BOOST_TEST(fresh.peek("k").has_value() == wanted.isAppliedAtOnce);
        fresh.releaseHeld();
        BOOST_TEST(fresh.peek("k").has_value() == wanted.isAppliedLater);
    }
}

BOOST_AUTO_TEST_CASE(heldWrite_released_checksItsConditionThen)
{
    table.failNextWrite(MemoryTable::Fault::Hold);
    table.insert("k", "a", storeOutcome());
    table.deliver();
    BOOST_TEST(!outcome.has_value());
    table.overwrite("k", "rival");
    table.releaseHeld();
    BOOST_REQUIRE(outcome && *outcome);
    BOOST_TEST(!(*outcome)->applied);
}

BOOST_AUTO_TEST_CASE(downTable_called_failsWithUnavailable)
{
    table.setDown(true);
    table.insert("k", "a", storeOutcome());
    table.deliver();
    BOOST_REQUIRE(outcome.has_value());
    BOOST_REQUIRE(!outcome->has_value());
    BOOST_TEST((outcome->error().code == ErrorCode::Unavailable));
    BOOST_TEST((outcome->error().verdict == Verdict::NotRun));
}

BOOST_AUTO_TEST_SUITE_END()
