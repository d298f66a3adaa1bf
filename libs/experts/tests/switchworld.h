#ifndef MAGNOLIA_EXPERTS_TESTS_SWITCHWORLD_H
#define MAGNOLIA_EXPERTS_TESTS_SWITCHWORLD_H

#include "experts/epochcoordinator.h"
#include "switchcoordinatorimpl.h"
#include "switchrankimpl.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bitset>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

// A group of engines and agents around the real state machines, as a value that a checker copies, changes and compares.
// Messages and orders once sent stay on their way for ever: each may arrive at any later time, never, or again and again.
// That covers loss, delay, reordering and duplication at once. An agent that is slow, frozen or dead is one that nothing
// happens to; only its restart is an event of its own.

namespace magnolia::experts::testing
{

/** Gives equal values the same small number, so that a state of the world holds numbers in place of messages. */
template<typename T>
class Interner
{
public:
    std::uint32_t idOf(const T &value)
    {
        const auto [place, isNew] = ids_.emplace(value, static_cast<std::uint32_t>(values_.size()));
        if (isNew) {
            values_.push_back(value);
        }
        return place->second;
    }

    const T &operator[](std::uint32_t id) const
    {
        return values_[id];
    }

private:
    std::map<T, std::uint32_t> ids_;
    std::deque<T> values_; // its elements stay where they are
};

/** SwitchMessage with an order. */
struct Mail {
    wire::SwitchMessage message;

    auto key() const
    {
        return std::tie(message.kind,
                        message.toRank,
                        message.fromRank,
                        message.map,
                        message.epoch,
                        message.toIncarnation,
                        message.fromIncarnation,
                        message.step,
                        message.payload);
    }
    bool operator<(const Mail &other) const
    {
        return key() < other.key();
    }
};

/** An order on its way from one incarnation of an agent to its engine. */
struct OrderInFlight {
    Rank rank = 0;
    wire::Incarnation fence = 0;
    EngineOrder order;

    bool operator<(const OrderInFlight &other) const
    {
        return std::tie(rank, fence, order.kind, order.epoch, order.map, order.step, order.payload)
            < std::tie(other.rank, other.fence, other.order.kind, other.order.epoch, other.order.map, other.order.step, other.order.payload);
    }
};

/** What may happen, and how often. */
struct Scenario {
    Rank ranks = 2;
    bool engineChecksFence = true;
    bool startsLoaded = true; ///< Engines have all maps from the start.
    bool startsVoting = false; ///< The first coordinator has got past loading, with hold step `margin`.
    bool delayedReads = false; ///< An agent may act on a state that its engine was in a while ago.
    Step lastStep = 2; ///< Engines stop there.
    Step margin = 1;
    std::uint32_t tickers = ~0U; ///< Ranks whose agents' timers run out, as bits.
    std::uint32_t restarters = ~0U; ///< Ranks whose agents may restart, as bits.
    int agentRestarts = 0;
    int refusals = 0; ///< Agents that begin to refuse.
    int coordinators = 0; ///< Further ones that take the lease over, each with the next map number.
    int engineRestarts = 0;
    int epochs = 0; ///< New epochs begun.
};

enum class EventKind : std::uint8_t {
    Deliver,
    Execute,
    Read,
    DeliverRead,
    Tick,
    Step,
    RestartAgent,
    Refuse,
    TakeOver,
    RestartEngine,
    BeginEpoch,
};

/** Something that may happen next: to a rank, or to a message or order by its number. */
struct Event {
    EventKind kind = EventKind::Deliver;
    std::uint32_t subject = 0;
};

/**
 * The whole state of a group, small enough to be copied millions of times: each part is a number that stands for its value
 * in Shared, where also the effect of each input on each part is kept once the real code has worked it out.
 *
 * Capacity is the number of different messages, and of different orders, that a run may see.
 */
template<typename Rules, std::size_t Capacity = 256>
class SwitchWorld
{
public:
    using RankMachine = SwitchRank<Rules>;
    using Coordinator = SwitchCoordinator<Rules>;

    struct Agent {
        Rank rank = 0;
        wire::Incarnation incarnation = 1;
        MapNumber floor = 0;
        typename RankMachine::State state;
        std::optional<EngineState> captured; ///< Read, but not yet handed to the agent.

