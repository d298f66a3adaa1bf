#include "experts/popularity.h"
#include "experts/rankspeed.h"
#include "experts/rebalancedecision.h"
#include "experts/skew.h"

#include "base/random.h"

#include <getopt.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <numeric>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Step-time skew against the cost of rebalancing, for the ways to place experts, over generated popularity. Each way sees
// only decayed averages of the past; skew is taken from the popularity and the speeds that then come.

namespace
{

using namespace magnolia;
using namespace magnolia::experts;
using namespace std::chrono_literals;

constexpr double BytesPerExpert = 50e6; // one replica in one layer
constexpr Duration Interval = 1s; // between two observations and decisions
constexpr Duration Stall = 20ms; // a switch holds the group's steps so long, about the round trips of its vote

struct Group {
    std::string_view name;
    ExpertMap::Shape shape;
    std::uint32_t slotsPerRank = 0;
};

/** What happens to popularity and speeds. */
struct Workload {
    std::string_view name;
    bool hasSeasonStart = false;
    bool hasStraggler = false;
};

/** Popularity by Zipf's law whose order of experts drifts, and turns over at once when the season starts. */
class Demands
{
public:
    Demands(const Group &group, const Workload &workload, int seconds, std::uint64_t seed)
        : workload_(workload), seconds_(seconds), random_(seed), speeds(group.shape.ranks, 1.0), levels_(group.shape.experts)
    {
        std::vector<std::size_t> order(group.shape.experts);
        std::iota(order.begin(), order.end(), 0U);
        std::shuffle(order.begin(), order.end(), random_);
        for (std::size_t expert = 0; expert < levels_.size(); ++expert) {
            levels_[expert] = -ZipfExponent * std::log(static_cast<double>(order[expert] + 1));
        }
        home_ = levels_;
        advance(0);
    }

    void advance(int second)
    {
        if (workload_.hasSeasonStart && second == seconds_ / 2) {
            std::shuffle(home_.begin(), home_.end(), random_);
            levels_ = home_;
        }
        const bool isSlow = workload_.hasStraggler && second >= seconds_ / 4 && second < seconds_ * 3 / 4;
        speeds.front() = isSlow ? StragglerSpeed : 1.0;
        std::normal_distribution<double> drift(0, DriftPerSecond);
        double total = 0;
        shares.resize(levels_.size());
        for (std::size_t expert = 0; expert < levels_.size(); ++expert) {
            // Drifts off, and is drawn back slowly, so that the shape of the popularity stays what it is.
            levels_[expert] += drift(random_) + Return * (home_[expert] - levels_[expert]);
            shares[expert] = std::exp(levels_[expert]);
            total += shares[expert];
        }
        for (double &share : shares) {
            share /= total;
        }
    }

private:
    static constexpr double ZipfExponent = 0.8;
    static constexpr double DriftPerSecond = 0.02;
    static constexpr double Return = 0.0005;
    static constexpr double StragglerSpeed = 0.7;

