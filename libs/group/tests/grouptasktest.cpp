#include "group/grouptask.h"
#include "http/eventhandles.h"
#include "http/timer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::group
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t Ranks = 3;
constexpr std::size_t Experts = 6;

/** Engines of one group that run passes in lock-step, as specified. */
class FakeGroup
{
public:
    explicit FakeGroup(event_base *loop) : timer_(loop, [this] { pass(); }), ranks_(Ranks)
    {
        for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
            ranks_[rank].experts = {{static_cast<std::uint16_t>(rank), static_cast<std::uint16_t>(rank + Ranks)}};
            ranks_[rank].counts.assign(Experts, 0);
        }
        timer_.start(Pass);
    }

    RankState stateOf(std::uint32_t rank) const
    {
        const Engine &engine = ranks_[rank];
        const bool isOdd = hasOddRank && rank == Ranks - 1;
        return {.group = "g",
                .epoch = epoch,
                .rank = isOdd ? OddRank : rank,
                .size = isOdd ? OddRank + 1 : reportedSize,
                .isOpen = true,
                .step = step_,
                .mapVersion = engine.map,
                .preparedVersion = engine.prepared,
                .armed = engine.armed,
                .heldStep = engine.held,
                .incarnation = incarnation};
    }

    OrderOutcome order(std::uint32_t rank, const RankOrder &order)
    {
        Engine &engine = ranks_[rank];
        const bool hasBegun = order.step <= step_;
        switch (order.kind) {
        case RankOrderKind::Prepare:
            if (std::exchange(formsNewEpochOnOrder, false)) {
                ++epoch; // The new epoch starts with map 0, which is already in use.
                return OrderOutcome::Conflict;
            }
            engine.prepared = order.version;
            engine.preparedMap = *order.map;
            return OrderOutcome::Accepted;
        case RankOrderKind::Arm:
            if (hasBegun || engine.prepared != order.version) {
                return OrderOutcome::Conflict;
            }
            engine.armed = ArmedMap{.version = order.version, .step = order.step};
            return OrderOutcome::Accepted;
        case RankOrderKind::Disarm:
            engine.armed.reset();
            return OrderOutcome::Accepted;
        case RankOrderKind::Hold:
            if (hasBegun || engine.held) {
                return OrderOutcome::Conflict;
            }
            engine.held = order.step;
            return OrderOutcome::Accepted;
        case RankOrderKind::Release:
            engine.held.reset();
            return OrderOutcome::Accepted;
        case RankOrderKind::Heartbeat:
            break;
        }
        return OrderOutcome::Conflict;
    }

    const std::vector<std::uint64_t> &counts(std::uint32_t rank) const
    {
        return ranks_[rank].counts;
    }
    std::vector<std::uint64_t> reportedCounts(std::uint32_t rank) const
    {
        return hasOddCounts && rank == Ranks - 1 ? std::vector<std::uint64_t>{ranks_[rank].counts.front()} : ranks_[rank].counts;
    }
    const std::vector<std::vector<std::uint16_t>> &experts(std::uint32_t rank) const
    {
        return ranks_[rank].experts;
    }
    std::uint64_t map() const
    {
        return ranks_.front().map;
    }
    bool isSplit() const
    {
        return isSplit_;
    }

    std::uint16_t hot = 0; ///< The expert with most choices.
    std::uint64_t epoch = 1;
    StatedIncarnation incarnation; ///< Stated with the state, but not with the counts.
    std::uint32_t reportedSize = Ranks;
    bool hasOddRank = false; ///< The last rank's engine reports a rank and a size that the group does not have.
    bool hasOddCounts = false; ///< It counts a single expert.
    int lostPrepares = 0; ///< Orders to prepare at rank 1 that get no answer and are not executed.
    std::optional<BootTime> firstLostAt;
    bool formsNewEpochOnOrder = false; ///< Forms a new epoch when an order to prepare arrives, as if a rank restarted at that time.