        auto operator<=>(const Agent &) const = default; // NOLINT(modernize-use-nullptr)
    };

    struct Engine {
        EngineState state;
        std::optional<PreparedMap> next; ///< Committed, in use from its hold step on.
        MapNumber inUse = 0;
        MapNumber lastMap = 0; ///< Of the last step begun.
        wire::Incarnation fence = 0;

        auto operator<=>(const Engine &) const = default; // NOLINT(modernize-use-nullptr)
    };

    struct Lease {
        Rank rank = 0;
        wire::Incarnation incarnation = 0;
        Epoch epoch = 0;
        MapNumber map = 0;
        typename Coordinator::State state;

        auto operator<=>(const Lease &) const = default; // NOLINT(modernize-use-nullptr)
    };

    struct EpochLease {
        Rank rank = 0;
        Epoch epoch = 0;
        MapNumber recordedMap = 0;
        EpochCoordinator::State state;

        auto operator<=>(const EpochLease &) const = default; // NOLINT(modernize-use-nullptr)
    };

    /** What an input does to a part: the part's next value, and what it sends. */
    struct Effect {
        std::uint32_t next = 0;
        std::vector<std::uint32_t> mails;
        std::vector<std::uint32_t> orders;
    };

    struct Shared {
        Interner<Mail> mails;
        Interner<OrderInFlight> orders;
        Interner<Agent> agents;
        Interner<Engine> engines;
        Interner<Lease> leases;
        Interner<EpochLease> epochs;
        std::unordered_map<std::uint64_t, Effect> effects;
    };

    SwitchWorld(const Scenario &scenario, Shared &shared) : scenario_(&scenario), shared_(&shared)
    {
        state_.recordedMap = FirstMap;
        state_.recordedEpoch = 1;
        for (Rank rank = 0; rank < scenario.ranks; ++rank) {
            Engine engine;
            engine.state.epoch = 1;
            engine.state.map = FirstMap;
            engine.inUse = FirstMap;
            engine.state.loaded = {FirstMap};
            for (MapNumber map = FirstMap + 1; scenario.startsLoaded && map <= FirstMap + 1U + static_cast<MapNumber>(scenario.coordinators); ++map) {
                engine.state.loaded.push_back(map);
            }
            setEngine(rank, engine);
            Agent agent{.rank = rank, .incarnation = 1, .floor = FirstMap, .state = {}, .captured = {}};
            agent.state.highest = FirstMap;
            setAgent(rank, agent);
            read(rank);
        }
        takeOver(0);
        if (scenario.startsVoting) {
            startVoting();
        }
    }

    std::vector<Event> events() const
    {
        std::vector<Event> events;
        forEach(state_.mails, [&](std::uint32_t mail) { events.push_back({EventKind::Deliver, mail}); });
        forEach(state_.orders, [&](std::uint32_t order) { events.push_back({EventKind::Execute, order}); });
        for (Rank rank = 0; rank < scenario_->ranks; ++rank) {
            addRankEvents(rank, events);
        }
        if (state_.restartsOfEngines > state_.beginsOfEpochs && state_.beginsOfEpochs < scenario_->epochs) {
            events.push_back({EventKind::BeginEpoch, 0});
        }
        return events;
    }

    void happen(const Event &event)
    {
        const auto rank = static_cast<Rank>(event.subject);
        switch (event.kind) {
        case EventKind::Deliver:
            deliver(event.subject);
            break;
        case EventKind::Execute:
            execute(event.subject);
            break;
        case EventKind::Read:
            scenario_->delayedReads ? capture(rank) : read(rank);
            break;
        case EventKind::DeliverRead:
            deliverRead(rank);
            break;
        case EventKind::Tick:
            tick(rank);
            break;
        case EventKind::Step:
            step(rank);
            break;
        case EventKind::RestartAgent:
            restartAgent(rank);
            break;
        case EventKind::Refuse:
            refuse(rank);
            break;
        case EventKind::TakeOver:
            ++state_.takeOvers;
            takeOver(rank);
            break;
        case EventKind::RestartEngine:
            ++state_.restartsOfEngines;
            setEngine(rank, Engine{});
            break;
        case EventKind::BeginEpoch:
            beginEpoch();
            break;
        }
    }