    Workload workload_;
    int seconds_;
    Random random_;

public:
    std::vector<double> shares;
    std::vector<double> speeds;

private:
    std::vector<double> levels_; // logarithms of popularity
    std::vector<double> home_;
};

/** What a way of placing came to. */
struct Tally {
    double meanSkew = 0;
    double p95Skew = 0;
    double gigabytes = 0;
    int switches = 0;
    double heldSeconds = 0;
};

/** Gives the next map, or the current one to leave things as they are. */
using Policy = std::function<ExpertMap(MonoTime now, const ExpertMap &current, const Demand &seen)>;

Tally play(const Group &group, const Workload &workload, int seconds, std::uint64_t seed, const Policy &policy)
{
    Demands demands(group, workload, seconds, seed);
    Popularity popularity({.layers = 1, .experts = group.shape.experts, .halfLife = 5s});
    RankSpeed rankSpeed({.ranks = group.shape.ranks, .halfLife = 5s});
    ExpertMap map = ExpertMap::roundRobin(group.shape, group.slotsPerRank);
    Tally tally;
    std::vector<double> skews;
    for (int second = 0; second < seconds; ++second) {
        demands.advance(second);
        const Demand actual{.shares = {demands.shares}, .speeds = demands.speeds};
        skews.push_back(predictedSkew(map, actual));
        popularity.observe(0, demands.shares, Interval);
        for (Rank rank = 0; rank < group.shape.ranks; ++rank) {
            rankSpeed.observe(rank, 1e6 * demands.speeds[rank], Interval, Interval);
        }
        const Demand seen{.shares = {popularity.shares(0)}, .speeds = rankSpeed.speeds()};
        ExpertMap next = policy(MonoTime{} + second * Interval, map, seen);
        if (next == map) {
            continue;
        }
        ++tally.switches;
        tally.gigabytes += static_cast<double>(next.replicasMissingFrom(map)) * BytesPerExpert / 1e9;
        tally.heldSeconds += std::chrono::duration<double>(Stall).count();
        map = std::move(next);
    }
    tally.meanSkew = std::accumulate(skews.begin(), skews.end(), 0.0) / static_cast<double>(skews.size());
    std::sort(skews.begin(), skews.end());
    tally.p95Skew = skews[skews.size() * 95 / 100];
    return tally;
}

Policy staticMap()
{
    return [](MonoTime, const ExpertMap &current, const Demand &) { return current; };
}

// Packs afresh every ten seconds.
Policy fullRepack(const Group &group)
{
    return [group](MonoTime now, const ExpertMap &current, const Demand &seen) {
        const bool isDue = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count() % 10 == 0;
        return isDue ? Placement({.slotsPerRank = group.slotsPerRank}).pack(group.shape, seen) : current;
    };
}

// Takes each improvement, whatever it moves, as often as our way may.
Policy greedy(const Group &group)
{
    return [group, last = MonoTime{} - 5s](MonoTime now, const ExpertMap &current, const Demand &seen) mutable {
        if (now - last < 5s) {
            return current;
        }
        const auto steps = Placement({.slotsPerRank = group.slotsPerRank}).improve(current, seen, 64);
        if (steps.empty()) {
            return current;
        }
        last = now;
        return steps.back().map;
    };
}

Policy ours(const Group &group, double skewWeight, double rebalanceWeight)
{
    const RebalanceDecision::Options options{
        .skewWeight = skewWeight,
        .rebalanceWeight = rebalanceWeight,
        .bytesPerExpert = BytesPerExpert,
        .slotsPerRank = group.slotsPerRank,
        .stall = Stall,
    };
    return [decision = RebalanceDecision(options)](MonoTime now, const ExpertMap &current, const Demand &seen) mutable {
        const auto plan = decision.decide(now, current, seen);
        if (!plan) {
            return current;
        }
        decision.noteSwitch(now);
        return plan->map;
    };
}

void printRow(std::string_view way, const Tally &tally)
{
    std::printf("| %-22.*s | %.4f | %.4f | %9.2f | %5d | %7.2f |\n",
                static_cast<int>(way.size()),
                way.data(),
                tally.meanSkew,
                tally.p95Skew,
                tally.gigabytes,
                tally.switches,
                tally.heldSeconds);
}

void printResult(const std::string &name, double value, std::string_view unit, double baseline, double goal)
{
    std::printf(
        "RESULT %s %.4f %.*s %.4f %.4f %s\n", name.c_str(), value, static_cast<int>(unit.size()), unit.data(), baseline, goal, value <= goal ? "met" : "short");
}

constexpr double KarooSkewWeight = 4;
constexpr double KarooRebalanceWeight = 1;
constexpr double FlueSkewWeight = 1;
constexpr double FlueRebalanceWeight = 2;

void compare(const Group &group, const Workload &workload, int seconds, std::uint64_t seed)
{
    std::printf("\n%.*s, %.*s, %d s\n\n",
                static_cast<int>(group.name.size()),
                group.name.data(),
                static_cast<int>(workload.name.size()),
                workload.name.data(),
                seconds);
    std::printf("| way                    | mean   | p95    | gigabytes | moved | held s  |\n|---|---|---|---|---|---|\n");
    const auto run = [&](std::string_view way, const Policy &policy) {
        const Tally tally = play(group, workload, seconds, seed, policy);
        printRow(way, tally);
        return tally;
    };
    run("static map", staticMap());
    const Tally full = run("full repack", fullRepack(group));
    run("greedy, cost ignored", greedy(group));
    const Tally karoo = run("ours, Karoo", ours(group, KarooSkewWeight, KarooRebalanceWeight));
    const Tally flue = run("ours, Flue Commons", ours(group, FlueSkewWeight, FlueRebalanceWeight));
    for (const auto &[name, tally] : {std::pair{"karoo", karoo}, std::pair{"flue", flue}}) {
        const std::string prefix = "experts." + std::string(group.name) + "." + std::string(workload.name) + "." + name;
        printResult(prefix + ".skew", tally.meanSkew, "ratio", full.meanSkew, full.meanSkew * 1.05);
        printResult(prefix + ".moved", tally.gigabytes, "GB", full.gigabytes, full.gigabytes / 5);
    }
}

// Mean skew against bytes, as the weight of skew grows.
void printCurve(const Group &group, const Workload &workload, int seconds, std::uint64_t seed)
{
    std::printf("\ncurve, %.*s, %.*s: rebalance weight 1, skew weight as given\n\n",
                static_cast<int>(group.name.size()),
                group.name.data(),
                static_cast<int>(workload.name.size()),
                workload.name.data());
    std::printf("| skew weight            | mean   | p95    | gigabytes | moved | held s  |\n|---|---|---|---|---|---|\n");
    for (const double weight : {0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0}) {
        printRow(std::to_string(weight).substr(0, 5), play(group, workload, seconds, seed, ours(group, weight, 1)));
    }
}

// Time of the slowest of a few decisions, each on a map that was good for another popularity.
void timeDecision(const Group &group)
{
    using Clock = std::chrono::steady_clock;
    constexpr int Trials = 21;
    std::vector<double> milliseconds;
    for (int trial = 0; trial < Trials; ++trial) {
        Demands before(group, {.name = "before"}, 1, 2 * static_cast<std::uint64_t>(trial) + 1);
        Demands after(group, {.name = "after"}, 1, 2 * static_cast<std::uint64_t>(trial) + 2);
        const ExpertMap map = Placement({.slotsPerRank = group.slotsPerRank}).pack(group.shape, {.shares = {before.shares}, .speeds = before.speeds});
        const RebalanceDecision decision({.skewWeight = 30, .bytesPerExpert = BytesPerExpert, .slotsPerRank = group.slotsPerRank});
        const auto start = Clock::now();
        const auto plan = decision.decide(MonoTime{}, map, {.shares = {after.shares}, .speeds = after.speeds});
        milliseconds.push_back(std::chrono::duration<double, std::milli>(Clock::now() - start).count());
        if (!plan) {
            std::printf("no plan in trial %d\n", trial);
        }
    }
    std::sort(milliseconds.begin(), milliseconds.end());
    const std::string prefix = "experts." + std::string(group.name) + ".decision";
    std::printf("\n");
    printResult(prefix + ".median", milliseconds[Trials / 2], "ms", milliseconds.front(), 10);
    printResult(prefix + ".slowest", milliseconds.back(), "ms", milliseconds.front(), 10);
}

} // namespace