private:
    static constexpr Duration Pass{20};
    static constexpr std::uint32_t OddRank = 7;

    struct Engine {
        std::uint64_t map = 0;
        std::vector<std::vector<std::uint16_t>> experts;
        std::uint64_t prepared = 0;
        ExpertMap preparedMap;
        std::optional<ArmedMap> armed;
        std::optional<std::uint64_t> held;
        std::vector<std::uint64_t> counts;
    };

    void pass()
    {
        timer_.start(Pass);
        const std::uint64_t next = step_ + 1;
        if (std::any_of(ranks_.begin(), ranks_.end(), [next](const Engine &engine) { return engine.held == next; })) {
            return;
        }
        step_ = next;
        for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
            Engine &engine = ranks_[rank];
            if (engine.armed && engine.armed->step <= step_) {
                engine.map = engine.armed->version;
                engine.experts = {engine.preparedMap[0][rank]};
                engine.armed.reset();
                engine.prepared = 0;
            }
            for (std::size_t expert = 0; expert < Experts; ++expert) {
                engine.counts[expert] += expert == hot ? 900 : 100;
            }
            isSplit_ = isSplit_ || engine.map != ranks_.front().map;
        }
    }

    http::Timer timer_;
    std::vector<Engine> ranks_;
    std::uint64_t step_ = 0;
    bool isSplit_ = false;
};

/** A port to one engine of the group. */
class FakePort final : public EnginePort
{
public:
    FakePort(event_base *loop, FakeGroup &group, std::uint32_t rank) : loop_(loop), group_(group), rank_(rank) {}

    void readState(std::function<void(Result<RankState>)> done) override
    {
        callLater([this, done] { done(group_.stateOf(rank_)); });
    }
    void readCounts(std::function<void(Result<ExpertCounts>)> done) override
    {
        callLater([this, done] { done(ExpertCounts{.epoch = group_.epoch, .counts = group_.reportedCounts(rank_)}); });
    }
    void readHeldExperts(std::function<void(Result<HeldExperts>)> done) override
    {
        callLater([this, done] { done(HeldExperts{.epoch = group_.epoch, .version = group_.stateOf(rank_).mapVersion, .experts = group_.experts(rank_)}); });
    }
    void sendOrder(const RankOrder &order, std::function<void(OrderOutcome)> done) override
    {
        if (rank_ == 1 && order.kind == RankOrderKind::Prepare && group_.lostPrepares > 0) {
            --group_.lostPrepares;
            group_.firstLostAt = group_.firstLostAt.value_or(BootClock::now());
            return;
        }
        const OrderOutcome outcome = group_.order(rank_, order);
        callLater([done, outcome] { done(outcome); });
    }

private:
    void callLater(std::function<void()> call)
    {
        std::erase_if(calls_, [](const std::unique_ptr<Call> &made) { return made->isDone; });
        calls_.push_back(std::make_unique<Call>(loop_, std::move(call)));
    }

    struct Call {
        Call(event_base *loop, std::function<void()> call)
            : timer(loop, [this, made = std::move(call)] {
                isDone = true;
                made();
            })
        {
            timer.start(Duration(1));
        }
        bool isDone = false;
        http::Timer timer;
    };

    event_base *loop_;
    FakeGroup &group_;
    std::uint32_t rank_;
    std::vector<std::unique_ptr<Call>> calls_;
};

/** In-memory store with the coordinator row and the member list. */
class FakeStore final : public GroupStore
{
public:
    void readCoordinator(const std::string & /*group*/, std::function<void(Result<CoordinatorRow>)> done) override
    {
        ++reads;
        done(row);
    }
    void replaceCoordinator(const std::string & /*group*/,
                            const CoordinatorRow &read,
                            const CoordinatorRow &next,
                            std::function<void(Result<std::optional<std::uint64_t>>)> done) override
    {
        if (read.version != row.version) {
            done(std::optional<std::uint64_t>());
            return;
        }
        row = {.term = next.term, .holder = next.holder, .version = row.version + 1};
        done(std::optional(row.version));
    }
    void listMembers(std::function<void(Result<std::vector<MemberAddress>>)> done) override
    {
        done(members);
    }

