#include "policy/admissionqueue.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using namespace magnolia;
using namespace magnolia::policy;
using wire::PriorityClass;

namespace
{

class AdmissionQueueFixture
{
public:
    MonoTime now_ = MonoTime{} + 1h;
    std::uint64_t ids_ = 0;

    Ticket ticket(std::string organisation, PriorityClass priorityClass, Duration timeLeft = 60s, std::uint32_t weight = 1)
    {
        return {.id = {.request = {.high = 0, .low = ++ids_}, .attempt = 0},
                .organisation = std::move(organisation),
                .priorityClass = priorityClass,
                .weight = weight,
                .promptTokens = 100,
                .deadline = now_ + timeLeft,
                .wholeAnswer = false,
                .preemptible = priorityClass == PriorityClass::Trial,
                .started = false};
    }

    Ticket paying(std::string organisation, Duration timeLeft = 60s, std::uint32_t weight = 1)
    {
        return ticket(std::move(organisation), PriorityClass::Paying, timeLeft, weight);
    }

    Ticket trial(std::string organisation, Duration timeLeft = 60s)
    {
        return ticket(std::move(organisation), PriorityClass::Trial, timeLeft);
    }

    /** Offers and starts. */
    Ticket start(AdmissionQueue &queue, const Ticket &offered)
    {
        BOOST_REQUIRE(queue.offer(offered, now_).admitted);
        const auto started = queue.next(now_);
        BOOST_REQUIRE(started.has_value());
        return *started;
    }