    /** Takes away a message or an order that was delivered: it does not come again. */
    void forget(const Event &event)
    {
        if (event.kind == EventKind::Deliver) {
            state_.mails.reset(event.subject);
        }
        if (event.kind == EventKind::Execute) {
            state_.orders.reset(event.subject);
        }
    }

    /** @return what promise is broken; empty for none. */
    std::string_view broken() const
    {
        switch (state_.broken) {
        case Promise::OneMap:
            return "a step is run on two maps";
        case Promise::OldLease:
            return "a rival with an old lease changed the map";
        case Promise::None:
            break;
        }
        return {};
    }

    /**
     * Lets everything work from now on, with all that was on its way lost or delivered first, and with or without the
     * coordinators. @return what promise is broken: that too if a switch does not end, or the group does not go on
     * stepping although no rank is gone.
     */
    std::string_view settle(bool isOldMailLost, bool areCoordinatorsGone) const
    {
        SwitchWorld world = *this;
        Scenario endless = *scenario_;
        endless.lastStep += 1000;
        world.scenario_ = &endless;
        if (isOldMailLost) {
            world.state_.mails.reset();
            world.state_.orders.reset();
        }
        if (areCoordinatorsGone) {
            world.state_.leases = {};
        }
        if (world.isRankGone()) {
            if (world.state_.beginsOfEpochs >= scenario_->epochs) {
                return {}; // Stopped by a rank that is gone, and nobody to replace it here.
            }
            world.beginEpoch();
        }
        constexpr int Rounds = 40;
        constexpr int QuietRounds = 2;
        int quiet = 0;
        for (int round = 0; round < Rounds && quiet < QuietRounds && world.broken().empty(); ++round) {
            const Step before = world.slowestStep();
            world.playRound();
            quiet = world.isQuiet() && world.slowestStep() > before ? quiet + 1 : 0;
        }
        if (world.broken().empty() && quiet < QuietRounds) {
            return "a switch does not end";
        }
        return world.broken();
    }

    bool hasCommitted(MapNumber map) const
    {
        for (Rank rank = 0; rank < scenario_->ranks; ++rank) {
            if (engine(rank).state.map == map) {
                return true;
            }
        }
        return false;
    }

    std::pair<std::uint64_t, std::uint64_t> hash() const
    {
        const XXH128_hash_t hash = XXH3_128bits(&state_, sizeof(state_));
        return {hash.high64, hash.low64};
    }

private:
    static constexpr MapNumber FirstMap = 1;
    static constexpr std::size_t MaxRanks = 8;
    static constexpr std::size_t MaxLeases = 4;

    using Set = std::bitset<Capacity>;

    enum class Promise : std::uint32_t {
        None,
        OneMap,
        OldLease,
    };

    enum class Input : std::uint64_t {
        Message,
        EngineState,
        Tick,
        LeaseMessage,
        LeaseTick,
        EpochMessage,
        EpochTick,
        Order,
        Step,
    };

    // All that changes, without padding, so that its bytes can be hashed.
    struct State {
        Set mails;
        Set orders;
        std::array<std::uint32_t, MaxRanks> agents{};
        std::array<std::uint32_t, MaxRanks> engines{};
        std::array<std::uint32_t, MaxLeases> leases{}; // one more than the number in Shared; 0: none
        std::uint32_t epoch = 0; // likewise
        std::uint32_t recordedMap = 0; // the group's row
        std::uint32_t recordedEpoch = 0;
        std::uint32_t fencedMap = 0; // must not come into use any more
        std::int32_t restarts = 0;
        std::int32_t refusals = 0;
        std::int32_t takeOvers = 0;
        std::int32_t restartsOfEngines = 0;
        std::int32_t beginsOfEpochs = 0;
        Promise broken = Promise::None;
    };
    static_assert(std::has_unique_object_representations_v<State>);

    template<typename Function>
    static void forEach(const Set &set, Function function)
    {
        for (std::size_t id = set._Find_first(); id < Capacity; id = set._Find_next(id)) {
            function(static_cast<std::uint32_t>(id));
        }
    }