    CoordinatorRow row;
    std::vector<MemberAddress> members;
    std::size_t reads = 0; ///< Reads of the row.
};

struct GroupTaskFixture {
    GroupTaskFixture() : group(loop.get())
    {
        for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
            const std::string address = "127.0.0.1:" + std::to_string(FirstPort + rank);
            store.members.push_back({.id = "i" + std::to_string(rank), .engineAddress = "engine-" + std::to_string(rank), .agentAddress = address});
            ports.push_back(std::make_unique<FakePort>(loop.get(), group, rank));
            agents.push_back(start(rank, address));
        }
    }

    std::unique_ptr<GroupTask> start(std::uint32_t rank, const std::string &address)
    {
        GroupOptions options;
        options.instance = "agent-" + std::to_string(rank);
        options.listenAddress = address;
        options.links.self = {.role = wire::Role::Agent, .instance = options.instance, .dataCentre = "north", .endpoint = {}};
        options.links.keys = {{.id = "k", .secret = "a-secret-of-the-test"}};
        options.expertsPerSet = Experts;
        options.maxExpertsPerRank = 3;
        options.maxCopiesPerSet = 1;
        options.coordinatorTimeout = Duration(300);
        const auto dialEngine = [this](const std::string &engine) -> std::unique_ptr<EnginePort> {
            return std::make_unique<FakePort>(loop.get(), group, static_cast<std::uint32_t>(engine.back() - '0'));
        };
        auto task = GroupTask::start(loop.get(), options, *ports[rank], dialEngine, store, metrics);
        BOOST_REQUIRE_MESSAGE(task.has_value(), "port in use");
        return std::move(*task);
    }

    bool runUntil(const std::function<bool()> &happened)
    {
        const BootTime end = BootClock::now() + 15s;
        while (!happened() && BootClock::now() < end) {
            event_base_loop(loop.get(), EVLOOP_ONCE);
        }
        return happened();
    }

    std::size_t coordinator() const
    {
        return static_cast<std::size_t>(store.row.holder.back() - '0');
    }

    static constexpr int FirstPort = 27431; ///< Below the ephemeral port range.
    http::EventBasePtr loop{event_base_new()};
    observe::Metrics metrics;
    FakeGroup group;
    FakeStore store;
    std::vector<std::unique_ptr<FakePort>> ports;
    std::vector<std::unique_ptr<GroupTask>> agents;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GroupTaskTest, GroupTaskFixture)

BOOST_AUTO_TEST_CASE(demand_skewed_mapIsChangedOnAllRanksInTheSamePass)
{
    BOOST_TEST(runUntil([this] { return group.map() != 0; }));
    BOOST_TEST(!group.isSplit());
    std::size_t holders = 0;
    for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
        const auto &experts = group.experts(rank).front();
        holders += std::find(experts.begin(), experts.end(), group.hot) == experts.end() ? 0 : 1;
    }
    BOOST_TEST(holders >= 2U);
}

// Guards against a map that is never changed because counts that don't name their incarnation are taken for those of an earlier run.
BOOST_AUTO_TEST_CASE(counts_withoutTheIncarnationOfTheState_mapIsChanged)
{
    group.incarnation = StatedIncarnation(1'796'259'161'000);
    BOOST_TEST(runUntil([this] { return group.map() != 0; }));
    BOOST_TEST(!group.isSplit());
}

// Guards against coordinators that fail one after another because a first epoch with number 0 is not recognised as new.
BOOST_AUTO_TEST_CASE(group_openInEpochZero_mapIsChanged)
{
    group.epoch = 0;
    BOOST_TEST(runUntil([this] { return group.map() != 0; }));
    BOOST_TEST(!group.isSplit());
}

// Guards against a map that is never changed again because the first state of a new epoch was read after an order and the experts of the old epoch were kept.
BOOST_AUTO_TEST_CASE(group_formsNewEpochDuringAnOrder_mapIsChangedAgain)
{
    group.formsNewEpochOnOrder = true;
    BOOST_REQUIRE(runUntil([this] { return group.epoch == 2; }));
    BOOST_TEST(runUntil([this] { return group.map() != 0; }));
    BOOST_TEST(!group.isSplit());
}

