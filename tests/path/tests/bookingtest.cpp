#include "deployment.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace magnolia;
using namespace magnolia::path;

namespace
{

CallerRequest booking(const std::string &idempotencyKey)
{
    CallerRequest request;
    request.path = "/services/bookings/slots";
    request.key = PayingKey;
    request.body = R"({"door": 7})";
    request.headers["idempotency-key"] = idempotencyKey;
    return request;
}

struct BookingFixture {
    BookingFixture()
    {
        deployment.start();
    }

    std::string entryAddress(std::size_t index)
    {
        return deployment.entry(index).work.address();
    }

    void setFaults(const Member &member, const Json &faults)
    {
        BOOST_REQUIRE(deployment.caller.post(member.work.address(), "/test/faults", faults).status == 200);
    }

    Deployment deployment{{.entries = 2, .engines = 1}};
    Caller &caller = deployment.caller;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BookingPath, BookingFixture)

BOOST_AUTO_TEST_CASE(booking_triedAgainWithItsKeyAtTheOtherEntry_getsTheStoredAnswer)
{
    const Call first = caller.call(entryAddress(0), booking("door-7"));
    BOOST_TEST(first.status == 200);
    BOOST_TEST(first.header("x-verdict") == "ran");
    const Call second = caller.call(entryAddress(1), booking("door-7"));
    BOOST_TEST(second.status == 200);
    BOOST_TEST(second.body == first.body);
    BOOST_TEST(deployment.runs("door-7", "begun") == 1);
}

BOOST_AUTO_TEST_CASE(oneKey_sentToBothEntriesAtOnce_runsOnce)
{
    setFaults(deployment.booking(), {{"delay_ms", 300}});
    const CallPtr left = caller.start(entryAddress(0), booking("race"));
    const CallPtr right = caller.start(entryAddress(1), booking("race"));
    BOOST_REQUIRE(deployment.loop.runUntil([&] { return left->isEnded && right->isEnded; }));
    const int answered = (left->status == 200 ? 1 : 0) + (right->status == 200 ? 1 : 0);
    BOOST_TEST(answered >= 1);
    BOOST_TEST(deployment.runs("race", "begun") == 1);
}

// Symptom: a door is booked twice after the platform's table was slow to answer.
// Sequence: the claim is written, its reply is lost; the agent reads back, sees its own attempt, and runs the call.
// Cause: a lost reply says nothing of whether the write took effect; only reading the row back does.
BOOST_AUTO_TEST_CASE(replyToTheClaim_lostAfterItTookEffect_bookingRunsOnceAndIsAnswered)
{
    setFaults(deployment.platform(), {{"lose_replies", 1}});
    const Call call = caller.call(entryAddress(0), booking("lost-reply"));
    BOOST_TEST(call.status == 200);
    BOOST_TEST(deployment.runs("lost-reply", "begun") == 1);
}

BOOST_AUTO_TEST_CASE(tableOutage_booking_isRefusedAsNotRunAndServedAfterwards)
{
    setFaults(deployment.platform(), {{"table_down", true}});
    const Call refused = caller.call(entryAddress(0), booking("outage"));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.error("verdict") == "not-run");
    BOOST_TEST(!refused.header("retry-after").empty());
    BOOST_TEST(deployment.runs("outage", "begun") == 0);

    setFaults(deployment.platform(), {{"table_down", false}});
    BOOST_TEST(deployment.loop.runUntil([this] { return caller.call(entryAddress(0), booking("outage")).status == 200; }, Duration{5000}));
    BOOST_TEST(deployment.runs("outage", "begun") == 1);
}

BOOST_AUTO_TEST_CASE(safeMethod_withoutKey_isRunEachTime)
{
    CallerRequest lookup;
    lookup.method = "GET";
    lookup.path = "/services/bookings/slots?day=3";
    lookup.key = PayingKey;
    for (int i = 0; i < 2; ++i) {
        const Call call = caller.call(entryAddress(0), lookup);
        BOOST_TEST(call.status == 200);
        BOOST_TEST(Json::parse(call.body)["target"] == "/slots?day=3");
    }
}

BOOST_AUTO_TEST_SUITE_END()