    void addRankEvents(Rank rank, std::vector<Event> &events) const
    {
        const std::uint32_t subject = rank;
        const Agent &agent = this->agent(rank);
        events.push_back({agent.captured ? EventKind::DeliverRead : EventKind::Read, subject});
        if (agent.state.isStarted && (scenario_->tickers >> rank & 1U) != 0) {
            events.push_back({EventKind::Tick, subject});
        }
        if (canStep(rank)) {
            events.push_back({EventKind::Step, subject});
        }
        if (state_.restarts < scenario_->agentRestarts && (scenario_->restarters >> rank & 1U) != 0) {
            events.push_back({EventKind::RestartAgent, subject});
        }
        if (state_.refusals < scenario_->refusals && !agent.state.isRefusing) {
            events.push_back({EventKind::Refuse, subject});
        }
        if (state_.takeOvers < scenario_->coordinators && agent.state.isStarted && rank != 0) {
            events.push_back({EventKind::TakeOver, subject});
        }
        if (state_.restartsOfEngines < scenario_->engineRestarts) {
            events.push_back({EventKind::RestartEngine, subject});
        }
    }

    const Agent &agent(Rank rank) const
    {
        return shared_->agents[state_.agents[rank]];
    }

    void setAgent(Rank rank, const Agent &agent)
    {
        state_.agents[rank] = shared_->agents.idOf(agent);
    }

    const Engine &engine(Rank rank) const
    {
        return shared_->engines[state_.engines[rank]];
    }

    void setEngine(Rank rank, const Engine &engine)
    {
        state_.engines[rank] = shared_->engines.idOf(engine);
    }

    RankMachine machine(const Agent &agent) const
    {
        return RankMachine({.group = "g",
                            .rank = agent.rank,
                            .ranks = scenario_->ranks,
                            .incarnation = agent.incarnation,
                            .recordedMap = agent.floor,
                            .engineChecksFence = scenario_->engineChecksFence},
                           agent.state);
    }

    Coordinator machine(const Lease &lease) const
    {
        return Coordinator({.group = "g",
                            .rank = lease.rank,
                            .ranks = scenario_->ranks,
                            .incarnation = lease.incarnation,
                            .epoch = lease.epoch,
                            .map = lease.map,
                            .payload = "m",
                            .margin = scenario_->margin},
                           lease.state);
    }

    EpochCoordinator machine(const EpochLease &lease) const
    {
        std::map<MapNumber, std::string> maps;
        for (MapNumber map = FirstMap; map <= lease.recordedMap; ++map) {
            maps.emplace(map, "m");
        }
        return EpochCoordinator({.group = "g", .rank = lease.rank, .ranks = scenario_->ranks, .incarnation = 1, .epoch = lease.epoch, .maps = maps},
                                lease.state);
    }

    // The effect of an input on a part, by the real code the first time.
    template<typename Work>
    const Effect &effectOf(Input input, std::uint32_t part, std::uint32_t subject, Work work)
    {
        constexpr unsigned InputBits = 4;
        constexpr unsigned PartBits = 28;
        const std::uint64_t key = static_cast<std::uint64_t>(input) | std::uint64_t{part} << InputBits | std::uint64_t{subject} << (InputBits + PartBits);
        const auto found = shared_->effects.find(key);
        if (found != shared_->effects.end()) {
            return found->second;
        }
        return shared_->effects.emplace(key, work()).first->second;
    }

    Effect effect(std::uint32_t next, Rank rank, wire::Incarnation incarnation, const SwitchActions &actions)
    {
        Effect effect{.next = next, .mails = {}, .orders = {}};
        for (const SwitchAction &action : actions) {
            if (const auto *message = std::get_if<wire::SwitchMessage>(&action)) {
                effect.mails.push_back(shared_->mails.idOf(Mail{*message}));
                continue;
            }
            const auto &order = std::get<EngineOrder>(action);
            const bool isBarrier = order.kind == EngineOrderKind::Abort && order.map == 0;
            if (order.kind != EngineOrderKind::ReadBack && !isBarrier) {
                effect.orders.push_back(shared_->orders.idOf(OrderInFlight{rank, incarnation, order}));
            }
        }
        return effect;
    }

    void emit(const Effect &effect)
    {
        for (const std::uint32_t mail : effect.mails) {
            state_.mails.set(mail);
        }
        for (const std::uint32_t order : effect.orders) {
            state_.orders.set(order);
        }
    }