// Guards against maps that are no longer changed after a coordinator has exited because no agent can replace it.
BOOST_AUTO_TEST_CASE(coordinator_exits_anotherTakesOverAndChangesTheMap)
{
    BOOST_REQUIRE(runUntil([this] { return group.map() != 0; }));
    const std::uint64_t term = store.row.term;
    agents[coordinator()].reset();
    BOOST_TEST(runUntil([this, term] { return store.row.term > term; }));
    const std::uint64_t map = group.map();
    group.hot = 4;
    // Restart it: among three ranks, one unresponsive agent is too many for direct access to engines.
    for (std::uint32_t rank = 0; rank < Ranks; ++rank) {
        if (agents[rank] == nullptr) {
            agents[rank] = start(rank, store.members[rank].agentAddress);
        }
    }
    BOOST_TEST(runUntil([this, map] { return group.map() != map; }));
    BOOST_TEST(!group.isSplit());
}

// Guards against a change that waits a second for one rank because orders to prepare got no answer several times in a row, while demand moves on.
BOOST_AUTO_TEST_CASE(orders_severalUnansweredInARow_mapIsStillChangedAtOnce)
{
    group.lostPrepares = 8;
    BOOST_REQUIRE(runUntil([this] { return group.map() != 0; }));
    BOOST_REQUIRE(group.firstLostAt.has_value());
    BOOST_TEST((BootClock::now() - *group.firstLostAt < 900ms));
    BOOST_TEST(!group.isSplit());
}

// Guards against a division by zero when an engine reports a group size of 0 and there is no coordinator.
BOOST_AUTO_TEST_CASE(engine_reportsGroupSizeZero_agentContinues)
{
    group.reportedSize = 0;
    const BootTime end = BootClock::now() + 1s;
    runUntil([end] { return BootClock::now() >= end; });
    group.reportedSize = Ranks;
    BOOST_TEST(runUntil([this] { return group.map() != 0; }));
    BOOST_TEST(!group.isSplit());
}

// Guards against an exception, which ends the process, when engines report different sizes of the group in one epoch.
BOOST_AUTO_TEST_CASE(engine_reportsARankBeyondItsGroup_agentsContinue)
{
    BOOST_REQUIRE(runUntil([this] { return group.map() != 0; }));
    group.hasOddRank = true;
    const BootTime end = BootClock::now() + 1s;
    runUntil([end] { return BootClock::now() >= end; });
    group.hasOddRank = false;
    const std::uint64_t map = group.map();
    group.hot = 4;
    BOOST_TEST(runUntil([this, map] { return group.map() != map; }));
    BOOST_TEST(!group.isSplit());
}

// Guards against a plan that is made from counts of other experts than the group has.
BOOST_AUTO_TEST_CASE(engine_countsOtherExperts_mapIsStillChanged)
{
    BOOST_REQUIRE(runUntil([this] { return group.map() != 0; }));
    group.hasOddCounts = true;
    const std::uint64_t map = group.map();
    group.hot = 4;
    BOOST_TEST(runUntil([this, map] { return group.map() != map; }));
    BOOST_TEST(!group.isSplit());
}

// Guards against several agents replacing a lost coordinator in turn, each undoing the previous one's switch.
BOOST_AUTO_TEST_CASE(coordinator_exits_onlyTheNextRankReadsTheStore)
{
    BOOST_REQUIRE(runUntil([this] { return group.map() != 0; }));
    const std::size_t lost = coordinator();
    const std::uint64_t term = store.row.term;
    store.reads = 0;
    agents[lost].reset();
    BOOST_REQUIRE(runUntil([this, term] { return store.row.term > term; }));
    BOOST_TEST(coordinator() == (lost + 1) % Ranks);
    const BootTime end = BootClock::now() + 1s;
    runUntil([end] { return BootClock::now() >= end; });
    BOOST_TEST(store.reads == 1U);
    BOOST_TEST(coordinator() == (lost + 1) % Ranks);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
