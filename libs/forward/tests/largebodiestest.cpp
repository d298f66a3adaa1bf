#include "forwardfixture.h"
#include "http/timer.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::forward
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t MemoryLimit = 32U << 20U;
constexpr std::size_t BodyMemory = MemoryLimit / 4;
constexpr std::size_t BodyBytes = 1U << 20U;

/** An entry with little memory, and an endpoint that reads bodies of any size. */
struct LargeBodiesFixture : ForwardFixture {
    LargeBodiesFixture() : ForwardFixture(std::string(), MemoryLimit)
    {
        putRoutes(1, {.maxHeaderBytes = 2000, .maxBodyBytes = BodyBytes, .headerTimeout = 1000ms, .idleTimeout = 3000ms});
    }

    /** Adds an endpoint that answers after a time. It takes the start of each request for the request, and drops what follows. */
    void addReadingEndpoint(Duration work)
    {
        addEndpoint([work](int) { return RawPeer::Answer{.later = {{.delay = work, .bytes = wholeAnswer(200, "r1", "body", "Connection: close\r\n")}}}; });
    }

    void addLargeCaller()
    {
        large.push_back(&addCaller(request("at-most-once", "POST", "Content-Length: " + std::to_string(BodyBytes) + "\r\n") + std::string(BodyBytes, 'b')));
    }

    bool haveAllAnswers() const
    {
        return std::all_of(
            large.begin(), large.end(), [](const RawCaller *caller) { return caller->received().ends_with("}") || caller->received().ends_with("body"); });
    }

    std::size_t countOf(const std::string &statusLine) const
    {
        return static_cast<std::size_t>(
            std::count_if(large.begin(), large.end(), [&](const RawCaller *caller) { return caller->received().starts_with(statusLine); }));
    }

    double heldBytes() const
    {
        return valueOf("magnolia_forward_held_body_bytes");
    }

    std::vector<RawCaller *> large;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LargeBodiesTest, LargeBodiesFixture)

// Guards against memory that grows with the number of callers that send large bodies at one moment.
BOOST_AUTO_TEST_CASE(manyBodies_atOneMoment_memoryIsBoundedAndAllAreServed)
{
    constexpr std::size_t Callers = 50;
    addReadingEndpoint(20ms);
    for (std::size_t i = 0; i < Callers; ++i) {
        addLargeCaller();
    }
    double most = 0;
    BOOST_TEST(runUntil([&] {
        most = std::max(most, heldBytes());
        return haveAllAnswers();
    }));
    BOOST_TEST(countOf("HTTP/1.1 200") == Callers);
    BOOST_TEST(most > 0);
    BOOST_TEST(most <= BodyMemory);
    BOOST_TEST(heldBytes() == 0);
}

// Guards against small requests that wait behind large bodies.
BOOST_AUTO_TEST_CASE(smallRequests_largeBodiesWaitForMemory_areServed)
{
    addReadingEndpoint(500ms);
    for (std::size_t i = 0; i < 2 * BodyMemory / BodyBytes; ++i) {
        addLargeCaller();
    }
    runUntil([&] { return heldBytes() > BodyMemory - BodyBytes; });
    BOOST_TEST(!haveAllAnswers());
    const std::string small = request("at-most-once", "POST", "Content-Length: 4\r\n") + "body";
    BOOST_TEST(answerTo(small, "body").starts_with("HTTP/1.1 200"));
    BOOST_TEST(!haveAllAnswers());
}

// Guards against callers of large bodies that wait until their time is up, or whose refusal is lost in a reset.
BOOST_AUTO_TEST_CASE(body_noMemoryInTime_callerIsToldThatItHasNotRun)
{
    addReadingEndpoint(1400ms);
    for (std::size_t i = 0; i < 2 * BodyMemory / BodyBytes; ++i) {
        addLargeCaller();
    }
    BOOST_TEST(runUntil([&] { return haveAllAnswers(); }));
    const std::size_t admitted = countOf("HTTP/1.1 200");
    BOOST_TEST(admitted >= BodyMemory / BodyBytes - 1);
    BOOST_TEST(admitted <= BodyMemory / BodyBytes);
    BOOST_TEST(countOf("HTTP/1.1 503") == large.size() - admitted);
    BOOST_TEST(attemptCount() == static_cast<int>(admitted));
    for (const RawCaller *caller : large) {
        const bool isServed = caller->received().starts_with("HTTP/1.1 200");
        BOOST_TEST((isServed || caller->received().find("Retry-After: 1.000") != std::string::npos));
        BOOST_TEST((isServed || caller->received().find("X-Request-Id: r1") != std::string::npos));
    }
}

