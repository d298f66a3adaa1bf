#include "routing/classadmission.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

constexpr BootTime Start{1000s};
constexpr Priority Urgent = 0;
constexpr Priority Middle = 1;
constexpr Priority Least = 2;
constexpr double Slots = 50;

using Verdict = ClassAdmission::Verdict;

/** A service with three classes, and 20 streams of this instance that end in each second. */
struct ClassFixture {
    ClassFixture()
    {
        admission.setClasses(PrioritySet().set(Urgent).set(Middle).set(Least));
        for (int ended = 0; ended < 58; ++ended) { // The count of a steady rate of 20 a second.
            admission.onEnded(Start);
        }
    }

    static ClassAdmission::Room roomWith(std::size_t inProgress)
    {
        return {.inProgress = inProgress, .slots = Slots};
    }

    ClassAdmission::Decision request(Priority priority, std::size_t inProgress, std::string_view organisation = "a")
    {
        return admission.request(
            {.priority = priority, .organisation = organisation, .isReturn = isReturn, .since = Start, .until = Start + patience}, roomWith(inProgress), Start);
    }

    Duration patience{500};
    bool isReturn = false;
    ClassAdmission admission{{}};
    Random random{1};
};

/** Streams that arrive at a fixed rate and last one to three seconds, at one instance with 50 slots. */
struct LoadFixture : ClassFixture {
    struct Flow {
        Priority priority = 0;
        std::string organisation;
        double perSecond = 0;
        int asked = 0;
        int admitted = 0;
        double due = 0;
    };

    void runFor(Duration time)
    {
        for (const BootTime end = now + time; now < end; now += 10ms) {
            step();
        }
    }

    void step()
    {
        while (!ends.empty() && ends.front() <= now) {
            ends.erase(ends.begin());
            admission.onEnded(now);
        }
        for (std::size_t index = 0; index < flows.size(); ++index) {
            Flow &flow = flows.at(index);
            for (flow.due += flow.perSecond / 100; flow.due >= 1; flow.due -= 1) {
                arrive(index);
            }
        }
        while (const auto ticket = admission.takeNext(roomWith(ends.size()), now)) {
            begin(tickets.at(*ticket));
        }
        while (const auto ticket = admission.takeHopeless(roomWith(ends.size()), now)) {
            tickets.erase(*ticket);
        }
    }

    void arrive(std::size_t index)
    {
        Flow &flow = flows.at(index);
        ++flow.asked;
        const auto decision =
            admission.request({.priority = flow.priority, .organisation = flow.organisation, .since = now, .until = now + 200ms}, roomWith(ends.size()), now);
        if (decision.verdict == Verdict::Admit) {
            begin(index);
        } else if (decision.verdict == Verdict::Wait) {
            tickets[decision.ticket] = index;
        }
    }

    void begin(std::size_t index)
    {
        ++flows.at(index).admitted;
        const BootTime end = now + Duration(std::uniform_int_distribution<int>(1000, 3000)(random));
        ends.insert(std::upper_bound(ends.begin(), ends.end(), end), end);
    }

    double admittedShare(std::size_t index) const
    {
        return static_cast<double>(flows.at(index).admitted) / flows.at(index).asked;
    }

    BootTime now = Start;
    std::vector<Flow> flows;
    std::vector<BootTime> ends; ///< Of the streams in progress, in order.
    std::unordered_map<ClassAdmission::Ticket, std::size_t> tickets;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClassAdmissionTest, ClassFixture)

BOOST_AUTO_TEST_CASE(service_withOneClass_isLeftAlone)
{
    admission.setClasses(PrioritySet().set(Middle));
    BOOST_TEST(!admission.isEnabled());
}

BOOST_AUTO_TEST_CASE(room_forAll_admitsEachClassAtOnce)
{
    BOOST_CHECK(request(Urgent, 10).verdict == Verdict::Admit);
    BOOST_CHECK(request(Least, 10).verdict == Verdict::Admit);
}

// Guards against urgent streams that find all slots taken by less urgent ones.
BOOST_AUTO_TEST_CASE(slots_nearlyTaken_areKeptForTheUrgent)
{
    BOOST_CHECK(request(Least, 45).verdict == Verdict::Wait);
    BOOST_CHECK(request(Urgent, 45).verdict == Verdict::Admit);
}

// Guards against a slot that becomes free going to a less urgent stream that has waited for longer.
BOOST_AUTO_TEST_CASE(slot_becomesFree_goesToTheUrgentFirst)
{
    const auto least = request(Least, 45);
    ClassAdmission::Room full = roomWith(50);
    full.limit = 50;
    const auto urgent = admission.request({.priority = Urgent, .since = Start, .until = Start + patience}, full, Start);
    BOOST_CHECK(urgent.verdict == Verdict::Wait);
    BOOST_TEST(admission.takeNext(roomWith(30), Start).value_or(0) == urgent.ticket);
    BOOST_TEST(admission.takeNext(roomWith(31), Start).value_or(0) == least.ticket);
    BOOST_TEST(!admission.hasWaiting());
}

