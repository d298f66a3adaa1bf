#include "routing/coldrateshare.h"
#include "base/random.h"
#include "routing/ratelimitshare.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration Step{10};
constexpr Duration Second{1000};
constexpr Duration MaxDelay{30}; ///< Of a request on its way to the endpoint.
constexpr Duration ViewRefresh{15000}; ///< After which an entry knows the entries that have come or gone.

/** Offered to all entries together, as a multiple of the endpoint's rate. Infinite demand: there is a request at any time. */
struct Load {
    std::size_t entries = 5;
    double perSecond = 26; ///< Rate of the cold endpoint.
    double demand = 0; ///< Requests per second at each entry; 0: there is a request at any time.
    std::size_t callersAt = 0; ///< Number of entries that have callers; 0: all.
    Duration churn{0}; ///< After each such time one entry leaves for good and another one joins; 0: never.
    Duration restarts{0}; ///< After each such time one entry restarts; 0: never.
};

/** Many entries in front of one cold endpoint. */
class ColdWorld
{
public:
    ColdWorld(const Load &load, std::uint32_t seed) : load_(load), random_(seed), endpoint_("endpoint-" + std::to_string(seed))
    {
        for (std::size_t index = 0; index < load.entries; ++index) {
            addEntry();
        }
        for (auto &entry : entries_) {
            refreshView(*entry);
        }
    }

    void run(Duration time)
    {
        for (const BootTime end = now_ + time; now_ < end; now_ += Step) {
            changeInstances();
            for (auto &entry : entries_) {
                serve(*entry);
            }
            deliver();
        }
        elapsed_ += time;
    }

    double use() const
    {
        return static_cast<double>(sent_) / (load_.perSecond * std::chrono::duration<double>(elapsed_).count());
    }
    std::size_t maxInSecond() const
    {
        return maxInSecond_;
    }
    std::size_t breaches() const
    {
        return breaches_;
    }
    double bound() const
    {
        return load_.perSecond * Bound.overshoot + Bound.slack;
    }

    static constexpr ColdBound Bound{.overshoot = 1.5, .slack = 5};

private:
    struct Entry {
        std::string name;
        TurnHolders holders;
        ColdRateShare share;
        BootTime refreshAt;
        BootTime nextRequestAt;
        std::size_t waiting = 0;
        bool hasCallers = true;
        bool isSkipped = false; ///< It holds no turns by its view.
    };

    Duration uniform(Duration maximum)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, maximum.count())(random_));
    }

    void addEntry()
    {
        auto entry = std::make_unique<Entry>();
        entry->name = "entry-" + std::to_string(++lastName_);
        entry->refreshAt = now_ + uniform(ViewRefresh);
        entry->hasCallers = load_.callersAt == 0 || entries_.size() < load_.callersAt;
        entry->share.extend(now_ + 24h, now_);
        entries_.push_back(std::move(entry));
    }

    void refreshView(Entry &entry)
    {
        std::vector<std::string> others;
        for (const auto &other : entries_) {
            if (other->name != entry.name) {
                others.push_back(other->name);
            }
        }
        entry.holders.setInstances(entry.name, others);
        entry.isSkipped = !entry.holders.shareOf(endpoint_, rate().maxHolders).isHolder;
    }

    ColdRate rate() const
    {
        return coldRateOf({.time = 3s, .perSecond = load_.perSecond}, Bound);
    }

    void changeInstances()
    {
        const auto isDue = [this](Duration interval) { return interval.count() > 0 && now_.time_since_epoch() % interval < Step; };
        if (isDue(load_.churn)) {
            entries_.erase(entries_.begin() + std::uniform_int_distribution<std::ptrdiff_t>(0, std::ssize(entries_) - 1)(random_));
            addEntry();
            refreshView(*entries_.back());
        }
        if (isDue(load_.restarts)) {
            Entry &entry = *entries_[std::uniform_int_distribution<std::size_t>(0, entries_.size() - 1)(random_)];
            entry.share = {};
            entry.share.extend(now_ + 24h, now_);
            refreshView(entry);
        }
        for (auto &entry : entries_) {
            if (load_.churn.count() > 0 && now_ >= entry->refreshAt) {
                entry->refreshAt = now_ + ViewRefresh;
                refreshView(*entry);
            }
        }
    }

    void serve(Entry &entry)
    {
        if (!entry.hasCallers || entry.isSkipped || !takeRequest(entry)) {
            return;
        }
        if (entry.share.canSend({.endpoint = endpoint_, .rate = rate(), .holders = entry.holders}, now_)) {
            entry.share.onSent(now_);
            entry.waiting -= load_.demand > 0 ? 1 : 0;
            ++sent_;
            inTransit_.push(now_ + uniform(MaxDelay));
        }
    }

    /** @return whether a request waits at the entry; one that finds another waiting goes elsewhere. */
    bool takeRequest(Entry &entry)
    {
        if (load_.demand == 0) {
            return true;
        }
        if (now_ >= entry.nextRequestAt) {
            const double seconds = std::exponential_distribution<double>(load_.demand)(random_);
            entry.nextRequestAt = now_ + std::chrono::duration_cast<BootClock::duration>(std::chrono::duration<double>(seconds));
            entry.waiting = 1;
        }
        return entry.waiting > 0;
    }

    void deliver()
    {
        while (!inTransit_.empty() && inTransit_.top() <= now_) {
            recent_.push_back(inTransit_.top());
            inTransit_.pop();
            while (recent_.front() <= recent_.back() - Second) {
                recent_.pop_front();
            }
            maxInSecond_ = std::max(maxInSecond_, recent_.size());
            breaches_ += static_cast<double>(recent_.size()) > bound() ? 1 : 0;
        }
    }

    Load load_;
    Random random_;
    std::string endpoint_;
    BootTime now_{1h};
    Duration elapsed_{0};
    std::vector<std::unique_ptr<Entry>> entries_;
    std::size_t lastName_ = 0;
    std::priority_queue<BootTime, std::vector<BootTime>, std::greater<>> inTransit_;
    std::deque<BootTime> recent_;
    std::size_t sent_ = 0;
    std::size_t maxInSecond_ = 0;
    std::size_t breaches_ = 0;
};

