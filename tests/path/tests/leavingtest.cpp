#include "loadcheck.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::path;

namespace
{

constexpr Duration NoticeLimit{2000};

struct LeavingFixture {
    LeavingFixture()
    {
        deployment.start();
    }

    int begunAt(std::size_t engine)
    {
        const Json counts = Json::parse(deployment.caller.get(deployment.engine(engine).work.address(), "/test/counts").body);
        int total = 0;
        for (const auto &run : counts["runs"]) {
            total += run["begun"].get<int>();
        }
        return total;
    }

    /** Of one piece, so that there is new work all the time. */
    CallPtr startShortCall(std::size_t number)
    {
        CallerRequest request = chatRequest(PayingKey, "guide", "short-" + std::to_string(number), false);
        Json body = Json::parse(request.body);
        body["max_tokens"] = 1;
        request.body = body.dump();
        return deployment.caller.start(deployment.entry(number % 2).work.address(), request);
    }

    bool isListedLive(const std::string &name)
    {
        const Json list = Json::parse(deployment.caller.get(deployment.platform().work.address(), "/instances").body);
        return std::any_of(list["instances"].begin(), list["instances"].end(), [&name](const Json &instance) {
            return instance["name"] == name && !instance["leaving"].get<bool>();
        });
    }

    // Streams of four seconds keep the leaving agent at work, so that it is there to be sent more.
    static constexpr int Pieces = 80;
    Deployment deployment{{.entries = 2, .engines = 2, .hasBooking = false, .pieces = Pieces, .pieceInterval = Duration{50}, .hasRelays = true}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeavingPath, LeavingFixture)

// Symptom: an endpoint that is to go never gets empty, as new work arrives at it.
// Sequence: its agent gets notice; for as long as it still works, callers keep coming and the platform's list, which lags,
// shows it live.
// Cause: the list is no proof; the agent itself has to say so on its links, and refuse what is still on its way.
BOOST_AUTO_TEST_CASE(leavingEndpoint_stillListedLive_getsNoNewWorkTwoSecondsAfterItsNotice)
{
    MixedLoad load(deployment, {.payingStreams = 5, .trialStreams = 1, .bookings = 0, .pieces = Pieces, .timeout = Duration{15000}});
    BOOST_REQUIRE(deployment.loop.runUntil([this] { return begunAt(0) >= 2; }));
    deployment.setFaults(deployment.platform(), {{"list_frozen", true}});
    const MonoTime notice = MonoClock::now();
    deployment.agent(0).process->terminate();
    std::vector<CallPtr> calls;
    MonoTime last = notice;
    int begun = begunAt(0);
    while (MonoClock::now() < notice + NoticeLimit + Duration{2500}) {
        calls.push_back(startShortCall(calls.size()));
        deployment.loop.runFor(Duration{50});
        const int now = begunAt(0);
        last = now == begun ? last : MonoClock::now();
        begun = now;
    }
    BOOST_TEST_MESSAGE("RESULT last-new-work-after-notice " << std::chrono::duration_cast<Duration>(last - notice).count() << " ms");
    BOOST_TEST((last - notice < NoticeLimit));
    BOOST_TEST(isListedLive("agent-engine-1"));
    for (const CallPtr &call : calls) {
        BOOST_REQUIRE(deployment.loop.runUntil([&call] { return call->isEnded; }));
        BOOST_TEST(call->status == 200);
    }
    requirePromisesKept(load);
    BOOST_TEST(load.wholeStreams() > 0);
    BOOST_TEST(load.outcomes().size() == 1U); // All were answered 200.
    BOOST_TEST(deployment.waitForEnd(deployment.agent(0)).value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
