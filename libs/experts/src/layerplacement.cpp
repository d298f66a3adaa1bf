#include "layerplacement.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace magnolia::experts
{

namespace
{

// Extra replicas are tried on so many of the fastest ranks only; the others would not gain more, and a decision at
// 128 ranks has to stay well under 10 ms.
constexpr std::size_t FastRanksTried = 4;
// A gain below this is rounding, and following it would never end.
constexpr double SmallestGain = 1e-9;

template<typename T>
void eraseValue(std::vector<T> &values, T value)
{
    values.erase(std::find(values.begin(), values.end(), value));
}

} // namespace

LayerPlacement::LayerPlacement(const ExpertMap &map, Layer layer, const Demand &demand, const Placement::Options &options)
    : layer_(layer)
    , options_(options)
    , shares_(demand.shares[layer])
    , speeds_(demand.speeds)
    , holders_(map.shape().experts)
    , held_(map.shape().ranks)
    , work_(map.shape().ranks, 0.0)
    , delta_(map.shape().ranks, 0.0)
    , isTouched_(map.shape().ranks, false)
{
    for (Expert expert = 0; expert < map.shape().experts; ++expert) {
        const auto replicas = map.replicas(layer, expert);
        holders_[expert].assign(replicas.begin(), replicas.end());
        for (const Rank rank : replicas) {
            held_[rank].push_back(expert);
            work_[rank] += shares_[expert] / static_cast<double>(replicas.size());
        }
    }
    meanTime_ = mean();
}

Layer LayerPlacement::layer() const
{
    return layer_;
}

double LayerPlacement::slowest() const
{
    double time = 0;
    for (std::size_t rank = 0; rank < work_.size(); ++rank) {
        time = std::max(time, work_[rank] / speeds_[rank]);
    }
    return time;
}

double LayerPlacement::mean() const
{
    double time = 0;
    for (std::size_t rank = 0; rank < work_.size(); ++rank) {
        time += work_[rank] / speeds_[rank];
    }
    return time / static_cast<double>(work_.size());
}

std::optional<PlacementChange> LayerPlacement::bestChange(std::size_t maxMoves)
{
    best_ = {};
    Rank slowest = 0;
    for (std::size_t rank = 0; rank < work_.size(); ++rank) {
        if (work_[rank] / speeds_[rank] > work_[slowest] / speeds_[slowest]) {
            slowest = static_cast<Rank>(rank);
        }
    }
    const auto fastest = fastestRanks(FastRanksTried);
    for (const Expert hot : held_[slowest]) {
        considerExtraReplica(hot, fastest, maxMoves);
        considerReplacement(slowest, hot);
        considerSwaps(slowest, hot, maxMoves);
    }
    if (best_.edits.empty()) {
        return std::nullopt;
    }
    return best_;
}

void LayerPlacement::apply(const PlacementChange &change)
{
    evaluate(change.edits);
    for (const Rank rank : touched_) {
        work_[rank] += delta_[rank];
    }
    for (const ReplicaEdit &edit : change.edits) {
        if (edit.added) {
            holders_[edit.expert].push_back(edit.rank);
            held_[edit.rank].push_back(edit.expert);
        } else {
            eraseValue(holders_[edit.expert], edit.rank);
            eraseValue(held_[edit.rank], edit.expert);
        }
    }
}

// A fast rank takes a further replica of the hot expert, in a free slot or in place of one that others hold too.
void LayerPlacement::considerExtraReplica(Expert hot, std::span<const Rank> fastest, std::size_t maxMoves)
{
    if (maxMoves < 1) {
        return;
    }
    for (const Rank rank : fastest) {
        if (holds(hot, rank)) {
            continue;
        }
        if (held_[rank].size() < options_.slotsPerRank) {
            consider(std::array{ReplicaEdit{.expert = hot, .rank = rank, .added = true}});
        }
        for (const Expert cold : held_[rank]) {
            if (mayDrop(cold)) {
                consider(std::array{ReplicaEdit{.expert = cold, .rank = rank, .added = false}, ReplicaEdit{.expert = hot, .rank = rank, .added = true}});
            }
        }
    }
}

// The slowest rank gives its replica of the hot expert up for one of another expert.
void LayerPlacement::considerReplacement(Rank slowest, Expert hot)
{
    if (!mayDrop(hot)) {
        return;
    }
    const ReplicaEdit drop{.expert = hot, .rank = slowest, .added = false};
    consider(std::array{drop});
    const auto experts = static_cast<Expert>(holders_.size());
    for (Expert other = 0; other < experts; ++other) {
        if (!holds(other, slowest)) {
            consider(std::array{drop, ReplicaEdit{.expert = other, .rank = slowest, .added = true}});
        }
    }
}

// The slowest rank and another one swap a replica each; replica counts stay as they are.
void LayerPlacement::considerSwaps(Rank slowest, Expert hot, std::size_t maxMoves)
{
    if (maxMoves < 2) {
        return;
    }
    const auto ranks = static_cast<Rank>(held_.size());
    for (Rank rank = 0; rank < ranks; ++rank) {
        if (rank == slowest || holds(hot, rank)) {
            continue;
        }
        for (const Expert cold : held_[rank]) {
            const double hotWork = shares_[hot] / static_cast<double>(holders_[hot].size());
            const double coldWork = shares_[cold] / static_cast<double>(holders_[cold].size());
            if (coldWork >= hotWork || holds(cold, slowest)) {
                continue;
            }
            const double before = penalty(slowest, work_[slowest]) + penalty(rank, work_[rank]);
            const double after = penalty(slowest, work_[slowest] - hotWork + coldWork) + penalty(rank, work_[rank] + hotWork - coldWork);
            const double gain = before - after;
            if (gain / 2 > SmallestGain && (best_.edits.empty() || gain / 2 > best_.gain / static_cast<double>(best_.moves))) {
                best_ = {.edits = {{.expert = hot, .rank = slowest, .added = false},
                                   {.expert = cold, .rank = rank, .added = false},
                                   {.expert = cold, .rank = slowest, .added = true},
                                   {.expert = hot, .rank = rank, .added = true}},
                         .moves = 2,
                         .gain = gain};
            }
        }
    }
}

void LayerPlacement::consider(std::span<const ReplicaEdit> edits)
{
    const double gain = evaluate(edits);
    if (gain <= SmallestGain) {
        return;
    }
    // A change that only drops a replica loads nothing; it is counted as one move, so that it has no endless lead.
    const std::size_t moves = 1;
    if (best_.edits.empty() || gain / static_cast<double>(moves) > best_.gain / static_cast<double>(best_.moves)) {
        best_ = {.edits = {edits.begin(), edits.end()}, .moves = moves, .gain = gain};
    }
}

// Leaves the change of each rank's work in delta_ and touched_.
double LayerPlacement::evaluate(std::span<const ReplicaEdit> edits)
{
    for (const Rank rank : touched_) {
        delta_[rank] = 0;
        isTouched_[rank] = false;
    }
    touched_.clear();
    const bool isSwapped = edits.size() > 2;
    for (const ReplicaEdit &edit : edits) {
        const auto count = static_cast<double>(holders_[edit.expert].size());
        const double share = shares_[edit.expert];
        if (isSwapped) {
            // Both experts keep their number of replicas.
            addDelta(edit.rank, edit.added ? share / count : -share / count);
            continue;
        }
        const double newCount = edit.added ? count + 1 : count - 1;
        const double perHolder = share / newCount - share / count;
        for (const Rank rank : holders_[edit.expert]) {
            addDelta(rank, edit.added || rank != edit.rank ? perHolder : -share / count);
        }
        if (edit.added) {
            addDelta(edit.rank, share / newCount);
        }
    }
    double gain = 0;
    for (const Rank rank : touched_) {
        gain += penalty(rank, work_[rank]) - penalty(rank, work_[rank] + delta_[rank]);
    }
    return gain;
}

void LayerPlacement::addDelta(Rank rank, double work)
{
    if (!isTouched_[rank]) {
        isTouched_[rank] = true;
        touched_.push_back(rank);
    }
    delta_[rank] += work;
}

bool LayerPlacement::holds(Expert expert, Rank rank) const
{
    const auto &held = held_[rank];
    return std::find(held.begin(), held.end(), expert) != held.end();
}

bool LayerPlacement::mayDrop(Expert expert) const
{
    const std::size_t fair = std::max<std::size_t>(1, options_.slotsPerRank * held_.size() / holders_.size());
    return holders_[expert].size() > std::min<std::size_t>(options_.minReplicas, fair);
}

double LayerPlacement::penalty(Rank rank, double work) const
{
    const double relative = work / speeds_[rank] / meanTime_;
    const double second = relative * relative;
    const double fourth = second * second;
    const double eighth = fourth * fourth;
    return eighth * eighth;
}

std::vector<Rank> LayerPlacement::fastestRanks(std::size_t count) const
{
    std::vector<Rank> ranks(work_.size());
    std::iota(ranks.begin(), ranks.end(), Rank{0});
    count = std::min(count, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count), ranks.end(), [this](Rank left, Rank right) {
        return work_[left] / speeds_[left] < work_[right] / speeds_[right];
    });
    ranks.resize(count);
    return ranks;
}

} // namespace magnolia::experts
