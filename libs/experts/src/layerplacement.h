#ifndef MAGNOLIA_EXPERTS_LAYERPLACEMENT_H
#define MAGNOLIA_EXPERTS_LAYERPLACEMENT_H

#include "experts/expertmap.h"
#include "experts/placement.h"
#include "experts/skew.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace magnolia::experts
{

/** One replica added to a rank or removed from it. */
struct ReplicaEdit {
    Expert expert = 0;
    Rank rank = 0;
    bool added = false;
};

/** A few edits that belong together, and what they gain. */
struct PlacementChange {
    std::vector<ReplicaEdit> edits;
    std::size_t moves = 0; ///< Replicas added: each has to be loaded.
    double gain = 0; ///< By how much the imbalance falls.
};

/**
 * The placement of one layer while it is being improved: who holds what, and how long each rank takes.
 *
 * Imbalance is a sum of high powers of the ranks' times, so that it falls with each rank near the top that is relieved;
 * the maximum alone would see no progress while two ranks share it.
 */
class LayerPlacement
{
public:
    LayerPlacement(const ExpertMap &map, Layer layer, const Demand &demand, const Placement::Options &options);

    Layer layer() const;
    double slowest() const; ///< Time of the slowest rank.
    double mean() const; ///< Mean time of the ranks.

    /** @return the change that gains most per move, within a number of moves; nothing if none gains. */
    std::optional<PlacementChange> bestChange(std::size_t maxMoves);

    void apply(const PlacementChange &change);

private:
    using RankDelta = std::pair<Rank, double>;

    void considerExtraReplica(Expert hot, std::span<const Rank> fastest, std::size_t maxMoves);
    void considerReplacement(Rank slowest, Expert hot);
    void considerSwaps(Rank slowest, Expert hot, std::size_t maxMoves);
    void consider(std::span<const ReplicaEdit> edits);
    double evaluate(std::span<const ReplicaEdit> edits);
    void addDelta(Rank rank, double work);
    bool holds(Expert expert, Rank rank) const;
    bool mayDrop(Expert expert) const;
    double penalty(Rank rank, double work) const;
    std::vector<Rank> fastestRanks(std::size_t count) const;

    Layer layer_;
    Placement::Options options_;
    std::span<const double> shares_;
    std::span<const double> speeds_;
    double meanTime_ = 1;
    std::vector<std::vector<Rank>> holders_; // by expert
    std::vector<std::vector<Expert>> held_; // by rank
    std::vector<double> work_; // by rank
    std::vector<double> delta_; // scratch of evaluate, by rank
    std::vector<bool> isTouched_; // scratch of evaluate, by rank
    std::vector<Rank> touched_; // scratch of evaluate
    PlacementChange best_;
};

} // namespace magnolia::experts

#endif