struct ColdRateShareFixture {
    ColdRateShareFixture()
    {
        holders.setInstances("a", {"b", "c"});
    }

    ColdRateShare::Terms terms() const
    {
        return {.endpoint = "e", .rate = {.perSecond = 10, .maxHolders = 4}, .holders = holders};
    }

    /** Makes the endpoint cold, and determines when this entry's first turn comes. */
    void startPhase()
    {
        share.extend(now + 1h, now);
        BOOST_TEST(share.nextTurnAt(terms(), now).has_value());
    }

    BootTime now{1h};
    TurnHolders holders;
    ColdRateShare share;
};

constexpr double MinUse = 0.8;

void checkLoad(const Load &load, std::uint32_t seed, Duration time, double minUse)
{
    ColdWorld world(load, seed);
    world.run(time);
    BOOST_TEST(world.breaches() == 0U, load.entries << " entries, " << load.perSecond << " a second, seed " << seed << ": " << world.maxInSecond());
    BOOST_TEST(world.use() >= minUse, load.entries << " entries, " << load.perSecond << " a second, seed " << seed << ": used " << world.use());
    BOOST_TEST_MESSAGE(load.entries << " entries, " << load.perSecond << " a second: used " << world.use() << ", at most " << world.maxInSecond() << " of "
                                    << world.bound());
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ColdRateShareTest, ColdRateShareFixture)

// Load: as many requests as the entries may send. Guards against the entries exceeding together what each of them keeps, and against a rate left unused.
BOOST_AUTO_TEST_CASE(entries_moreRequestsThanTurns_boundIsKeptAndRateIsUsed)
{
    for (const std::size_t entries : {1, 5, 16, 60, 420}) {
        for (std::uint32_t seed = 1; seed <= 10; ++seed) {
            checkLoad({.entries = entries}, seed, 50s, MinUse);
        }
    }
}

// Load: as above, for rates from hardly any to many. A small rate is used less, as a request more or less in a second counts for more.
BOOST_AUTO_TEST_CASE(entries_otherRates_boundIsKept)
{
    for (const double perSecond : {0.2, 2.0, 8.0, 100.0}) {
        for (const std::size_t entries : {5, 16, 60, 420}) {
            checkLoad({.entries = entries, .perSecond = perSecond}, 3, 60s, MinUse);
        }
    }
}

// Load: as many requests as the entries may send, while one entry after the other is replaced. Guards against views that differ breaking the bound.
BOOST_AUTO_TEST_CASE(entries_areReplaced_boundIsKeptWhileViewsDiffer)
{
    for (const std::size_t entries : {5, 16, 60, 420}) {
        for (std::uint32_t seed = 1; seed <= 10; ++seed) {
            checkLoad({.entries = entries, .churn = 7s}, seed, 100s, 0.6);
        }
    }
}

// Load: as many requests as the entries may send, while entries restart in quick succession. Guards against a burst of forgotten turns.
BOOST_AUTO_TEST_CASE(entries_restart_boundIsKept)
{
    for (const std::size_t entries : {5, 16, 60, 420}) {
        for (std::uint32_t seed = 1; seed <= 10; ++seed) {
            checkLoad({.entries = entries, .restarts = 500ms}, seed, 60s, 0.7);
        }
    }
}

