#include "forwardfixture.h"
#include "http/timer.h"
#include "routing/fingerprint.h"

#include <memory>
#include <string>
#include <vector>

namespace magnolia::forward
{

namespace
{

bool has(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

struct CrashFixture : ForwardFixture {
    CrashFixture()
    {
        putRoutes();
        task->setCrashReportPublisher({.publish = [this](const routing::CrashReport &report, const std::string &) { reported.push_back(report); },
                                       .withdraw = [this](const std::string &, std::uint32_t ordinal) { withdrawn.push_back(ordinal); }});
    }

    /** An endpoint that ends when it begins to run a request. @param bytes what it says before. */
    RawPeer &addCrashing(const std::string &bytes = {})
    {
        const std::size_t index = endpoints.size();
        return addEndpoint([this, index, bytes](int) {
            pending.push_back(std::make_unique<http::Timer>(loop.get(), [this, index] {
                endpoints[index]->stopListening();
                endpoints[index]->closeAll();
            }));
            pending.back()->start(Duration(5));
            return RawPeer::Answer{.bytes = bytes};
        });
    }

    static std::string fingerprint(const std::string &kind)
    {
        return routing::fingerprintOf({.method = "GET", .host = "h", .target = "/" + kind + "/x?q=1"});
    }

    void reportOf(const std::string &kind, std::uint32_t ordinal)
    {
        task->putCrashReport({.fingerprint = fingerprint(kind), .ordinal = ordinal, .endedAt = BootClock::now()});
    }

    std::vector<routing::CrashReport> reported;
    std::vector<std::uint32_t> withdrawn;
    std::vector<std::unique_ptr<http::Timer>> pending;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashTest, CrashFixture)

BOOST_AUTO_TEST_CASE(request_endpointEndsUnderIt_isReportedAndRepeatedWithTheNextOrdinal)
{
    addCrashing();
    addCrashing();
    BOOST_TEST(has(answerTo(request("again"), "}"), "HTTP/1.1 502"));
    BOOST_REQUIRE(reported.size() == 2U);
    BOOST_TEST(reported[0].fingerprint == fingerprint("again"));
    BOOST_TEST(reported[0].ordinal == 1U);
    BOOST_TEST(reported[1].ordinal == 2U);
}

// Guards against a request being suspected where only its connection broke.
BOOST_AUTO_TEST_CASE(request_onlyItsConnectionBreaks_isNotReported)
{
    addEndpoint([](int) { return RawPeer::Answer{.then = RawPeer::Then::Reset}; });
    RawPeer &other = addEndpoint([](int) { return RawPeer::Answer{.bytes = wholeAnswer(200, "r1", "body")}; });
    (void)answerTo(request("again"), "\r\n\r\n");
    runFor(Duration(50));
    BOOST_TEST(reported.empty());
    BOOST_TEST(other.requests() <= 1);
}

BOOST_AUTO_TEST_CASE(request_mayRunOnce_isReportedAndNotRepeated)
{
    addCrashing();
    RawPeer &other = addEndpoint([](int) { return RawPeer::Answer{.bytes = wholeAnswer(200, "r1", "body")}; });
    other.stopListening();
    (void)answerTo(request("once"), "}");
    runUntil([this] { return !reported.empty(); }, Duration(1000));
    BOOST_TEST(sendings() == static_cast<int>(reported.size()));
}

// Guards against requests that ran beside the cause of an endpoint's end meeting the next end beside it too.
BOOST_AUTO_TEST_CASE(requests_withReportsInProgressTogether_goToDifferentEndpoints)
{
    // By load alone both would go to the endpoint that runs more at once.
    RawPeer &large = addEndpoint([](int) { return RawPeer::Answer{}; });
    task->putEndpoint({.id = "e1", .service = "s", .address = large.address(), .dataCentre = "north", .slots = 400});
    RawPeer &small = addEndpoint([](int) { return RawPeer::Answer{}; });
    task->putEndpoint({.id = "e2", .service = "s", .address = small.address(), .dataCentre = "south", .slots = 4});
    reportOf("again", 1);
    reportOf("stream", 1);
    (void)call(request("again"));
    (void)call(request("stream"));
    BOOST_REQUIRE(runUntil([&] { return sendings() == 2; }));
    BOOST_TEST(large.requests() == 1);
    BOOST_TEST(small.requests() == 1);
}

// Guards against quarantined requests being held, or answered so that their callers come back at once.
BOOST_AUTO_TEST_CASE(request_quarantined_isRefusedAtOnceWithTheTimeLeft)
{
    RawPeer &endpoint = addEndpoint([](int) { return RawPeer::Answer{.bytes = wholeAnswer(200, "r1", "body")}; });
    reportOf("again", 1);
    reportOf("again", 2);
    const BootTime begin = BootClock::now();
    const std::string answer = answerTo(request("again"), "}");
    BOOST_TEST(has(answer, "HTTP/1.1 429"));
    BOOST_TEST((has(answer, "Retry-After: 600.000") || has(answer, "Retry-After: 599.")));
    BOOST_TEST((BootClock::now() - begin < Duration(500)));
    BOOST_TEST(endpoint.requests() == 0);
    BOOST_TEST(has(answerTo(request("stream"), "body"), "HTTP/1.1 200")); // Another request.
}

// Guards against a stream in progress being resumed at yet another endpoint.
BOOST_AUTO_TEST_CASE(stream_endsTheLastEndpointAllowed_isCutAndNotResumed)
{
    addCrashing(streamHead("r1") + eventChunk(1));
    reportOf("threefold", 1);
    RawCaller &caller = call(request("threefold"));
    BOOST_REQUIRE(runUntil([&] { return has(caller.received(), "data: d1"); }));
    RawPeer &other = addEndpoint([](int) { return RawPeer::Answer{.bytes = streamHead("r1") + eventChunk(2) + std::string(LastChunk)}; });
    BOOST_TEST(runUntil([&] { return caller.isClosed(); }));
    BOOST_TEST(reported.size() == 1U);
    BOOST_TEST(other.requests() == 0);
}

// Guards against a request that waits for its group being sent once the group runs again.
BOOST_AUTO_TEST_CASE(request_quarantinedWhileItWaitsForItsGroup_isRefusedAtOnce)
{
    RawPeer &endpoint = addEndpoint([](int) {
        return RawPeer::Answer{.bytes = "HTTP/1.1 503 X\r\nX-Request-Id: r1\r\nX-Not-Run: 1\r\nX-At-Fault: 10.0.0.1:1\r\nContent-Length: 0\r\n\r\n"};
    });
    RawCaller &caller = call(request("threefold"));
    BOOST_REQUIRE(runUntil([&] { return endpoint.requests() == 1; }));
    runFor(Duration(50));
    BOOST_REQUIRE(caller.received().empty());
    for (const std::uint32_t ordinal : {1U, 2U}) {
        reportOf("threefold", ordinal);
    }
    BOOST_TEST(runUntil([&] { return has(caller.received(), "HTTP/1.1 429"); }, Duration(300)));
    BOOST_TEST(endpoint.requests() == 1);
}

// Guards against a request that ran beside the cause staying under suspicion, or in quarantine.
BOOST_AUTO_TEST_CASE(request_answeredAfterReports_isClearedForAll)
{
    RawPeer &endpoint = addEndpoint([](int) { return RawPeer::Answer{.bytes = streamHead("r1") + eventChunk(1)}; });
    RawCaller &caller = call(request("stream"));
    BOOST_REQUIRE(runUntil([&] { return has(caller.received(), "data: d1"); }));
    reportOf("stream", 1);
    reportOf("stream", 2);
    endpoint.sendOnAll(LastChunk);
    BOOST_REQUIRE(runUntil([this] { return withdrawn.size() == 2; }));
    BOOST_TEST(withdrawn == (std::vector<std::uint32_t>{1, 2}), boost::test_tools::per_element());
    (void)call(request("stream"));
    BOOST_TEST(runUntil([&] { return endpoint.requests() == 2; }));
}

// Guards against a common request being refused since another entry, which has not seen it answered, reports it.
BOOST_AUTO_TEST_CASE(report_ofARequestThatWasAnsweredHere_isTakenBack)
{
    addEndpoint([](int) { return RawPeer::Answer{.bytes = wholeAnswer(200, "r1", "body")}; });
    (void)answerTo(request("again"), "body");
    reportOf("again", 1);
    BOOST_TEST(withdrawn == std::vector<std::uint32_t>{1}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