    /** Runs one ticket at a time to its end. @return how many of each organisation were started. */
    std::map<std::string, int> runOneByOne(AdmissionQueue &queue, int count, MonoClock::duration total = 1s)
    {
        std::map<std::string, int> started;
        for (int i = 0; i < count; ++i) {
            const auto next = queue.next(now_);
            BOOST_REQUIRE(next.has_value());
            ++started[next->organisation];
            now_ += total;
            queue.finished(next->id, {.firstToken = 100ms, .total = total, .outputTokens = 10, .valid = true}, now_);
        }
        return started;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionQueueTest, AdmissionQueueFixture)

BOOST_AUTO_TEST_CASE(idleQueue_oneOffered_startsAtOnce)
{
    AdmissionQueue queue({.limit = 1});
    BOOST_TEST(queue.isIdle());
    const Ticket started = start(queue, paying("acme"));
    BOOST_TEST(queue.load(now_).running == 1U);
    queue.finished(started.id, {}, now_);
    BOOST_TEST(queue.isIdle());
}

BOOST_AUTO_TEST_CASE(bothClassesQueued_slotFree_payingGoesFirst)
{
    AdmissionQueue queue({.limit = 1});
    BOOST_REQUIRE(queue.offer(trial("visitor"), now_).admitted);
    BOOST_REQUIRE(queue.offer(paying("acme"), now_).admitted);
    const auto first = queue.next(now_);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->organisation == "acme");
    BOOST_TEST(!queue.next(now_).has_value());
}

BOOST_AUTO_TEST_CASE(unequalWeights_allBacklogged_servedInProportion)
{
    AdmissionQueue queue({.limit = 1, .maxQueuedPaying = 4096});
    for (int i = 0; i < 400; ++i) {
        BOOST_REQUIRE(queue.offer(paying("small", 10h, 1), now_).admitted);
        BOOST_REQUIRE(queue.offer(paying("large", 10h, 3), now_).admitted);
    }
    auto started = runOneByOne(queue, 400);
    BOOST_TEST(started["small"] >= 98);
    BOOST_TEST(started["small"] <= 102);
}

// Symptom: paying callers are refused during a trial surge.
// Sequence: trial work fills the queue up to its bound; a paying request is offered.
// Cause: one bound for both classes.
BOOST_AUTO_TEST_CASE(trialFilledItsRoom_payingOffered_isAdmitted)
{
    AdmissionQueue queue({.limit = 1, .maxQueuedPaying = 2, .maxQueuedTrial = 2, .refusesLate = false});
    start(queue, trial("visitor"));
    BOOST_TEST(queue.offer(trial("visitor"), now_).admitted);
    BOOST_TEST(queue.offer(trial("visitor"), now_).admitted);
    BOOST_TEST(!queue.offer(trial("visitor"), now_).admitted);
    BOOST_TEST(queue.offer(paying("acme"), now_).admitted);
}

// Symptom: small organisations are refused as long as a large one floods the endpoint.
// Sequence: one organisation fills its class's room; another one offers a single request.
// Cause: a full queue refuses whoever comes next, and not the one that fills it.
BOOST_AUTO_TEST_CASE(largeOrganisationFilledTheRoom_smallOneOffered_displacesTheLargeOnesLatest)
{
    AdmissionQueue queue({.limit = 1, .maxQueuedPaying = 3, .refusesLate = false});
    start(queue, paying("large"));
    std::vector<Ticket> offered;
    for (int i = 0; i < 3; ++i) {
        offered.push_back(paying("large"));
        BOOST_REQUIRE(queue.offer(offered.back(), now_).admitted);
    }
    const AdmissionDecision decision = queue.offer(paying("small"), now_);
    BOOST_TEST(decision.admitted);
    BOOST_REQUIRE(decision.displaced.has_value());
    BOOST_TEST((decision.displaced->id == offered.back().id));
    BOOST_TEST(decision.displacedRetryAfter.count() > 0);
    const AdmissionDecision flood = queue.offer(paying("large"), now_);
    BOOST_TEST((flood.code == ErrorCode::Overloaded));
}

// Symptom: small organisations' first tokens come later by a slot's turnover while a large one floods the endpoint.
// Sequence: both have work; the large one's queue refills every slot that comes free; the small one offers a request.
// Cause: an organisation above its share may take the last slot too.
BOOST_AUTO_TEST_CASE(organisationAboveItsShare_floods_leavesTheReserveToOthers)
{
    AdmissionQueue queue({.limit = 8, .refusesLate = false});
    const Ticket large = start(queue, paying("large"));
    const Ticket small = start(queue, paying("small"));
    now_ += 20s;
    queue.finished(large.id, {}, now_);
    queue.finished(small.id, {}, now_);
    for (int i = 0; i < 20; ++i) {
        BOOST_REQUIRE(queue.offer(paying("large"), now_).admitted);
    }
    int started = 0;
    while (queue.next(now_)) {
        ++started;
    }
    BOOST_TEST(started == 7);
    start(queue, paying("small"));
}

// Symptom: a tenth of the requests of an overload is refused after seconds in the queue and not at once.
// Sequence: an organisation with the longest queue offers one more; others' requests keep coming and take their turns.
// Cause: its wait is taken to be at most what is queued now.
BOOST_AUTO_TEST_CASE(othersKeepComing_longQueueOffered_isJudgedByItsShare)
{
    AdmissionQueue queue({.limit = 1, .initialFirstToken = 100ms, .initialTotal = 1s});
    start(queue, paying("acme"));
    for (int i = 0; i < 5; ++i) {
        BOOST_REQUIRE(queue.offer(paying("acme"), now_).admitted);
    }
    BOOST_REQUIRE(queue.offer(paying("flue"), now_).admitted);
    // Six are queued, but each of the five may find one of flue before it.
    BOOST_TEST((queue.offer(paying("acme", 9s), now_).code == ErrorCode::Overloaded));
    BOOST_TEST(queue.offer(paying("flue", 9s), now_).admitted);
}

// Symptom: a third of the trial answers of a surge is cut at the deadline, after their slots were held in vain.
// Sequence: answers of very different lengths; one is admitted whose mean length would just fit.
// Cause: the whole answer is judged by the mean although half of them are longer.
BOOST_AUTO_TEST_CASE(answersOfUnequalLength_wholeAnswerOffered_isJudgedByALongOne)
{
    AdmissionQueue queue({.limit = 1});
    for (int i = 0; i < 300; ++i) {
        BOOST_REQUIRE(queue.offer(paying("acme"), now_).admitted);
        runOneByOne(queue, 1, i % 2 == 0 ? 1s : 3s);
    }
    start(queue, paying("acme"));
    // Two seconds until the slot is free and two for a mean answer, but up to three for each.
    Ticket ticket = paying("acme", 5s);
    ticket.wholeAnswer = true;
    BOOST_TEST((queue.offer(ticket, now_).code == ErrorCode::Overloaded));
    ticket.wholeAnswer = false;
    BOOST_TEST(queue.offer(ticket, now_).admitted);
}

BOOST_AUTO_TEST_CASE(longWait_shortDeadlineOffered_isRefusedWithTruthfulRetryAfter)
{
    AdmissionQueue queue({.limit = 1, .initialFirstToken = 100ms, .initialTotal = 1s});
    start(queue, paying("acme"));
    for (int i = 0; i < 9; ++i) {
        BOOST_REQUIRE(queue.offer(paying("acme"), now_).admitted);
    }
    // Nine queued and one running, a second each: the first token is ten seconds off.
    const AdmissionDecision refused = queue.offer(paying("acme", 4s), now_);
    BOOST_TEST((refused.code == ErrorCode::Overloaded));
    BOOST_TEST(refused.expectedWait.count() >= 9900);
    BOOST_TEST(refused.expectedWait.count() <= 10300);
    BOOST_TEST(refused.retryAfter.count() >= 5900);
    BOOST_TEST(refused.retryAfter.count() <= 6300);
}

// Symptom: refused callers come back all at once, are refused again, and so on.
// Sequence: many are refused within one moment, each with the same Retry-After.
// Cause: the time is worked out from the queue alone and not from those already told to come back.
BOOST_AUTO_TEST_CASE(manyRefusedAtOnce_retryAfter_isSpreadAtTheDrainRate)
{
    AdmissionQueue queue({.limit = 2, .initialTotal = 1s});
    start(queue, paying("acme"));
    start(queue, paying("acme"));
    for (int i = 0; i < 10; ++i) {
        BOOST_REQUIRE(queue.offer(paying("acme"), now_).admitted);
    }
    const Duration first = queue.offer(paying("acme", 1s), now_).retryAfter;
    Duration last = first;
    for (int i = 0; i < 10; ++i) {
        const AdmissionDecision decision = queue.offer(paying("acme", 1s), now_);
        BOOST_REQUIRE((decision.code == ErrorCode::Overloaded));
        last = decision.retryAfter;
    }
    // Two slots serve two a second.
    BOOST_TEST((last - first).count() >= 4900);
    BOOST_TEST((last - first).count() <= 5100);
}

// Symptom: an endpoint refuses everything for ever although it is idle.
// Sequence: slow work raises the estimate above the deadlines in use; all later offers are refused.
// Cause: nothing runs any more from which a better estimate could be learned.
BOOST_AUTO_TEST_CASE(estimateAboveEveryDeadline_idleEndpointOffered_triesIt)
{
    AdmissionQueue queue({.limit = 1, .initialFirstToken = 1h, .initialTotal = 2h});
    BOOST_TEST(queue.offer(paying("acme", 1s), now_).admitted);
}

BOOST_AUTO_TEST_CASE(queuedTicket_deadlineOutOfReach_expires)
{
    AdmissionQueue queue({.limit = 1, .initialFirstToken = 100ms, .initialTotal = 1s});
    start(queue, paying("acme"));
    const Ticket waiting = paying("acme", 3s);
    BOOST_REQUIRE(queue.offer(waiting, now_).admitted);
    now_ += 2s;
    BOOST_TEST(queue.expire(now_).empty());
    now_ += 950ms;
    const auto expired = queue.expire(now_);
    BOOST_REQUIRE(expired.size() == 1U);
    BOOST_TEST((expired.front().ticket.id == waiting.id));
    BOOST_TEST(queue.load(now_).queuedPaying == 0U);
}

BOOST_AUTO_TEST_CASE(trialHoldsEverySlot_payingWaits_latestTrialStreamYieldsAndResumes)
{
    AdmissionQueue queue({.limit = 2});
    start(queue, trial("visitor"));
    now_ += 1s;
    const Ticket latest = start(queue, trial("visitor"));
    BOOST_TEST(!queue.preempt(now_).has_value());
    BOOST_REQUIRE(queue.offer(paying("acme"), now_).admitted);
    const auto victim = queue.preempt(now_);
    BOOST_REQUIRE(victim.has_value());
    BOOST_TEST((victim->id == latest.id));
    BOOST_TEST(!queue.preempt(now_).has_value());
    BOOST_TEST(!queue.next(now_).has_value());
    queue.preempted(victim->id, now_);
    const auto first = queue.next(now_);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->organisation == "acme");
    queue.finished(first->id, {}, now_);
    const auto resumed = queue.next(now_);
    BOOST_REQUIRE(resumed.has_value());
    BOOST_TEST((resumed->id == latest.id));
    BOOST_TEST(resumed->started);
}

