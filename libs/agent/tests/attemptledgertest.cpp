#include "agent/attemptledger.h"

#include <boost/test/unit_test.hpp>

using namespace magnolia;
using namespace magnolia::agent;
using namespace std::chrono_literals;

namespace
{

constexpr wire::Incarnation Present = 7;

struct LedgerFixture {
    MonoTime now{};
    AttemptLedger ledger{{.incarnation = Present, .maxRecords = 8}};

    static wire::Dispatch dispatch(std::uint64_t id, wire::Incarnation incarnation = Present)
    {
        wire::Dispatch message;
        message.id.request.low = id;
        message.incarnation = incarnation;
        return message;
    }

    static wire::AttemptId id(std::uint64_t number)
    {
        return dispatch(number).id;
    }

    Verdict verdictOf(std::uint64_t number, wire::Incarnation incarnation = Present)
    {
        return ledger.query({.id = id(number), .incarnation = incarnation}, now).verdict;
    }

    /** Time passes as in a process that runs: in small steps. */
    void pass(std::chrono::seconds time)
    {
        for (; time > 0s; time -= 1s) {
            now += 1s;
            static_cast<void>(ledger.cancel(id(0), now));
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AttemptLedgerTest, LedgerFixture)

BOOST_AUTO_TEST_CASE(attempt_inEachState_isAnsweredTruthfully)
{
    BOOST_TEST((ledger.dispatch(dispatch(1), now) == LedgerAnswer::Accepted));
    BOOST_TEST((verdictOf(1) == Verdict::MayHaveRun));
    BOOST_TEST((ledger.dispatch(dispatch(1), now) == LedgerAnswer::Duplicate));
    BOOST_TEST(ledger.begin(id(1)));
    BOOST_TEST(!ledger.begin(id(1)));
    BOOST_TEST((ledger.dispatch(dispatch(1), now) == LedgerAnswer::Duplicate));
    ledger.end(id(1), Verdict::Ran, now);
    ledger.end(id(1), Verdict::NotRun, now);
    BOOST_TEST((verdictOf(1) == Verdict::Ran));
    BOOST_TEST((ledger.dispatch(dispatch(1), now) == LedgerAnswer::Ended));
    BOOST_TEST(!ledger.begin(id(1)));
}

// Symptom: a request that the caller was told had not run is run a moment later.
// Sequence: the link breaks under a Dispatch; the entry asks over a fresh link and hears "unknown, so not run"; the old
// link's copy is read afterwards.
// Cause: an answer "not run" that leaves nothing behind to refuse the late copy.
BOOST_AUTO_TEST_CASE(lateCopy_afterQueryOrCancelOfTheUnknown_isRefused)
{
    BOOST_TEST((verdictOf(1) == Verdict::NotRun));
    BOOST_TEST((ledger.dispatch(dispatch(1), now) == LedgerAnswer::Ended));
    static_cast<void>(ledger.cancel(id(2), now));
    BOOST_TEST((ledger.dispatch(dispatch(2), now) == LedgerAnswer::Ended));
    BOOST_TEST((verdictOf(2) == Verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(dispatch_addressedToAnotherIncarnation_neverRunsHere)
{
    BOOST_TEST((ledger.dispatch(dispatch(1, Present - 1), now) == LedgerAnswer::StaleIncarnation));
    BOOST_TEST((ledger.dispatch(dispatch(1, Present + 1), now) == LedgerAnswer::StaleIncarnation));
    BOOST_TEST(!ledger.begin(id(1)));
}

BOOST_AUTO_TEST_CASE(query_aboutAnEarlierIncarnation_provesNothing)
{
    BOOST_TEST((verdictOf(1, Present - 1) == Verdict::MayHaveRun));
    // And it leaves no tombstone: this incarnation may still be sent the attempt.
    BOOST_TEST((ledger.dispatch(dispatch(1), now) == LedgerAnswer::Accepted));
}

BOOST_AUTO_TEST_CASE(endedRecords_afterTheirRetention_areForgottenAndOpenOnesKept)
{
    static_cast<void>(ledger.dispatch(dispatch(1), now));
    static_cast<void>(ledger.dispatch(dispatch(2), now));
    ledger.end(id(2), Verdict::Ran, now);
    pass(890s);
    BOOST_TEST((ledger.find(id(2)) != nullptr));
    pass(20s);
    BOOST_TEST((ledger.find(id(2)) == nullptr));
    BOOST_TEST((ledger.find(id(1)) != nullptr));
}

// Symptom: as above, an hour after the caller was told "not run".
// Sequence: tombstone put; the process is frozen for an hour; it wakes, drops what is older than a quarter of an hour,
// and then reads the copy that has lain in the old link's socket all the time.
// Cause: counting the time asleep towards the tombstone's retention.
BOOST_AUTO_TEST_CASE(tombstone_afterAnHourFrozen_stillRefusesTheLateCopy)
{
    BOOST_TEST((verdictOf(1) == Verdict::NotRun));
    now += 1h;
    BOOST_TEST((ledger.dispatch(dispatch(1), now) == LedgerAnswer::Ended));
}

// Symptom: under a flood of cancels a late copy of a refused request runs.
// Sequence: tombstone put; the ledger fills up; the oldest record makes room; the copy arrives.
// Cause: forgetting before the retention is over.
BOOST_AUTO_TEST_CASE(fullLedger_forgetsNothingAndPromisesNothing)
{
    for (std::uint64_t i = 1; i <= 8; ++i) {
        BOOST_TEST((verdictOf(i) == Verdict::NotRun));
    }
    BOOST_TEST((verdictOf(9) == Verdict::MayHaveRun));
    BOOST_TEST((ledger.dispatch(dispatch(10), now) == LedgerAnswer::Full));
    BOOST_TEST((ledger.dispatch(dispatch(1), now) == LedgerAnswer::Ended));
    BOOST_TEST(ledger.size() == 8U);
    pass(910s);
    BOOST_TEST((ledger.dispatch(dispatch(11), now) == LedgerAnswer::Accepted));
}

BOOST_AUTO_TEST_SUITE_END()
