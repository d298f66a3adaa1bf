#include "answerbuffers.h"

#include <boost/test/unit_test.hpp>

#include <memory>

namespace magnolia::forward
{

namespace
{

constexpr std::size_t MemoryLimit = 8000;

/** The answer of one request. */
struct HeldAnswer {
    explicit HeldAnswer(AnswerBuffers &buffers)
        : share(buffers, [this] {
            isGivenUp = true;
            share.resize(0);
        })
    {
    }

    bool isGivenUp = false;
    AnswerBuffers::Share share;
};

struct AnswerBuffersFixture {
    observe::Gauge held;
    AnswerBuffers buffers{{.memoryLimit = MemoryLimit, .heldBytes = held}};
    HeldAnswer small{buffers};
    HeldAnswer large{buffers};
    HeldAnswer growing{buffers};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnswerBuffersTest, AnswerBuffersFixture)

BOOST_AUTO_TEST_CASE(answers_withinTheBound_areKept)
{
    BOOST_TEST(buffers.limit() == 1000U);
    small.share.resize(100);
    large.share.resize(900);
    BOOST_TEST(!small.isGivenUp);
    BOOST_TEST(!large.isGivenUp);
    BOOST_TEST(held.value() == 1000);
}

// Guards against losing sound answers because of one that has no end.
BOOST_AUTO_TEST_CASE(answers_beyondTheBound_largestIsGivenUp)
{
    small.share.resize(100);
    large.share.resize(600);
    growing.share.resize(400);
    BOOST_TEST(large.isGivenUp);
    BOOST_TEST(!small.isGivenUp);
    BOOST_TEST(!growing.isGivenUp);
    BOOST_TEST(held.value() == 500);
    growing.share.resize(2000);
    BOOST_TEST(growing.isGivenUp);
    BOOST_TEST(!small.isGivenUp);
    BOOST_TEST(held.value() == 100);
}

BOOST_AUTO_TEST_CASE(answer_ofARequestThatEnds_takesNoMore)
{
    auto ending = std::make_unique<HeldAnswer>(buffers);
    ending->share.resize(900);
    ending.reset();
    large.share.resize(1000);
    BOOST_TEST(!large.isGivenUp);
    BOOST_TEST(held.value() == 1000);
}

// Guards against a loop that never ends because the largest answer can't be given up.
BOOST_AUTO_TEST_CASE(answer_thatIsNotGivenUp_others_goOn)
{
    AnswerBuffers::Share stuck(buffers, [] {});
    stuck.resize(5000);
    small.share.resize(100);
    BOOST_TEST(!small.isGivenUp);
    BOOST_TEST(held.value() == 5100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
