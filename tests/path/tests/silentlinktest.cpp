#include "loadcheck.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::path;

namespace
{

constexpr Duration BackLimit{10000};
constexpr Duration ProbeEvery{100};

struct SilentLinkFixture {
    SilentLinkFixture()
    {
        deployment.start();
    }

    CallerRequest stream()
    {
        CallerRequest request = chatRequest(PayingKey, "guide", "probe-" + std::to_string(probes_++), true);
        request.headers["x-request-timeout-ms"] = "8000";
        return request;
    }

    CallerRequest booking()
    {
        return bookingRequest("probe-" + std::to_string(probes_++), Duration{8000});
    }

    /** Sends a probe every 100 ms. @return how long until the first one came back with 200; the limit, if none did. */
    template<typename Request>
    Duration timeToService(std::size_t entry, Request request)
    {
        const MonoTime from = MonoClock::now();
        MonoTime next = from;
        std::vector<CallPtr> calls;
        const auto isServed = [&] {
            if (MonoClock::now() >= next) {
                calls.push_back(deployment.caller.start(deployment.entry(entry).work.address(), request()));
                next = MonoClock::now() + ProbeEvery;
            }
            return std::any_of(calls.begin(), calls.end(), [](const CallPtr &call) { return call->status == 200 && call->isWhole; });
        };
        deployment.loop.runUntil(isServed, BackLimit);
        return std::chrono::duration_cast<Duration>(MonoClock::now() - from);
    }

    /** Makes connections silent under light load, and expects service at each entry again by itself. */
    template<typename Silence>
    void requireReplaced(const std::string &link, Silence silence)
    {
        MixedLoad load(deployment, {.payingStreams = 4, .trialStreams = 2, .bookings = 3, .timeout = Duration{8000}});
        BOOST_REQUIRE(deployment.loop.runUntil([&] { return load.answered() > 40; }, BackLimit));
        silence();
        for (std::size_t entry = 0; entry < deployment.entryCount(); ++entry) {
            const Duration streams = timeToService(entry, [this] { return stream(); });
            const Duration bookings = timeToService(entry, [this] { return booking(); });
            BOOST_TEST_MESSAGE("RESULT " << link << " entry " << entry << " streams " << streams.count() << " ms, then bookings " << bookings.count() << " ms");
            BOOST_TEST((streams < BackLimit && bookings < BackLimit));
        }
        const int before = load.answeredBookings();
        BOOST_TEST(deployment.loop.runUntil([&] { return load.answeredBookings() > before + 20; }, BackLimit));
        requirePromisesKept(load);
    }

    Deployment deployment{{.entries = 2, .engines = 2, .hasRelays = true}};

private:
    int probes_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SilentLinkPath, SilentLinkFixture)

// Symptom: requests hang, or an endpoint that is well is given up, for as long as a connection stays open.
// Sequence: all open connections of one kind go silent for good; new ones work.
// Cause: something between the two ends has lost track of them; no close ever comes, only silence.
BOOST_AUTO_TEST_CASE(entryAgentLinks_goneSilent_areReplacedByThemselves)
{
    requireReplaced("entry-agent", [this] {
        for (std::size_t i = 0; i < deployment.agentCount(); ++i) {
            deployment.agent(i).relay->silence();
        }
    });
}

BOOST_AUTO_TEST_CASE(agentEndpointConnections_goneSilent_areReplacedByThemselves)
{
    requireReplaced("agent-endpoint", [this] {
        deployment.engine(0).relay->silence();
        deployment.engine(1).relay->silence();
        deployment.booking().relay->silence();
    });
}

BOOST_AUTO_TEST_CASE(platformConnections_goneSilent_areReplacedByThemselves)
{
    requireReplaced("daemon-platform", [this] {
        for (std::size_t i = 0; i < deployment.agentCount(); ++i) {
            deployment.agent(i).platformRelay->silence();
        }
        for (std::size_t i = 0; i < deployment.entryCount(); ++i) {
            deployment.entry(i).platformRelay->silence();
        }
    });
    const MonoTime from = MonoClock::now();
    deployment.manifest["organisations"][0]["weight"] = 11;
    BOOST_TEST(deployment.apply(deployment.manifest).exitCode == 0);
    BOOST_TEST_MESSAGE("RESULT apply-after-silence " << std::chrono::duration_cast<Duration>(MonoClock::now() - from).count() << " ms");
}

BOOST_AUTO_TEST_SUITE_END()
