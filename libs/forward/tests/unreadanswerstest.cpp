#include "forwardfixture.h"

#include <algorithm>
#include <memory>
#include <string>

namespace magnolia::forward
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t MemoryLimit = 256U << 20U;
constexpr std::size_t AnswerMemory = MemoryLimit / 8;
constexpr std::size_t AnswerBytes = 8U << 20U; ///< More than the sockets hold.
constexpr int ReceiveBytes = 16U << 10U;

/** An entry with little memory, and an endpoint with large answers. */
struct UnreadAnswersFixture : ForwardFixture {
    UnreadAnswersFixture() : ForwardFixture(std::string(), MemoryLimit)
    {
        putRoutes(1, {.maxHeaderBytes = 2000, .maxBodyBytes = 1000, .headerTimeout = 1000ms, .idleTimeout = 15000ms});
        addEndpoint([this](int) { return RawPeer::Answer{.bytes = wholeAnswer(200, "r1", answerBody)}; });
    }

    /** Adds a caller that sends a request and reads nothing. */
    RawCaller &addUnreadingCaller()
    {
        callers.push_back(std::make_unique<RawCaller>(loop.get(), task->callersAddress(), ReceiveBytes));
        callers.back()->send(request("repeatable"));
        callers.back()->pauseReading();
        return *callers.back();
    }

    bool isWhole(const RawCaller &caller) const
    {
        return caller.received().starts_with("HTTP/1.1 200") && caller.received().ends_with(answerBody);
    }

    const std::string answerBody = std::string(AnswerBytes, 'x');
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UnreadAnswersTest, UnreadAnswersFixture)

// Guards against memory that grows with the number of callers that don't read their answers.
BOOST_AUTO_TEST_CASE(manyCallers_readNothing_memoryIsBoundedAndOthersAreServed)
{
    constexpr std::size_t Callers = 12;
    double most = 0;
    for (std::size_t i = 0; i < Callers; ++i) {
        addUnreadingCaller();
        BOOST_REQUIRE(runUntil([&] { return valueOf("magnolia_forward_answers_total") == static_cast<double>(i + 1); }));
        most = std::max(most, valueOf("magnolia_forward_unread_answer_bytes"));
    }
    runFor(50ms);
    BOOST_TEST(most > 0);
    BOOST_TEST(most <= AnswerMemory);
    BOOST_TEST(valueOf("magnolia_forward_unread_given_up_total") > 0);
    BOOST_TEST(valueOf("magnolia_forward_caller_connections") < Callers);
    RawCaller &reading = addCaller(request("repeatable"));
    BOOST_TEST(runUntil([&] { return isWhole(reading); }));
}

// Guards against cutting off callers that read slowly while there is memory.
BOOST_AUTO_TEST_CASE(callers_readLate_memorySuffices_allGetTheirAnswers)
{
    constexpr std::size_t Callers = AnswerMemory / AnswerBytes - 1;
    for (std::size_t i = 0; i < Callers; ++i) {
        addUnreadingCaller();
    }
    BOOST_REQUIRE(runUntil([&] { return valueOf("magnolia_forward_answers_total") == static_cast<double>(Callers); }));
    BOOST_TEST(valueOf("magnolia_forward_unread_answer_bytes") > 0);
    for (const auto &caller : callers) {
        caller->resumeReading();
    }
    BOOST_TEST(runUntil([&] { return std::all_of(callers.begin(), callers.end(), [this](const auto &caller) { return isWhole(*caller); }); }));
    BOOST_TEST(valueOf("magnolia_forward_unread_answer_bytes") == 0);
    BOOST_TEST(valueOf("magnolia_forward_unread_given_up_total") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
