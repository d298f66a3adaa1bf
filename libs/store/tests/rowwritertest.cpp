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

/** Records writes; the test answers them with fail() or succeed(). */
struct RecordingTable {
    void write(const std::vector<RowChange> &changes, WriteRowsCallback callback)
    {
        calls.push_back(changes);
        done = std::move(callback);
    }

    std::vector<std::vector<RowChange>> calls;
    WriteRowsCallback done;
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

    RecordingTable table;
    RowWriter<RecordingTable> writer{loop.get(), table, {.name = "t", .retryInterval = Duration(20), .maxBatch = 3, .maxPending = 5}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RowWriterTest, RowWriterFixture)

BOOST_AUTO_TEST_CASE(changes_madeTogether_areWrittenInOneCall)
{
    writer.put("a", "1");
    writer.remove("b");
    BOOST_REQUIRE(runUntilCalls(1));
    BOOST_REQUIRE(table.calls[0].size() == 2U);
    BOOST_TEST(table.calls[0][0].value.value() == "1");
    BOOST_TEST(!table.calls[0][1].value.has_value());
}

BOOST_AUTO_TEST_CASE(store_failing_changeIsWrittenAgainUntilAcknowledged)
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

// Guards against restoring a removed row when an older write of it is repeated.
BOOST_AUTO_TEST_CASE(row_removedWhileItsWriteIsInFlight_staysRemoved)
{
    writer.put("a", "1");
    BOOST_REQUIRE(runUntilCalls(1));
    writer.remove("a");
    fail();
    BOOST_REQUIRE(runUntilCalls(2));
    BOOST_REQUIRE(table.calls[1].size() == 1U);
    BOOST_TEST(!table.calls[1][0].value.has_value());
}

BOOST_AUTO_TEST_CASE(changes_exceedingABatch_areWrittenInSeveralCalls)
{
    for (const std::string key : {"a", "b", "c", "d", "e", "f"}) {
        writer.put(key, "1");
    }
    BOOST_REQUIRE(runUntilCalls(1));
    BOOST_TEST(table.calls[0].size() == 3U);
    succeed();
    BOOST_REQUIRE(runUntilCalls(2));
    BOOST_TEST(table.calls[1].size() == 2U); // The sixth exceeded maxPending and was dropped.
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::store
