#include "routing/ratelimitshare.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration Window{4000};
constexpr Duration Step{50};

/** One entry and one endpoint that states a limit. */
struct RateLimitShareFixture {
    Random random{42};
    BootTime now{1h};
    RateLimitShare limit;
};

/** Simulates many entries that share the rate limit of one endpoint. */
struct LimitWorld {
    LimitWorld(std::size_t entries, double perSecond, std::uint32_t seed) : random(seed), limits(entries)
    {
        for (RateLimitShare &limit : limits) {
            (void)limit.update(perSecond, entries, now, random);
        }
    }

    /** @param demand fraction of the steps in which the entries have requests; send times in the other steps pass unused. */
    void run(Duration time, double demand)
    {
        std::bernoulli_distribution wants(demand);
        for (const BootTime end = now + time; now < end; now += Step) {
            const bool hasRequest = wants(random);
            for (RateLimitShare &limit : limits) {
                if (hasRequest && limit.canSend(limits.size(), now, random)) {
                    limit.consume(limits.size(), now, random);
                    send();
                }
            }
        }
    }

    void send()
    {
        ++sent;
        recent.push_back(now);
        while (recent.front() <= now - Window) {
            recent.pop_front();
        }
        maxInWindow = std::max(maxInWindow, recent.size());
    }

    Random random;
    BootTime now{1h};
    std::vector<RateLimitShare> limits;
    std::deque<BootTime> recent;
    std::size_t maxInWindow = 0; ///< Maximum number of requests in any window.
    std::size_t sent = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RateLimitShareTest, RateLimitShareFixture)

// Guards against the entries exceeding a limit together that each of them keeps.
BOOST_AUTO_TEST_CASE(entries_anyNumber_totalIsWithinTheLimitInEveryWindow)
{
    for (const std::size_t entries : {1, 5, 35, 420}) {
        for (const double perSecond : {0.0, 0.5, 1.0, 3.0, 10.0}) {
            for (std::uint32_t seed = 1; seed <= 20; ++seed) {
                LimitWorld world(entries, perSecond, seed);
                world.run(60s, 1);
                const double allowed = 1.5 * perSecond * 4 + 5;
                BOOST_TEST(static_cast<double>(world.maxInWindow) <= allowed,
                           entries << " entries, " << perSecond << " a second, seed " << seed << ": " << world.maxInWindow);
            }
        }
    }
}

// Guards against a burst of unused shares after a pause.
BOOST_AUTO_TEST_CASE(entries_allSendAfterAPause_totalIsWithinTheLimit)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        LimitWorld world(420, 1, seed);
        for (int round = 0; round < 5; ++round) {
            world.now += 60s;
            world.run(5s, 1);
        }
        BOOST_TEST(world.maxInWindow <= 11U, "seed " << seed << ": " << world.maxInWindow);
    }
}

BOOST_AUTO_TEST_CASE(entries_limitAboveZero_useAFairPartOfIt)
{
    LimitWorld world(5, 3, 7);
    world.run(60s, 1);
    BOOST_TEST(world.sent > 60U); // A third of the limit.
}

BOOST_AUTO_TEST_CASE(limit_notSet_allowsAllRequests)
{
    BOOST_TEST(limit.canSend(5, now, random));
    limit.consume(5, now, random);
    BOOST_TEST(limit.canSend(5, now, random));
    BOOST_TEST(!limit.clear());
}

BOOST_AUTO_TEST_CASE(limit_cleared_allowsAllRequests)
{
    BOOST_TEST(limit.update(0, 5, now, random));
    BOOST_TEST(!limit.update(0, 5, now, random));
    BOOST_TEST(!limit.canSend(5, now, random));
    BOOST_TEST(limit.clear());
    BOOST_TEST(limit.canSend(5, now, random));
}

// Guards against an endpoint whose limit was zero for a while never getting requests again.
BOOST_AUTO_TEST_CASE(limit_zero_allowsAnOccasionalRequest)
{
    LimitWorld world(5, 0, 3);
    world.run(600s, 1);
    BOOST_TEST(world.sent > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
