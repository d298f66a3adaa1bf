#include "experts/placement.h"

#include "layerplacement.h"

#include <algorithm>
#include <optional>
#include <queue>

namespace magnolia::experts
{

namespace
{

/** A replica to be placed, with the work that it brings. */
struct Item {
    Expert expert = 0;
    double work = 0;
};

std::vector<std::size_t> replicaCounts(std::span<const double> shares, std::size_t ranks, std::size_t slots, std::size_t minReplicas)
{
    const std::size_t floor = std::min(std::min(minReplicas, ranks), std::max<std::size_t>(1, slots / shares.size()));
    std::vector<std::size_t> counts(shares.size(), floor);
    const auto work = [&](std::size_t expert) { return shares[expert] / static_cast<double>(counts[expert]); };
    using Entry = std::pair<double, std::size_t>;
    std::priority_queue<Entry> heaviest;
    for (std::size_t expert = 0; expert < shares.size(); ++expert) {
        heaviest.emplace(work(expert), expert);
    }
    std::size_t used = floor * shares.size();
    while (used < slots && !heaviest.empty()) {
        const std::size_t expert = heaviest.top().second;
        heaviest.pop();
        if (counts[expert] == ranks) {
            continue;
        }
        ++counts[expert];
        ++used;
        heaviest.emplace(work(expert), expert);
    }
    return counts;
}

std::vector<Item> sortedItems(std::span<const double> shares, const std::vector<std::size_t> &counts)
{
    std::vector<Item> items;
    for (std::size_t expert = 0; expert < shares.size(); ++expert) {
        for (std::size_t replica = 0; replica < counts[expert]; ++replica) {
            items.push_back({.expert = static_cast<Expert>(expert), .work = shares[expert] / static_cast<double>(counts[expert])});
        }
    }
    std::stable_sort(items.begin(), items.end(), [](const Item &left, const Item &right) { return left.work > right.work; });
    return items;
}

/** A layer while it is packed: longest processing time first, each item to the rank that would have it done soonest. */
class LayerPacking
{
public:
    LayerPacking(ExpertMap &map, Layer layer, std::span<const double> speeds, std::uint32_t slotsPerRank)
        : map_(map), layer_(layer), speeds_(speeds), slotsPerRank_(slotsPerRank), work_(map.shape().ranks, 0.0), used_(map.shape().ranks, 0)
    {
    }

    void place(const Item &item)
    {
        std::optional<Rank> best;
        const auto timeWith = [&](Rank rank) { return (work_[rank] + item.work) / speeds_[rank]; };
        for (Rank rank = 0; rank < map_.shape().ranks; ++rank) {
            const bool fits = hasFreeSlot(rank) && !map_.holds(layer_, item.expert, rank);
            if (fits && (!best || timeWith(rank) < timeWith(*best))) {
                best = rank;
            }
        }
        if (best) {
            put(item, *best);
        } else {
            placeByExchange(item);
        }
    }

private:
    // The last free slots may all be on ranks that hold the expert already, e.g. on a straggler that was left light. One of
    // those takes a replica over from a third rank, which takes the item; without this an expert could end with one replica.
    void placeByExchange(const Item &item)
    {
        for (Rank free = 0; free < map_.shape().ranks; ++free) {
            if (!hasFreeSlot(free)) {
                continue;
            }
            for (Rank other = 0; other < map_.shape().ranks; ++other) {
                if (!map_.holds(layer_, item.expert, other) && passOn(other, free)) {
                    put(item, other);
                    return;
                }
            }
        }
    }

    // Moves the lightest replica that can be moved.
    bool passOn(Rank from, Rank to)
    {
        std::optional<Item> lightest;
        for (const Item &item : placed_) {
            const bool isMovable = map_.holds(layer_, item.expert, from) && !map_.holds(layer_, item.expert, to);
            if (isMovable && (!lightest || item.work < lightest->work)) {
                lightest = item;
            }
        }
        if (!lightest) {
            return false;
        }
        map_.remove(layer_, lightest->expert, from);
        work_[from] -= lightest->work;
        --used_[from];
        put(*lightest, to);
        return true;
    }

    void put(const Item &item, Rank rank)
    {
        map_.add(layer_, item.expert, rank);
        work_[rank] += item.work;
        ++used_[rank];
        placed_.push_back(item);
    }

    bool hasFreeSlot(Rank rank) const
    {
        return used_[rank] < slotsPerRank_;
    }

    ExpertMap &map_;
    Layer layer_;
    std::span<const double> speeds_;
    std::uint32_t slotsPerRank_;
    std::vector<double> work_; // by rank
    std::vector<std::uint32_t> used_; // slots, by rank
    std::vector<Item> placed_;
};

void applyTo(ExpertMap &map, Layer layer, const PlacementChange &change)
{
    for (const ReplicaEdit &edit : change.edits) {
        if (edit.added) {
            map.add(layer, edit.expert, edit.rank);
        } else {
            map.remove(layer, edit.expert, edit.rank);
        }
    }
}

double skewOf(std::span<const LayerPlacement> layers)
{
    double slowest = 0;
    double mean = 0;
    for (const LayerPlacement &layer : layers) {
        slowest += layer.slowest();
        mean += layer.mean();
    }
    return mean > 0 ? slowest / mean : 1.0;
}

} // namespace

Placement::Placement(Options options) : options_(options) {}

ExpertMap Placement::pack(const ExpertMap::Shape &shape, const Demand &demand) const
{
    ExpertMap map(shape);
    for (Layer layer = 0; layer < shape.layers; ++layer) {
        const std::size_t slots = static_cast<std::size_t>(shape.ranks) * options_.slotsPerRank;
        const auto counts = replicaCounts(demand.shares[layer], shape.ranks, slots, options_.minReplicas);
        LayerPacking packing(map, layer, demand.speeds, options_.slotsPerRank);
        for (const Item &item : sortedItems(demand.shares[layer], counts)) {
            packing.place(item);
        }
    }
    // Packing alone leaves the last few slots uneven.
    const std::size_t polishMoves = static_cast<std::size_t>(shape.ranks) * shape.layers;
    const auto polished = improve(map, demand, polishMoves);
    return polished.empty() ? map : polished.back().map;
}

std::vector<PlacementStep> Placement::improve(const ExpertMap &current, const Demand &demand, std::size_t maxMoves) const
{
    std::vector<LayerPlacement> layers;
    for (Layer layer = 0; layer < current.shape().layers; ++layer) {
        layers.emplace_back(current, layer, demand, options_);
    }
    std::vector<bool> exhausted(layers.size(), false);
    std::vector<PlacementStep> steps;
    ExpertMap map = current;
    std::size_t moves = 0;
    const auto excess = [](const LayerPlacement &layer) { return layer.slowest() - layer.mean(); };
    while (moves < maxMoves) {
        std::optional<std::size_t> worst;
        for (std::size_t layer = 0; layer < layers.size(); ++layer) {
            if (!exhausted[layer] && (!worst || excess(layers[layer]) > excess(layers[*worst]))) {
                worst = layer;
            }
        }
        if (!worst) {
            break;
        }
        const auto change = layers[*worst].bestChange(maxMoves - moves);
        if (!change) {
            exhausted[*worst] = true;
            continue;
        }
        layers[*worst].apply(*change);
        applyTo(map, layers[*worst].layer(), *change);
        moves += change->moves;
        // Counted from the start, since a replica moved twice is loaded once.
        steps.push_back({.map = map, .moves = map.replicasMissingFrom(current), .skew = skewOf(layers)});
    }
    return steps;
}

} // namespace magnolia::experts
