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

/** Many entries that each want to send to one endpoint all the time. */
struct LimitWorld {
    LimitWorld(std::size_t entries, double perSecond, std::uint32_t seed) : random(seed), limits(entries)
    {
        for (RateLimitShare &limit : limits) {
            (void)limit.state(perSecond, entries, now, random);
        }
    }

    /** @param demand part of the steps in which an entry has a request to send; in the others its chances pass. */
    void run(Duration time, double demand)
    {
        std::bernoulli_distribution wants(demand);
        for (const BootTime end = now + time; now < end; now += Step) {
            const bool isBusy = wants(random);
            for (RateLimitShare &limit : limits) {
                if (isBusy && limit.mayUse(limits.size(), now, random)) {
                    limit.use(limits.size(), now, random);
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
        most = std::max(most, recent.size());
    }

    Random random;
    BootTime now{1h};
    std::vector<RateLimitShare> limits;
    std::deque<BootTime> recent;
    std::size_t most = 0; ///< In any window.
    std::size_t sent = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RateLimitShareTest, RateLimitShareFixture)

// Guards against a limit that each entry keeps for itself being passed by all of them together.
BOOST_AUTO_TEST_CASE(entries_anyNumberOfThem_togetherKeepTheLimitInAnyWindow)
{
    for (const std::size_t entries : {1, 5, 35, 420}) {
        for (const double perSecond : {0.0, 0.5, 1.0, 3.0, 10.0}) {
            for (std::uint32_t seed = 1; seed <= 20; ++seed) {
                LimitWorld world(entries, perSecond, seed);
                world.run(60s, 1);
                const double allowed = 1.5 * perSecond * 4 + 5;
                BOOST_TEST(static_cast<double>(world.most) <= allowed,
                           entries << " entries, " << perSecond << " a second, seed " << seed << ": " << world.most);
            }
        }
    }
}

// Guards against shares that were saved up while nobody sent being used all at once.
BOOST_AUTO_TEST_CASE(entries_allSendAfterAPause_keepTheLimit)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        LimitWorld world(420, 1, seed);
        for (int round = 0; round < 5; ++round) {
            world.now += 60s;
            world.run(5s, 1);
        }
        BOOST_TEST(world.most <= 11U, "seed " << seed << ": " << world.most);
    }
}

BOOST_AUTO_TEST_CASE(entries_endpointTakesSome_isSentThem)
{
    LimitWorld world(5, 3, 7);
    world.run(60s, 1);
    BOOST_TEST(world.sent > 60U); // A third of what it takes.
}

BOOST_AUTO_TEST_CASE(limit_notStated_allowsAll)
{
    BOOST_TEST(limit.mayUse(5, now, random));
    limit.use(5, now, random);
    BOOST_TEST(limit.mayUse(5, now, random));
    BOOST_TEST(!limit.lift());
}

BOOST_AUTO_TEST_CASE(limit_lifted_allowsAll)
{
    BOOST_TEST(limit.state(0, 5, now, random));
    BOOST_TEST(!limit.state(0, 5, now, random));
    BOOST_TEST(!limit.mayUse(5, now, random));
    BOOST_TEST(limit.lift());
    BOOST_TEST(limit.mayUse(5, now, random));
}

// Guards against an endpoint that took nothing for a while being left out for good.
BOOST_AUTO_TEST_CASE(limit_ofNothing_isAskedForNowAndThen)
{
    LimitWorld world(5, 0, 3);
    world.run(600s, 1);
    BOOST_TEST(world.sent > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