// Guards against callers that wait for a slot that can't be free in time.
BOOST_AUTO_TEST_CASE(turn_tooLate_isRejectedAtOnce)
{
    int waiting = 0;
    while (request(Least, 45).verdict == Verdict::Wait) {
        BOOST_REQUIRE(++waiting < 20);
    }
    BOOST_TEST(waiting > 0);
    BOOST_TEST(request(Least, 45).predictedWait > patience);
}

// Guards against a waiting stream that is passed by urgent ones until its time is up.
BOOST_AUTO_TEST_CASE(urgentArrivals_pushBackAWaitingStream_whichIsRejected)
{
    const auto least = request(Least, 42);
    BOOST_CHECK(least.verdict == Verdict::Wait);
    BOOST_TEST(!admission.takeHopeless(roomWith(42), Start).has_value());
    BOOST_TEST(admission.takeHopeless(roomWith(60), Start).value_or(0) == least.ticket);
}

BOOST_AUTO_TEST_CASE(organisation_admittedLess_goesFirst)
{
    for (int stream = 0; stream < 5; ++stream) {
        request(Least, 10, "large");
    }
    const auto large = request(Least, 42, "large");
    const auto small = request(Least, 42, "small");
    BOOST_CHECK(large.verdict == Verdict::Wait);
    BOOST_TEST(admission.takeNext(roomWith(30), Start).value_or(0) == small.ticket);
}

BOOST_AUTO_TEST_CASE(caller_thatReturns_goesBeforeNewOnesOfItsOrganisation)
{
    const auto newcomer = request(Least, 42);
    isReturn = true;
    const auto returned = request(Least, 42);
    BOOST_CHECK(newcomer.verdict == Verdict::Wait);
    BOOST_TEST(admission.takeNext(roomWith(30), Start).value_or(0) == returned.ticket);
}

BOOST_AUTO_TEST_CASE(callerWaiting_leaves_isForgotten)
{
    const auto least = request(Least, 42);
    admission.cancel(least.ticket);
    BOOST_TEST(!admission.hasWaiting());
}

// Guards against an instance with many callers that rejects them while the endpoints are idle.
BOOST_AUTO_TEST_CASE(endpoints_idleElsewhere_admitBeyondTheShare)
{
    admission.onLoadReport({.running = 4, .waiting = 0, .slots = 10}, Start);
    BOOST_CHECK(request(Least, 55).verdict == Verdict::Admit);
    BOOST_CHECK(request(Least, 70).verdict != Verdict::Admit);
}

// Guards against old reports that hide that the endpoints are full.
BOOST_AUTO_TEST_CASE(report_old_isNotUsed)
{
    admission.onLoadReport({.running = 1, .waiting = 0, .slots = 10}, Start - 5s);
    BOOST_TEST(!admission.utilisation(Start).has_value());
    BOOST_CHECK(request(Least, 45).verdict != Verdict::Admit);
}

// Guards against rejected callers that all return at once.
BOOST_AUTO_TEST_CASE(rejectedCallers_areSpreadOverTheSlotsThatBecomeFree)
{
    Duration last{0};
    for (int caller = 0; caller < 20; ++caller) {
        const Duration delay = admission.bookReturn(Least, 8s, Start, random);
        BOOST_TEST(delay.count() > last.count());
        BOOST_TEST(delay.count() <= 4000);
        last = delay;
    }
    BOOST_TEST(last.count() > 2500);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ClassAdmissionLoadTest, LoadFixture)

// Guards against urgent callers who pay for a burst of less urgent ones. Load: twice what the slots bear, for 20 s.
BOOST_AUTO_TEST_CASE(burst_ofTheLeastUrgent_isRejectedAndOthersAreServed)
{
    flows = {{.priority = Urgent, .organisation = "a", .perSecond = 8}, {.priority = Least, .organisation = "b", .perSecond = 42}};
    runFor(20s);
    BOOST_TEST(admittedShare(0) > 0.95);
    BOOST_TEST(admittedShare(1) > 0.25);
    BOOST_TEST(admittedShare(1) < 0.6);
}

// Guards against a class that gets nothing. Load: the urgent class alone asks for twice the slots, for 20 s.
BOOST_AUTO_TEST_CASE(burst_ofTheMostUrgent_leavesAPartToTheOthers)
{
    flows = {{.priority = Urgent, .organisation = "a", .perSecond = 50}, {.priority = Least, .organisation = "b", .perSecond = 10}};
    runFor(20s);
    const double mean = static_cast<double>(flows[0].admitted + flows[1].admitted) / (flows[0].asked + flows[1].asked);
    BOOST_TEST(admittedShare(1) >= mean / 4);
}

// Guards against an organisation that floods and pushes out others. Load: one asks nine times as often as the other, together twice the slots, for 20 s.
BOOST_AUTO_TEST_CASE(organisation_floods_theOtherKeepsItsPart)
{
    flows = {{.priority = Urgent, .organisation = "u", .perSecond = 1},
             {.priority = Least, .organisation = "flood", .perSecond = 45},
             {.priority = Least, .organisation = "small", .perSecond = 5}};
    runFor(20s);
    BOOST_TEST(admittedShare(2) > 0.8);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