int main(int argc, char **argv)
{
    int seconds = 1800;
    std::uint64_t seed = 1;
    const option options[] = {{"quick", no_argument, nullptr, 'q'}, {"seed", required_argument, nullptr, 's'}, {nullptr, 0, nullptr, 0}};
    for (int choice = 0; (choice = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (choice == 'q') {
            seconds = 240;
        } else if (choice == 's') {
            seed = std::strtoull(optarg, nullptr, 10);
        } else {
            std::fprintf(stderr, "usage: rebalancebenchmark [--quick] [--seed N]\n");
            return EXIT_FAILURE;
        }
    }
    const Group today{.name = "12x64", .shape = {.ranks = 12, .layers = 1, .experts = 64}, .slotsPerRank = 16};
    const Group target{.name = "128x64", .shape = {.ranks = 128, .layers = 1, .experts = 64}, .slotsPerRank = 4};
    const Workload drift{.name = "drift"};
    const Workload season{.name = "season", .hasSeasonStart = true};
    const Workload straggler{.name = "straggler", .hasStraggler = true};
    for (const Group &group : {today, target}) {
        for (const Workload &workload : {drift, season, straggler}) {
            compare(group, workload, seconds, seed);
        }
        printCurve(group, drift, seconds, seed);
        timeDecision(group);
    }
    return EXIT_SUCCESS;
}
