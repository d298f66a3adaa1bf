#include "bodybudget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace magnolia::forward
{

namespace
{

using namespace std::chrono_literals;
using Outcome = BodyBudget::Outcome;

constexpr std::size_t MemoryLimit = 4000;
constexpr std::size_t Limit = 1000;
constexpr Duration MaxWait = 1000ms;

/** The body of one request. */
struct Body {
    explicit Body(BodyBudget &budget) : share(std::make_unique<BodyBudget::Share>(budget, [this] { isGranted = true; })) {}

    Outcome reserve(std::size_t bytes)
    {
        const Outcome outcome = share->reserve(bytes);
        isGranted = outcome == Outcome::Granted;
        return outcome;
    }

    bool isGranted = false;
    std::unique_ptr<BodyBudget::Share> share;
    BootTime endsAt; ///< In bursts: when its request ends.
};

struct BodyBudgetFixture {
    Body &add()
    {
        bodies.push_back(std::make_unique<Body>(budget));
        return *bodies.back();
    }

    /** Holds one body for a time, so that later waits can be predicted. */
    void holdOne(Duration hold)
    {
        Body body(budget);
        body.reserve(100);
        now += hold;
    }

    BootTime now{1h};
    observe::Gauge held;
    BodyBudget budget{{.memoryLimit = MemoryLimit, .maxWait = MaxWait, .heldBytes = held, .now = [this] { return now; }}};
    std::vector<std::unique_ptr<Body>> bodies;
};

/** Bodies that arrive at one moment, each of which is held for a time once it is admitted. */
struct BodyBurstFixture : BodyBudgetFixture {
    static constexpr std::size_t BodyBytes = 64; ///< Fifteen fit.
    static constexpr Duration Hold = 150ms;
    static constexpr Duration Step = 10ms;

    struct Counts {
        std::size_t admitted = 0;
        std::size_t deniedAtOnce = 0;
        std::size_t waitedInVain = 0;
        Duration longestWait{0};
    };

    Counts play(std::size_t count)
    {
        holdOne(Hold);
        Counts counts;
        for (std::size_t i = 0; i < count; ++i) {
            if (add().reserve(BodyBytes) == Outcome::Denied) {
                ++counts.deniedAtOnce;
                bodies.pop_back();
            }
        }
        const BootTime began = now;
        while (!bodies.empty()) {
            const auto waited = std::chrono::duration_cast<Duration>(now - began);
            for (const auto &body : bodies) {
                if (body->isGranted && body->endsAt == BootTime()) {
                    body->endsAt = now + Hold;
                    counts.longestWait = std::max(counts.longestWait, waited);
                    ++counts.admitted;
                }
            }
            BOOST_REQUIRE(held.value() <= Limit);
            const auto hasGivenUp = [&](const auto &body) { return !body->isGranted && waited >= MaxWait; };
            counts.waitedInVain += static_cast<std::size_t>(std::count_if(bodies.begin(), bodies.end(), hasGivenUp));
            std::erase_if(bodies, hasGivenUp);
            std::erase_if(bodies, [&](const auto &body) { return body->endsAt != BootTime() && body->endsAt <= now; });
            now += Step;
        }
        BOOST_TEST(held.value() == 0);
        return counts;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BodyBudgetTest, BodyBudgetFixture)

BOOST_AUTO_TEST_CASE(bodies_beyondTheBound_waitInOrder)
{
    BOOST_TEST(budget.limit() == Limit);
    Body &first = add();
    Body &second = add();
    Body &third = add();
    Body &small = add();
    BOOST_TEST((first.reserve(600) == Outcome::Granted));
    BOOST_TEST((second.reserve(600) == Outcome::Waits));
    BOOST_TEST((third.reserve(300) == Outcome::Waits));
    BOOST_TEST((small.reserve(10) == Outcome::Waits)); // It would fit, but those before it have waited longer.
    BOOST_TEST(held.value() == 600);
    first.share.reset();
    BOOST_TEST(second.isGranted);
    BOOST_TEST(third.isGranted);
    BOOST_TEST(small.isGranted);
    BOOST_TEST(held.value() == 910);
}

// Guards against a body that waits for ever since it is larger than all the memory there is.
BOOST_AUTO_TEST_CASE(body_largerThanTheBound_isAdmittedAlone)
{
    Body &small = add();
    Body &large = add();
    BOOST_TEST((small.reserve(10) == Outcome::Granted));
    BOOST_TEST((large.reserve(2 * Limit) == Outcome::Waits));
    small.share.reset();
    BOOST_TEST(large.isGranted);
}

// Guards against memory that stays reserved for a caller who has left while it waited.
BOOST_AUTO_TEST_CASE(body_leavesTheQueue_othersGoOn)
{
    Body &first = add();
    Body &leaving = add();
    Body &last = add();
    first.reserve(600);
    BOOST_TEST((leaving.reserve(1000) == Outcome::Waits));
    BOOST_TEST((last.reserve(400) == Outcome::Waits));
    leaving.share.reset();
    BOOST_TEST(last.isGranted);
    BOOST_TEST(!leaving.isGranted);
    BOOST_TEST(held.value() == 1000);
}

BOOST_AUTO_TEST_CASE(body_smallerThanReserved_returnsTheRest)
{
    Body &chunked = add();
    Body &other = add();
    chunked.reserve(1000);
    other.reserve(600);
    chunked.share->shrink(400);
    BOOST_TEST(other.isGranted);
    BOOST_TEST(held.value() == 1000);
}

// Guards against callers that wait although it is known that they wait in vain.
BOOST_AUTO_TEST_CASE(body_predictedToWaitTooLong_isDeniedAtOnce)
{
    holdOne(400ms);
    add().reserve(1000);
    BOOST_TEST((add().reserve(1000) == Outcome::Waits));
    BOOST_TEST((add().reserve(1000) == Outcome::Waits));
    BOOST_TEST((add().reserve(1000) == Outcome::Denied)); // Three turns of 400 ms.
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(BodyBurstTest, BodyBurstFixture)

// Answers callers with large bodies that come at one moment.
BOOST_AUTO_TEST_CASE(fiftyBodies_atOneMoment_allAreAdmitted)
{
    const Counts counts = play(50);
    BOOST_TEST(counts.admitted == 50U);
    BOOST_TEST(counts.longestWait <= MaxWait);
}

// Answers more callers with large bodies than can be served.
BOOST_AUTO_TEST_CASE(fiveHundredBodies_atOneMoment_thoseThatCannotBeServedAreDeniedAtOnce)
{
    const Counts counts = play(500);
    BOOST_TEST(counts.admitted >= 90U); // The memory is used 6.7 times within the longest wait.
    BOOST_TEST(counts.waitedInVain <= 15U); // One turn.
    BOOST_TEST(counts.admitted + counts.deniedAtOnce + counts.waitedInVain == 500U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