    template<typename Work>
    void changeAgent(Rank rank, Input input, std::uint32_t subject, Work work)
    {
        const Effect &result = effectOf(input, state_.agents[rank], subject, [&] {
            Agent agent = this->agent(rank);
            RankMachine machine = this->machine(agent);
            const SwitchActions actions = work(machine);
            agent.state = machine.state();
            return effect(shared_->agents.idOf(agent), rank, agent.incarnation, actions);
        });
        state_.agents[rank] = result.next;
        emit(result);
    }

    template<typename Work>
    void changeLeases(Rank rank, Input input, std::uint32_t subject, Work work)
    {
        for (std::uint32_t &slot : state_.leases) {
            if (slot == 0 || shared_->leases[slot - 1].rank != rank) {
                continue;
            }
            const Effect &result = effectOf(input, slot, subject, [&] {
                Lease lease = shared_->leases[slot - 1];
                Coordinator machine = this->machine(lease);
                const SwitchActions actions = work(machine);
                lease.state = machine.state();
                return effect(shared_->leases.idOf(lease) + 1, rank, lease.incarnation, actions);
            });
            slot = result.next;
            emit(result);
        }
    }

    template<typename Work>
    void changeEpoch(Rank rank, Input input, std::uint32_t subject, Work work)
    {
        if (state_.epoch == 0 || shared_->epochs[state_.epoch - 1].rank != rank) {
            return;
        }
        const Effect &result = effectOf(input, state_.epoch, subject, [&] {
            EpochLease lease = shared_->epochs[state_.epoch - 1];
            EpochCoordinator machine = this->machine(lease);
            const SwitchActions actions = work(machine);
            lease.state = machine.state();
            return effect(shared_->epochs.idOf(lease) + 1, rank, 0, actions);
        });
        state_.epoch = result.next;
        emit(result);
    }

    void deliver(std::uint32_t mail)
    {
        const auto rank = static_cast<Rank>(shared_->mails[mail].message.toRank);
        const auto receive = [&](auto &machine) { return machine.receive(wire::SwitchMessage(shared_->mails[mail].message)); };
        changeAgent(rank, Input::Message, mail, receive);
        changeLeases(rank, Input::LeaseMessage, mail, receive);
        changeEpoch(rank, Input::EpochMessage, mail, receive);
        noteFencing();
    }

    // The new holder's own rank knows the new number: from then on the old holder's switch must not come about any more,
    // unless this rank had already been told to hold for it.
    void noteFencing()
    {
        if (state_.takeOvers == 0 || state_.restarts > 0) {
            return;
        }
        for (const std::uint32_t slot : state_.leases) {
            if (slot == 0) {
                continue;
            }
            const Lease &lease = shared_->leases[slot - 1];
            const auto &agent = this->agent(lease.rank).state;
            const MapNumber old = lease.map - 1;
            const bool mayHold = agent.ballot.map == old && (agent.ballot.ordered || agent.ballot.outcome != RankMachine::Outcome::Aborted);
            if (agent.highest == lease.map && old > FirstMap && !mayHold && !hasCommitted(old)) {
                state_.fencedMap = std::max(state_.fencedMap, static_cast<std::uint32_t>(old));
            }
        }
    }

    void read(Rank rank)
    {
        raiseFence(rank);
        changeAgent(rank, Input::EngineState, state_.engines[rank], [&](RankMachine &machine) { return machine.onEngineState(engine(rank).state); });
    }

    void capture(Rank rank)
    {
        raiseFence(rank);
        Agent agent = this->agent(rank);
        agent.captured = engine(rank).state;
        setAgent(rank, agent);
    }

    void deliverRead(Rank rank)
    {
        Agent agent = this->agent(rank);
        const EngineState captured = *std::exchange(agent.captured, std::nullopt);
        setAgent(rank, agent);
        Engine carrier;
        carrier.state = captured;
        changeAgent(rank, Input::EngineState, shared_->engines.idOf(carrier), [&](RankMachine &machine) { return machine.onEngineState(captured); });
    }

    // The first order of SwitchRank::start has to succeed before the first read.
    void raiseFence(Rank rank)
    {
        const Agent &agent = this->agent(rank);
        if (scenario_->engineChecksFence && !agent.state.isStarted && engine(rank).fence < agent.incarnation) {
            Engine engine = this->engine(rank);
            engine.fence = agent.incarnation;
            setEngine(rank, engine);
        }
    }