// Symptom: one trial stream never ends while the others run undisturbed.
// Sequence: it is preempted, resumed, and so again the one with the least computed when the next paying request comes.
// Cause: the victim is chosen by what this one preemption loses, whatever earlier ones have cost.
BOOST_AUTO_TEST_CASE(streamPreemptedOnce_payingWaitsAgain_anotherStreamYields)
{
    AdmissionQueue queue({.limit = 2});
    start(queue, trial("one"));
    now_ += 1s;
    start(queue, trial("two"));
    BOOST_REQUIRE(queue.offer(paying("acme"), now_).admitted);
    const auto firstVictim = queue.preempt(now_);
    queue.preempted(firstVictim->id, now_);
    queue.finished(queue.next(now_)->id, {}, now_);
    BOOST_REQUIRE((queue.next(now_)->id == firstVictim->id));
    now_ += 50ms;
    BOOST_REQUIRE(queue.offer(paying("acme"), now_).admitted);
    const auto secondVictim = queue.preempt(now_);
    BOOST_REQUIRE(secondVictim.has_value());
    BOOST_TEST((secondVictim->id != firstVictim->id));
}

BOOST_AUTO_TEST_CASE(queuedRunningAndUnknown_cancelled_areToldApart)
{
    AdmissionQueue queue({.limit = 1});
    const Ticket running = start(queue, paying("acme"));
    const Ticket queued = paying("acme");
    BOOST_REQUIRE(queue.offer(queued, now_).admitted);
    BOOST_TEST((queue.cancel(queued.id, now_) == CancelOutcome::Removed));
    BOOST_TEST((queue.cancel(queued.id, now_) == CancelOutcome::Unknown));
    BOOST_TEST((queue.cancel(running.id, now_) == CancelOutcome::Running));
    queue.finished(running.id, {}, now_);
    BOOST_TEST(queue.isIdle());
}