// Guards against a caller that waits for the permission to send its body, which comes only once there is memory for it.
BOOST_AUTO_TEST_CASE(bodyAfterPermission_waitsForMemory_isServed)
{
    addReadingEndpoint(200ms);
    for (std::size_t i = 0; i < BodyMemory / BodyBytes; ++i) {
        addLargeCaller();
    }
    runUntil([&] { return heldBytes() > BodyMemory - BodyBytes; });
    RawCaller &polite = addCaller(request("at-most-once", "POST", "Expect: 100-continue\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n"));
    runFor(100ms);
    BOOST_TEST(polite.received().empty());
    BOOST_TEST(runUntil([&] { return polite.received().starts_with("HTTP/1.1 100"); }));
    polite.send(std::string(BodyBytes, 'b'));
    BOOST_TEST(runUntil([&] { return polite.received().find("HTTP/1.1 200") != std::string::npos; }));
}

// Guards against a second permission, when a body in chunks turns out to be large.
BOOST_AUTO_TEST_CASE(bodyInChunksAfterPermission_large_getsOnePermission)
{
    addReadingEndpoint(0ms);
    RawCaller &caller = addCaller(request("at-most-once", "POST", "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n"));
    BOOST_TEST(runUntil([&] { return caller.received() == "HTTP/1.1 100 Continue\r\n\r\n"; }));
    caller.send(chunk(std::string(BodyBytes / 2, 'b')) + std::string(LastChunk));
    BOOST_TEST(runUntil([&] { return caller.received().ends_with("body"); }));
    BOOST_TEST(caller.received().starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"));
}

// Guards against a body of unknown length that is held without a reservation.
BOOST_AUTO_TEST_CASE(bodyInChunks_large_isReservedUntilItIsServed)
{
    addReadingEndpoint(100ms);
    RawCaller &caller = addCaller(request("at-most-once", "POST", "Transfer-Encoding: chunked\r\n"));
    const std::string piece(BodyBytes / 4, 'b');
    caller.send(chunk(piece) + chunk(piece));
    BOOST_TEST(runUntil([&] { return heldBytes() == BodyBytes; }));
    caller.send(LastChunk);
    BOOST_TEST(runUntil([&] { return heldBytes() == static_cast<double>(2 * piece.size()); }));
    BOOST_TEST(runUntil([&] { return caller.received().ends_with("body"); }));
    BOOST_TEST(heldBytes() == 0);
}

// Guards against a refusal that is lost since the connection ends while the caller is still sending.
BOOST_AUTO_TEST_CASE(body_overTheLimit_connectionEndsOnceTheCallerHasSentIt)
{
    const std::string body(2 * BodyBytes, 'b');
    RawCaller &caller = addCaller(request("at-most-once", "POST", "Content-Length: " + std::to_string(body.size()) + "\r\n"));
    BOOST_TEST(runUntil([&] { return caller.received().ends_with("}"); }));
    BOOST_TEST(caller.received().starts_with("HTTP/1.1 413"));
    caller.send(body.substr(1));
    runFor(100ms);
    BOOST_TEST(!caller.isClosed());
    caller.send(body.substr(0, 1));
    BOOST_TEST(runUntil([&] { return caller.isClosed(); }, 500ms));
}

// Guards against connections of refused callers that stay open although nothing more comes.
BOOST_AUTO_TEST_CASE(body_overTheLimit_callerSendsNoMore_connectionEnds)
{
    RawCaller &caller = addCaller(request("at-most-once", "POST", "Content-Length: " + std::to_string(2 * BodyBytes) + "\r\n"));
    BOOST_TEST(runUntil([&] { return caller.isClosed(); }, 3000ms));
    BOOST_TEST(caller.received().starts_with("HTTP/1.1 413"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