    void tick(Rank rank)
    {
        changeAgent(rank, Input::Tick, 0, [](RankMachine &machine) { return machine.tick(); });
        tickCoordinators(rank);
    }

    void tickCoordinators(Rank rank)
    {
        changeLeases(rank, Input::LeaseTick, 0, [](Coordinator &machine) { return machine.tick(0); });
        changeEpoch(rank, Input::EpochTick, 0, [](EpochCoordinator &machine) { return machine.tick(); });
    }

    void refuse(Rank rank)
    {
        ++state_.refusals;
        Agent agent = this->agent(rank);
        RankMachine machine = this->machine(agent);
        machine.refuse();
        agent.state = machine.state();
        setAgent(rank, agent);
    }

    void execute(std::uint32_t order)
    {
        const Rank rank = shared_->orders[order].rank;
        const Effect &result = effectOf(Input::Order, state_.engines[rank], order, [&] {
            const OrderInFlight inFlight = shared_->orders[order];
            Engine engine = this->engine(rank);
            const bool isOld = scenario_->engineChecksFence && inFlight.fence < engine.fence;
            if (!isOld) {
                engine.fence = scenario_->engineChecksFence ? inFlight.fence : 0;
                executeOrder(engine, inFlight.order);
            }
            return Effect{.next = shared_->engines.idOf(engine), .mails = {}, .orders = {}};
        });
        state_.engines[rank] = result.next;
    }

    static void executeOrder(Engine &engine, const EngineOrder &order)
    {
        EngineState &state = engine.state;
        const bool isLoaded = std::binary_search(state.loaded.begin(), state.loaded.end(), order.map);
        const bool isPrepared = state.prepared && state.prepared->map == order.map;
        switch (order.kind) {
        case EngineOrderKind::Load:
            if (!isLoaded) {
                state.loaded.insert(std::lower_bound(state.loaded.begin(), state.loaded.end(), order.map), order.map);
            }
            break;
        case EngineOrderKind::Prepare:
            if (order.epoch == state.epoch && isLoaded && !state.prepared && order.map > state.map && order.step > state.step) {
                state.prepared = PreparedMap{.map = order.map, .holdStep = order.step};
            }
            break;
        case EngineOrderKind::Commit:
            if (order.epoch == state.epoch && isPrepared) {
                engine.next = std::exchange(state.prepared, std::nullopt);
                state.map = order.map;
                state.isMapPending = true;
            }
            break;
        case EngineOrderKind::Abort:
            if (order.epoch == state.epoch && isPrepared) {
                state.prepared.reset();
            }
            break;
        case EngineOrderKind::Join:
            if (order.epoch > state.epoch) {
                executeOrder(engine, {.kind = EngineOrderKind::Load, .epoch = order.epoch, .map = order.map, .step = 0, .payload = {}});
                state.epoch = order.epoch;
                state.map = order.map;
                state.step = order.step - 1;
                state.prepared.reset();
                state.isMapPending = false;
                engine.next.reset();
                engine.inUse = order.map;
                engine.lastMap = 0;
            }
            break;
        case EngineOrderKind::ReadBack:
            break;
        }
    }

    // Lock-step: a rank begins a step when all ranks of the epoch have got through the one before.
    bool canStep(Rank rank) const
    {
        const EngineState &state = engine(rank).state;
        const Step next = state.step + 1;
        if (state.epoch == 0 || next > scenario_->lastStep || (state.prepared && next >= state.prepared->holdStep)) {
            return false;
        }
        for (Rank other = 0; other < scenario_->ranks; ++other) {
            if (engine(other).state.epoch != state.epoch || engine(other).state.step < state.step) {
                return false;
            }
        }
        return true;
    }

    void step(Rank rank)
    {
        const Effect &result = effectOf(Input::Step, state_.engines[rank], 0, [&] {
            Engine engine = this->engine(rank);
            ++engine.state.step;
            if (engine.next && engine.state.step >= engine.next->holdStep) {
                engine.inUse = engine.next->map;
                engine.next.reset();
                engine.state.isMapPending = false;
            }
            engine.lastMap = engine.inUse;
            return Effect{.next = shared_->engines.idOf(engine), .mails = {}, .orders = {}};
        });
        state_.engines[rank] = result.next;
        checkStep(engine(rank));
    }

