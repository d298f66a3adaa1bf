#include "agent/answerstore.h"

#include <boost/test/unit_test.hpp>

using namespace magnolia;
using namespace magnolia::agent;
using namespace std::chrono_literals;

namespace
{

struct StoreFixture {
    AnswerStore store{{.keep = 30s, .maxEndedBytes = 2000}};
    MonoTime now{};

    static wire::AttemptId id(std::uint64_t number)
    {
        return {.request = {.high = 0, .low = number}, .attempt = 1};
    }

    void finish(std::uint64_t number)
    {
        wire::Finish finish;
        finish.id = id(number);
        store.finish(finish, now);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnswerStoreTest, StoreFixture)

// Symptom: a caller's stream has a gap after the link between entry and agent broke.
// Sequence: chunks 5 and 6 are sent, the link breaks before 6 arrives, 7 comes while there is no link, the entry asks for
// what follows 5 over a fresh link.
// Cause: keeping nothing of what was handed to a link.
BOOST_AUTO_TEST_CASE(answer_askedForFromAnIndex_isGivenWithoutGapOrRepeat)
{
    store.begin(id(1), 5);
    for (const char *data : {"five", "six", "seven"}) {
        store.append(id(1), data);
    }
    finish(1);
    const auto messages = store.from(id(1), 6);
    BOOST_REQUIRE(messages.size() == 3U);
    BOOST_TEST(std::get<wire::Chunk>(messages[0]).index == 6U);
    BOOST_TEST(std::get<wire::Chunk>(messages[0]).data == "six");
    BOOST_TEST(std::get<wire::Chunk>(messages[1]).index == 7U);
    BOOST_TEST(std::holds_alternative<wire::Finish>(messages[2]));
    BOOST_TEST(store.from(id(1), 99).size() == 1U);
    BOOST_TEST(store.from(id(1), 0).size() == 4U);
    BOOST_TEST(store.from(id(2), 0).empty());
}

BOOST_AUTO_TEST_CASE(endedAnswers_afterTheirTime_areForgottenAndOpenOnesKept)
{
    store.begin(id(1), 0);
    store.begin(id(2), 0);
    finish(1);
    now += 31s;
    store.expire(now);
    BOOST_TEST(!store.has(id(1)));
    BOOST_TEST(store.has(id(2)));
    BOOST_TEST(store.endedBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(endedAnswers_overTheLimit_makeRoomOldestFirst)
{
    for (std::uint64_t number = 1; number <= 3; ++number) {
        store.begin(id(number), 0);
        store.append(id(number), std::string(600, 'x'));
        finish(number);
    }
    BOOST_TEST(!store.has(id(1)));
    BOOST_TEST(store.has(id(3)));
    BOOST_TEST(store.endedBytes() <= 2000U);
}

BOOST_AUTO_TEST_SUITE_END()