BOOST_AUTO_TEST_CASE(sameIdOfferedTwice_isRefusedAsConflict)
{
    AdmissionQueue queue({.limit = 1});
    const Ticket offered = start(queue, paying("acme"));
    BOOST_TEST((queue.offer(offered, now_).code == ErrorCode::Conflict));
}

BOOST_AUTO_TEST_CASE(drainingQueue_givesBackQueued_refusesNewAndLetsRunningEnd)
{
    AdmissionQueue queue({.limit = 1});
    const Ticket running = start(queue, paying("acme"));
    BOOST_REQUIRE(queue.offer(trial("visitor"), now_).admitted);
    BOOST_REQUIRE(queue.offer(paying("acme"), now_).admitted);
    BOOST_TEST(queue.drain(now_).size() == 2U);
    BOOST_TEST((queue.offer(paying("acme"), now_).code == ErrorCode::Leaving));
    BOOST_TEST(!queue.isIdle());
    queue.finished(running.id, {}, now_);
    BOOST_TEST(queue.isIdle());
}

BOOST_AUTO_TEST_CASE(slowerWorkFinished_expectedWait_followsIt)
{
    AdmissionQueue queue({.limit = 1, .initialTotal = 1s});
    for (int i = 0; i < 200; ++i) {
        BOOST_REQUIRE(queue.offer(paying("acme"), now_).admitted);
        runOneByOne(queue, 1, 4s);
    }
    start(queue, paying("acme"));
    const Duration wait = queue.load(now_).waitPaying;
    BOOST_TEST(wait.count() >= 3900);
    BOOST_TEST(wait.count() <= 4300);
}

BOOST_AUTO_TEST_SUITE_END()