    void checkStep(const Engine &stepped)
    {
        for (Rank rank = 0; rank < scenario_->ranks; ++rank) {
            const Engine &other = engine(rank);
            const bool isSameStep = other.state.epoch == stepped.state.epoch && other.state.step == stepped.state.step;
            if (isSameStep && other.lastMap != 0 && other.lastMap != stepped.lastMap) {
                state_.broken = Promise::OneMap;
            }
        }
        if (state_.fencedMap != 0 && stepped.lastMap == state_.fencedMap) {
            state_.broken = Promise::OldLease;
        }
    }

    void restartAgent(Rank rank)
    {
        ++state_.restarts;
        Agent agent{.rank = rank, .incarnation = this->agent(rank).incarnation + 1, .floor = state_.recordedMap, .state = {}, .captured = {}};
        agent.state.highest = agent.floor;
        setAgent(rank, agent);
        dropLeases(rank);
        if (state_.epoch != 0 && shared_->epochs[state_.epoch - 1].rank == rank) {
            state_.epoch = 0;
        }
    }

    void dropLeases(Rank rank)
    {
        for (std::uint32_t &slot : state_.leases) {
            if (slot != 0 && shared_->leases[slot - 1].rank == rank) {
                slot = 0;
            }
        }
    }

    void takeOver(Rank rank)
    {
        ++state_.recordedMap;
        dropLeases(rank);
        Lease lease{.rank = rank, .incarnation = agent(rank).incarnation, .epoch = state_.recordedEpoch, .map = state_.recordedMap, .state = {}};
        lease.state.members.resize(scenario_->ranks);
        const auto free = std::find(state_.leases.begin(), state_.leases.end(), 0U);
        // With all slots taken the oldest holder is one that nothing happens to any more.
        (free == state_.leases.end() ? state_.leases.front() : *free) = shared_->leases.idOf(lease) + 1;
        tickCoordinators(rank);
    }

    void startVoting()
    {
        state_.mails.reset();
        Lease lease = shared_->leases[state_.leases[0] - 1];
        lease.state.phase = Coordinator::Phase::Voting;
        lease.state.holdStep = scenario_->margin;
        for (auto &member : lease.state.members) {
            member.isReady = true;
            member.incarnation = 1;
        }
        state_.leases[0] = shared_->leases.idOf(lease) + 1;
        tickCoordinators(lease.rank);
    }

    void beginEpoch()
    {
        ++state_.beginsOfEpochs;
        ++state_.recordedEpoch;
        EpochLease lease{.rank = 0, .epoch = state_.recordedEpoch, .recordedMap = state_.recordedMap, .state = {}};
        lease.state.members.resize(scenario_->ranks);
        state_.epoch = shared_->epochs.idOf(lease) + 1;
        tickCoordinators(0);
    }

    void playRound()
    {
        const Set mails = std::exchange(state_.mails, Set());
        forEach(mails, [this](std::uint32_t mail) { deliver(mail); });
        const Set orders = std::exchange(state_.orders, Set());
        forEach(orders, [this](std::uint32_t order) { execute(order); });
        for (Rank rank = 0; rank < scenario_->ranks; ++rank) {
            read(rank);
            tick(rank);
        }
        for (Rank rank = 0; rank < scenario_->ranks; ++rank) {
            if (canStep(rank)) {
                step(rank);
            }
        }
    }

    bool isRankGone() const
    {
        for (Rank rank = 0; rank < scenario_->ranks && state_.epoch == 0; ++rank) {
            if (engine(rank).state.epoch != state_.recordedEpoch) {
                return true;
            }
        }
        return false;
    }

    Step slowestStep() const
    {
        Step slowest = engine(0).state.step;
        for (Rank rank = 0; rank < scenario_->ranks; ++rank) {
            slowest = std::min(slowest, engine(rank).state.step);
        }
        return slowest;
    }

    bool isQuiet() const
    {
        for (Rank rank = 0; rank < scenario_->ranks; ++rank) {
            if (engine(rank).state.prepared) {
                return false;
            }
        }
        return true;
    }

    const Scenario *scenario_;
    Shared *shared_;
    State state_;
};

} // namespace magnolia::experts::testing

#endif
