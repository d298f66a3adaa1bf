#ifndef MAGNOLIA_EXPERTS_TESTS_SWITCHCHECKER_H
#define MAGNOLIA_EXPERTS_TESTS_SWITCHCHECKER_H

#include "switchworld.h"

#include "base/random.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace magnolia::experts::testing
{

/** What an exhaustive search found. */
struct Findings {
    std::size_t states = 0;
    std::size_t settled = 0; ///< States from which the end was played out.
    std::size_t committed = 0; ///< States in which some engine uses the new map.
    bool isComplete = true; ///< No state left out for the limit.
    std::string broken; ///< The first promise found broken; empty if none.
    std::vector<std::string> trace; ///< The shortest way there.
};

struct SearchLimits {
    std::size_t maxStates = 20'000'000;
    std::size_t settleEach = 1; ///< The end is played out from one state in so many, drawn by hash.
};

struct HashOfPair {
    std::size_t operator()(const std::pair<std::uint64_t, std::uint64_t> &pair) const
    {
        return pair.first ^ pair.second;
    }
};

template<typename Shared>
std::string describe(const Event &event, const Shared &shared)
{
    const auto subject = std::to_string(event.subject);
    switch (event.kind) {
    case EventKind::Deliver: {
        const wire::SwitchMessage &message = shared.mails[event.subject].message;
        return "deliver kind " + std::to_string(message.kind) + " map " + std::to_string(message.map) + " epoch " + std::to_string(message.epoch) + " step "
            + std::to_string(message.step) + " from " + std::to_string(message.fromRank) + " to " + std::to_string(message.toRank) + " incarnation "
            + std::to_string(message.toIncarnation);
    }
    case EventKind::Execute: {
        const OrderInFlight &inFlight = shared.orders[event.subject];
        return "engine " + std::to_string(inFlight.rank) + " executes order kind " + std::to_string(static_cast<int>(inFlight.order.kind)) + " map "
            + std::to_string(inFlight.order.map) + " of incarnation " + std::to_string(inFlight.fence);
    }
    case EventKind::Read:
        return "agent " + subject + " reads its engine's state";
    case EventKind::DeliverRead:
        return "agent " + subject + " gets the state it read";
    case EventKind::Tick:
        return "agent " + subject + " ticks";
    case EventKind::Step:
        return "engine " + subject + " begins a step";
    case EventKind::RestartAgent:
        return "agent " + subject + " restarts";
    case EventKind::Refuse:
        return "agent " + subject + " begins to refuse";
    case EventKind::TakeOver:
        return "agent " + subject + " takes the lease over";
    case EventKind::RestartEngine:
        return "engine " + subject + " restarts";
    case EventKind::BeginEpoch:
        return "a new epoch begins";
    }
    return {};
}

/** Visits every state that the scenario allows, nearest first. States are told apart by a hash of 128 bits. */
template<typename Rules>
Findings search(const Scenario &scenario, const SearchLimits &limits)
{
    using World = SwitchWorld<Rules>;
    struct Node {
        std::size_t parent = 0;
        Event event;
    };
    typename World::Shared shared;
    Findings findings;
    std::vector<Node> nodes;
    std::unordered_set<std::pair<std::uint64_t, std::uint64_t>, HashOfPair> seen;
    std::deque<std::pair<std::size_t, World>> frontier;

    const auto visit = [&](World &&world, std::size_t parent, const Event &event) {
        const auto hash = world.hash();
        if (!seen.insert(hash).second) {
            return;
        }
        nodes.push_back({parent, event});
        ++findings.states;
        findings.committed += world.hasCommitted(2) ? 1 : 0;
        if (world.broken().empty() && hash.second % limits.settleEach == 0) {
            ++findings.settled;
            findings.broken = world.settle(true, true);
            if (findings.broken.empty()) {
                findings.broken = world.settle(false, false);
            }
        }
        if (!world.broken().empty()) {
            findings.broken = world.broken();
        }
        frontier.emplace_back(nodes.size() - 1, std::move(world));
    };

    visit(World(scenario, shared), 0, {});
    while (!frontier.empty() && findings.broken.empty()) {
        const auto [index, world] = std::move(frontier.front());
        frontier.pop_front();
        for (const Event &event : world.events()) {
            World next = world;
            next.happen(event);
            visit(std::move(next), index, event);
            if (!findings.broken.empty()) {
                break;
            }
        }
        if (findings.states > limits.maxStates) {
            findings.isComplete = false;
            break;
        }
    }
    if (!findings.broken.empty()) {
        for (std::size_t index = nodes.size() - 1; index != 0; index = nodes[index].parent) {
            findings.trace.push_back(describe(nodes[index].event, shared));
        }
        std::reverse(findings.trace.begin(), findings.trace.end());
    }
    return findings;
}

/** What a run of random events came to. */
struct RandomRun {
    std::size_t commits = 0; ///< Further maps that came into use.
    std::string broken; ///< The promise found broken; empty if none.
};

/** Picks a kind of event by weight, then one of that kind evenly. */
inline Event pickEvent(const std::vector<Event> &events, Random &random)
{
    constexpr std::array<unsigned, 11> Weights = {40, 18, 18, 6, 6, 10, 1, 1, 1, 1, 4}; // by EventKind
    std::array<std::vector<Event>, Weights.size()> byKind;
    unsigned total = 0;
    for (const Event &event : events) {
        auto &sameKind = byKind[static_cast<std::size_t>(event.kind)];
        total += sameKind.empty() ? Weights[static_cast<std::size_t>(event.kind)] : 0;
        sameKind.push_back(event);
    }
    auto draw = static_cast<unsigned>(random(total));
    for (std::size_t kind = 0; kind < Weights.size(); ++kind) {
        if (byKind[kind].empty()) {
            continue;
        }
        if (draw < Weights[kind]) {
            return byKind[kind][random(byKind[kind].size())];
        }
        draw -= Weights[kind];
    }
    return events.front();
}

/** Lets random events happen, then plays the end out in each way. */
template<typename Rules>
RandomRun runRandomly(const Scenario &scenario, std::uint64_t seed, int events)
{
    constexpr std::size_t Capacity = 8192;
    using World = SwitchWorld<Rules, Capacity>;
    typename World::Shared shared;
    Random random(seed);
    World world(scenario, shared);
    RandomRun run;
    for (int count = 0; count < events && world.broken().empty(); ++count) {
        const Event event = pickEvent(world.events(), random);
        constexpr unsigned Copies = 4;
        if (random(Copies) != 0) {
            world.forget(event);
        }
        world.happen(event);
    }
    for (MapNumber map = 2; world.hasCommitted(map) || map <= static_cast<MapNumber>(scenario.coordinators) + 2; ++map) {
        run.commits += world.hasCommitted(map) ? 1 : 0;
    }
    run.broken = world.broken();
    for (const bool isOldMailLost : {true, false}) {
        for (const bool areCoordinatorsGone : {true, false}) {
            if (run.broken.empty()) {
                run.broken = world.settle(isOldMailLost, areCoordinatorsGone);
            }
        }
    }
    return run;
}

} // namespace magnolia::experts::testing

#endif
