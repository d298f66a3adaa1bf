#include "forward/evacuationlist.h"

#include "loopfixture.h"
#include "recordingtask.h"
#include "store/storeversion.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace magnolia::forward
{

namespace
{

using namespace std::chrono_literals;
using Updates = std::vector<std::string>;

constexpr Duration Retention{100};

struct EvacuationListFixture : http::LoopFixture {
    EvacuationListFixture()
    {
        list.applySnapshot({.version = 10, .dataCentres = {"north"}});
        list.confirm(BootClock::now());
    }

    RecordingTask task;
    EvacuationList list{loop.get(), task, {.retention = Retention}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationListTest, EvacuationListFixture)

BOOST_AUTO_TEST_CASE(changes_received_areAppliedAtOnce)
{
    list.applyChanges({.version = 11, .begun = {"south"}});
    list.applyChanges({.version = 12, .ended = {"north"}});
    BOOST_TEST(task.updates == (Updates{"evacuated north", "evacuated north south", "evacuated south"}), boost::test_tools::per_element());
    BOOST_TEST(list.version() == 12U);
}

BOOST_AUTO_TEST_CASE(changes_ofOtherRows_areNotPassedOn)
{
    list.applyChanges({.version = 11});
    BOOST_TEST(task.updates.size() == 1U);
    BOOST_TEST(list.version() == 11U);
}

BOOST_AUTO_TEST_CASE(peersCopy_newer_isApplied)
{
    RecordingTask otherTask;
    EvacuationList other(loop.get(), otherTask, {});
    other.applySnapshot({.version = 20, .dataCentres = {"south"}});
    list.applyPeerSnapshot(other.encodedSnapshot());
    BOOST_TEST(task.updates.back() == "evacuated south");
    list.applyChanges({.version = 15, .begun = {"east"}}); // The store's answer was on its way meanwhile.
    BOOST_TEST(task.updates.back() == "evacuated south");
}

BOOST_AUTO_TEST_CASE(peersCopy_unreadable_changesNothing)
{
    list.applyPeerSnapshot("unreadable");
    BOOST_TEST(task.updates.size() == 1U);
    BOOST_TEST(list.version() == 10U);
}

// Guards against requests to an evacuated data centre because the store was restored from a copy without the operator's row.
BOOST_AUTO_TEST_CASE(storeRestored_rowIsMissing_evacuationEndsOnlyAfterTheRetention)
{
    list.applySnapshot({.version = store::combinedVersion(1, 5)});
    BOOST_TEST(task.updates.size() == 1U);
    BOOST_TEST(runUntil([this] { return task.updates.back() == "evacuated"; }, Duration(1000)));
}

// Guards against an old answer of the store's earlier era being taken for a restore.
BOOST_AUTO_TEST_CASE(storeRestored_answerOfTheEarlierEra_isIgnored)
{
    list.applySnapshot({.version = store::combinedVersion(1, 5), .dataCentres = {"north"}});
    list.applySnapshot({.version = 500});
    runFor(2 * Retention);
    BOOST_TEST(task.updates.size() == 1U);
}

BOOST_AUTO_TEST_CASE(age_ofAChange_isTimeSinceThePreviousProof)
{
    const BootTime proved = BootClock::now();
    list.confirm(proved);
    list.applyChanges({.version = 11, .begun = {"south"}});
    BOOST_TEST((task.evacuated.provedAt == proved));
    BOOST_TEST(task.evacuated.version == 11U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
