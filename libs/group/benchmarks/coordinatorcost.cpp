// Measures the cost of one map switch and of one rank report for a coordinator, by group size: the processor time of each part, and the bytes sent to one
// agent.
#include "group/replicaplanner.h"
#include "mapcodec.h"
#include "mapencoder.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

namespace
{

using namespace magnolia::group;

constexpr int Rounds = 20;

struct Shape {
    std::size_t ranks = 0;
    std::size_t sets = 0;
    std::size_t experts = 96; ///< Number of experts in each set.
    std::size_t expertSlots = 0; ///< Experts that a rank can hold in each set.
    std::size_t copiesPerRank = 1; ///< Copies in one map switch.
};

/** The map that a group forms with: experts are assigned round-robin. */
ExpertMap firstMap(const Shape &shape)
{
    ExpertMap map(shape.sets, std::vector<std::vector<std::uint16_t>>(shape.ranks));
    for (auto &set : map) {
        for (std::size_t expert = 0; expert < shape.experts; ++expert) {
            set[expert % shape.ranks].push_back(static_cast<std::uint16_t>(expert));
        }
    }
    return map;
}

/** Zipf-like demand: the share of an expert falls with its position in an order that differs by set. */
std::vector<std::vector<double>> demandOf(const Shape &shape)
{
    std::vector<std::vector<double>> demand(shape.sets, std::vector<double>(shape.experts));
    for (std::size_t set = 0; set < shape.sets; ++set) {
        double total = 0;
        for (std::size_t place = 0; place < shape.experts; ++place) {
            const std::size_t expert = (place * 29 + set * 13) % shape.experts;
            demand[set][expert] = 1 / std::pow(static_cast<double>(place + 1), 0.9);
            total += demand[set][expert];
        }
        for (double &share : demand[set]) {
            share /= total;
        }
    }
    return demand;
}

template<typename F>
double microsecondsOf(F work)
{
    using Clock = std::chrono::steady_clock;
    double best = 0;
    for (int round = 0; round < Rounds; ++round) {
        const auto start = Clock::now();
        work();
        const std::chrono::duration<double, std::micro> spent = Clock::now() - start;
        best = round == 0 ? spent.count() : std::min(best, spent.count());
    }
    return best;
}

void measure(const Shape &shape)
{
    const std::string name = std::to_string(shape.ranks) + "_ranks_" + std::to_string(shape.sets) + "_sets_" + std::to_string(shape.experts) + "_experts";
    const ExpertMap map = firstMap(shape);
    const auto demand = demandOf(shape);
    const ReplicaPlanner planner({.maxExpertsPerRank = shape.expertSlots, .maxCopiesPerSet = 2, .maxCopiesPerRank = shape.copiesPerRank, .minGain = 0.01});
    const auto plan = planner.plan(map, demand);
    if (!plan) {
        std::abort();
    }
    MapEncoder encoder;
    encoder.setBase(1, map);
    const MapEncoder::Encoding encoding = encoder.encode({.kind = RankOrderKind::Prepare, .version = 2, .map = plan->map}, 1);
    const std::vector<std::uint64_t> counts(shape.sets * shape.experts, 300);
    const std::string encoded = encodeCounts(counts);
    std::printf("RESULT coordinator_plan_%s %.0f us\n", name.c_str(), microsecondsOf([&] { (void)planner.plan(map, demand); }));
    std::printf("RESULT coordinator_look_%s %.0f us\n", name.c_str(), microsecondsOf([&] { (void)ReplicaPlanner::load(map, demand); }));
    std::printf("RESULT coordinator_counts_%s %.0f us\n", name.c_str(), microsecondsOf([&] { (void)decodeCounts(encoded); }));
    std::printf("RESULT coordinator_whole_map_%s %zu bytes\n", name.c_str(), encodeMap(plan->map).size());
    std::printf("RESULT coordinator_change_of_map_%s %zu bytes\n", name.c_str(), encoding.map.size());
}

} // namespace

int main()
{
    measure({.ranks = 12, .sets = 3, .expertSlots = 11});
    measure({.ranks = 24, .sets = 16, .expertSlots = 5});
    measure({.ranks = 48, .sets = 32, .expertSlots = 4});
    for (const std::size_t ranks : {24U, 64U, 128U}) {
        measure({.ranks = ranks, .sets = 12, .experts = 256, .expertSlots = std::max<std::size_t>(5, 320 / ranks), .copiesPerRank = 2});
    }
}