// Load: all callers are at one entry of five. Guards against an entry taking the turns of those that have no callers.
BOOST_AUTO_TEST_CASE(entries_callersAtOne_onlyItsOwnTurnsAreUsed)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        checkLoad({.entries = 5, .callersAt = 1}, seed, 30s, MinUse / 5);
    }
}

// Load: each entry gets as many requests as it has turns, at random times. Guards against unused turns being saved up for a burst.
BOOST_AUTO_TEST_CASE(entries_requestsAtRandomTimes_boundIsKept)
{
    for (std::uint32_t seed = 1; seed <= 10; ++seed) {
        checkLoad({.entries = 16, .demand = 2.5}, seed, 60s, 0.4);
    }
}

// Load: as many requests as the entries may send, for a bound of hardly more than the rate.
BOOST_AUTO_TEST_CASE(rate_boundWithoutRoom_oneHolderStaysBelowIt)
{
    const ColdRate rate = coldRateOf({.time = 3s, .perSecond = 2}, {.overshoot = 1, .slack = 0});
    BOOST_TEST(rate.maxHolders == 1U);
    BOOST_TEST(rate.perSecond <= 1.0); // One more request may fall into the same second.
}

BOOST_AUTO_TEST_CASE(share_notExtended_isNotCold)
{
    BOOST_TEST(!share.isCold(now));
    BOOST_TEST(share.extend(now + 3s, now));
    BOOST_TEST(share.isCold(now + 2999ms));
    BOOST_TEST(!share.isCold(now + 3s));
}

BOOST_AUTO_TEST_CASE(share_shorterTimeStatedLater_staysColdForTheLonger)
{
    share.extend(now + 3s, now);
    BOOST_TEST(!share.extend(now + 1s, now));
    BOOST_TEST((share.coldUntil() == now + 3s));
}

BOOST_AUTO_TEST_CASE(share_turnUsed_nextOneComesAfterTheInterval)
{
    startPhase();
    now += 300ms; // 3 entries share 10 requests a second.
    BOOST_TEST(share.canSend(terms(), now));
    const BootTime turn = *share.nextTurnAt(terms(), now);
    share.onSent(turn);
    BOOST_TEST(!share.canSend(terms(), turn + 299ms));
    BOOST_TEST(share.canSend(terms(), turn + 300ms));
    BOOST_TEST((share.nextTurnAt(terms(), turn) == turn + 300ms));
}

// Guards against turns that passed unused being sent in a burst.
BOOST_AUTO_TEST_CASE(share_turnsPassUnused_oneIsLeft)
{
    startPhase();
    now += 30s;
    BOOST_TEST(share.canSend(terms(), now));
    share.onSent(now);
    BOOST_TEST(!share.canSend(terms(), now));
}

BOOST_AUTO_TEST_CASE(share_instancesNotKnown_hasNoTurn)
{
    const TurnHolders unknown;
    share.extend(now + 1h, now);
    const ColdRateShare::Terms terms{.endpoint = "e", .rate = {.perSecond = 10, .maxHolders = 4}, .holders = unknown};
    BOOST_TEST(!share.canSend(terms, now + 30s));
    BOOST_TEST(!share.nextTurnAt(terms, now).has_value());
}

BOOST_AUTO_TEST_CASE(registration_sameVersionAgain_isNotNew)
{
    BOOST_TEST(share.onListed(5));
    BOOST_TEST(!share.onListed(5));
    BOOST_TEST(!share.onListed(4));
    BOOST_TEST(share.onListed(6));
}

// Load: as many requests as the entries may send. The random times of RateLimitShare are what evenly spaced turns replace here.
BOOST_AUTO_TEST_CASE(randomTimes_sameLoad_useLessOfTheRate)
{
    constexpr std::size_t Entries = 16;
    constexpr double PerSecond = 26;
    Random random{42};
    std::vector<RateLimitShare> limits(Entries);
    for (RateLimitShare &limit : limits) {
        (void)limit.update(PerSecond, Entries, now, random);
    }
    std::size_t sent = 0;
    for (const BootTime end = now + 100s; now < end; now += Step) {
        for (RateLimitShare &limit : limits) {
            if (limit.canSend(Entries, now, random)) {
                limit.consume(Entries, now, random);
                ++sent;
            }
        }
    }
    const double use = static_cast<double>(sent) / (PerSecond * 100);
    BOOST_TEST_MESSAGE("random times use " << use);
    BOOST_TEST(use < MinUse);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
