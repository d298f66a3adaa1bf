#include "store/rowwriter.h"
#include "http/eventhandles.h"
#include "loopfixture.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

namespace magnolia::store
{

namespace
{

/** Notes what is written, and answers when the test says. */
struct NotingTable {
    void write(const std::vector<RowChange> &changes, RowsWritten written)
    {
        calls.push_back(changes);
        done = std::move(written);
    }

    std::vector<std::vector<RowChange>> calls;
    RowsWritten done;
};

struct RowWriterFixture : http::LoopFixture {
    bool runUntilCalls(std::size_t count)
    {
        return runUntil([this, count] { return table.calls.size() >= count; }, Duration(2000));
    }
    void fail()
    {
        std::exchange(table.done, nullptr)(magnolia::fail(ErrorCode::Unavailable, Verdict::MayHaveRun, "away"));
    }
    void succeed()
    {
        std::exchange(table.done, nullptr)({});
    }

    NotingTable table;
    RowWriter<NotingTable> writer{loop.get(), table, {.name = "t", .retryInterval = Duration(20), .mostInCall = 3, .mostPending = 5}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RowWriterTest, RowWriterFixture)

BOOST_AUTO_TEST_CASE(changes_madeTogether_goInOneCall)
{
    writer.put("a", "1");
    writer.remove("b");
    BOOST_REQUIRE(runUntilCalls(1));
    BOOST_REQUIRE(table.calls[0].size() == 2U);
    BOOST_TEST(table.calls[0][0].value.value() == "1");
    BOOST_TEST(!table.calls[0][1].value.has_value());
}

BOOST_AUTO_TEST_CASE(store_away_changeIsWrittenAgainUntilTaken)
{
    writer.put("a", "1");
    for (std::size_t call = 1; call <= 3; ++call) {
        BOOST_REQUIRE(runUntilCalls(call));
        fail();
    }
    BOOST_REQUIRE(runUntilCalls(4));
    succeed();
    runFor(Duration(100));
    BOOST_TEST(table.calls.size() == 4U);
}

// Guards against a row being brought back by the repetition of an older change.
BOOST_AUTO_TEST_CASE(row_removedWhileItsWritingIsInFlight_removalStands)
{
    writer.put("a", "1");
    BOOST_REQUIRE(runUntilCalls(1));
    writer.remove("a");
    fail();
    BOOST_REQUIRE(runUntilCalls(2));
    BOOST_REQUIRE(table.calls[1].size() == 1U);
    BOOST_TEST(!table.calls[1][0].value.has_value());
}

BOOST_AUTO_TEST_CASE(changes_moreThanOneCallHolds_goInTurn)
{
    for (const std::string key : {"a", "b", "c", "d", "e", "f"}) {
        writer.put(key, "1");
    }
    BOOST_REQUIRE(runUntilCalls(1));
    BOOST_TEST(table.calls[0].size() == 3U);
    succeed();
    BOOST_REQUIRE(runUntilCalls(2));
    BOOST_TEST(table.calls[1].size() == 2U); // The sixth is over the bound.
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::store
