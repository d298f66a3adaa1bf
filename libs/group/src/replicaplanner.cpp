#include "group/replicaplanner.h"

#include <algorithm>
#include <utility>

namespace magnolia::group
{

namespace
{

// Experts of the most loaded rank that a further replica is considered for: the others bring less.
constexpr std::size_t HottestTried = 3;

// A fall of the penalty below this is rounding, and following it would never end.
constexpr double SmallestFall = 1e-9;

/** A further replica of one expert, in place of another or in a free place. */
struct Change {
    std::uint16_t expert = 0;
    std::uint32_t rank = 0;
    std::optional<std::uint16_t> dropped;
    double penalty = 0; ///< Of the set afterwards.
};

/** One set of experts while its map is being changed. */
class SetPlacement
{
public:
    SetPlacement(std::vector<std::vector<std::uint16_t>> held, std::span<const double> shares)
        : held_(std::move(held)), shares_(shares), replicas_(shares.size(), 0), newCopies_(held_.size(), 0)
    {
        for (const auto &experts : held_) {
            for (const std::uint16_t expert : experts) {
                ++replicas_[expert];
            }
        }
        work_ = workOf({}, 0, {});
    }

    /** Work of the most loaded rank; 1 if all ranks have the same. */
    double highest() const
    {
        return *std::max_element(work_.begin(), work_.end());
    }

    std::optional<Change> bestChange(const ReplicaPlanner::Options &options, std::span<const std::size_t> copiesOfRanks) const
    {
        std::optional<Change> best;
        const auto hottestRank = static_cast<std::size_t>(std::max_element(work_.begin(), work_.end()) - work_.begin());
        const double present = penaltyOf(work_);
        for (const std::uint16_t expert : hottestOf(hottestRank)) {
            for (std::uint32_t rank = 0; rank < held_.size(); ++rank) {
                const bool mayCopy = copiesOfRanks[rank] < options.mostNewPerRank && newCopies_[rank] < options.mostNewPerSet;
                if (!mayCopy || holds(rank, expert)) {
                    continue;
                }
                if (held_[rank].size() < options.placesPerRank) {
                    consider(best, {.expert = expert, .rank = rank, .dropped = {}}, present);
                    continue;
                }
                for (const std::uint16_t dropped : held_[rank]) {
                    if (replicas_[dropped] > 1) {
                        consider(best, {.expert = expert, .rank = rank, .dropped = dropped}, present);
                    }
                }
            }
        }
        return best;
    }

    void apply(const Change &change)
    {
        work_ = workOf(change.expert, change.rank, change.dropped);
        if (change.dropped) {
            std::erase(held_[change.rank], *change.dropped);
            --replicas_[*change.dropped];
        }
        held_[change.rank].push_back(change.expert);
        ++replicas_[change.expert];
        ++newCopies_[change.rank];
    }

    std::vector<std::vector<std::uint16_t>> take()
    {
        for (auto &experts : held_) {
            std::sort(experts.begin(), experts.end());
        }
        return std::move(held_);
    }

private:
    bool holds(std::size_t rank, std::uint16_t expert) const
    {
        return std::find(held_[rank].begin(), held_[rank].end(), expert) != held_[rank].end();
    }

    std::vector<std::uint16_t> hottestOf(std::size_t rank) const
    {
        std::vector<std::uint16_t> experts = held_[rank];
        const auto perReplica = [this](std::uint16_t expert) { return shares_[expert] / static_cast<double>(replicas_[expert]); };
        std::sort(experts.begin(), experts.end(), [&](std::uint16_t a, std::uint16_t b) { return perReplica(a) > perReplica(b); });
        experts.resize(std::min(experts.size(), HottestTried));
        return experts;
    }

    /** Work of each rank with one more replica of an expert, and one less of another; none if there is no expert added. */
    std::vector<double> workOf(std::optional<std::uint16_t> added, std::uint32_t rank, std::optional<std::uint16_t> dropped) const
    {
        std::vector<double> work(held_.size(), 0.0);
        const auto ranks = static_cast<double>(held_.size());
        const auto perReplica = [&](std::uint16_t expert) {
            const int change = (added == expert ? 1 : 0) - (dropped == expert ? 1 : 0);
            return shares_[expert] * ranks / static_cast<double>(replicas_[expert] + change);
        };
        for (std::size_t holder = 0; holder < held_.size(); ++holder) {
            for (const std::uint16_t expert : held_[holder]) {
                const bool isDropped = holder == rank && dropped == expert;
                work[holder] += isDropped ? 0 : perReplica(expert);
            }
        }
        if (added) {
            work[rank] += perReplica(*added);
        }
        return work;
    }

    // A high power: it falls with each rank near the top that is relieved, where the maximum alone would see no progress
    // while two ranks share it.
    static double penaltyOf(std::span<const double> work)
    {
        double sum = 0;
        for (const double one : work) {
            const double second = one * one;
            const double fourth = second * second;
            sum += fourth * fourth;
        }
        return sum;
    }

    void consider(std::optional<Change> &best, Change change, double present) const
    {
        change.penalty = penaltyOf(workOf(change.expert, change.rank, change.dropped));
        const bool isBetter = change.penalty < present * (1 - SmallestFall) && (!best || change.penalty < best->penalty);
        if (isBetter) {
            best = change;
        }
    }

    std::vector<std::vector<std::uint16_t>> held_; ///< By rank.
    std::span<const double> shares_;
    std::vector<int> replicas_; ///< By expert.
    std::vector<std::size_t> newCopies_; ///< By rank.
    std::vector<double> work_; ///< By rank.
};

} // namespace

double ReplicaPlanner::load(const RankExperts &map, std::span<const std::vector<double>> shares)
{
    double sum = 0;
    for (std::size_t set = 0; set < map.size(); ++set) {
        sum += SetPlacement(map[set], shares[set]).highest();
    }
    return sum;
}

std::optional<ReplicaPlan> ReplicaPlanner::plan(const RankExperts &current, std::span<const std::vector<double>> shares) const
{
    std::vector<SetPlacement> sets;
    ReplicaPlan plan;
    for (std::size_t set = 0; set < current.size(); ++set) {
        sets.emplace_back(current[set], shares[set]);
        plan.loadBefore += sets.back().highest();
    }
    std::vector<std::size_t> copies(current.empty() ? 0 : current.front().size(), 0);
    std::vector<bool> isDone(sets.size(), false);
    while (true) {
        std::optional<std::size_t> worst;
        for (std::size_t set = 0; set < sets.size(); ++set) {
            if (!isDone[set] && (!worst || sets[set].highest() > sets[*worst].highest())) {
                worst = set;
            }
        }
        if (!worst) {
            break;
        }
        const auto change = sets[*worst].bestChange(options_, copies);
        if (!change) {
            isDone[*worst] = true;
            continue;
        }
        sets[*worst].apply(*change);
        ++copies[change->rank];
        ++plan.copies;
    }
    for (SetPlacement &set : sets) {
        plan.loadAfter += set.highest();
        plan.map.push_back(set.take());
    }
    const bool isWorthIt = plan.copies > 0 && plan.loadAfter <= plan.loadBefore * (1 - options_.leastGain);
    return isWorthIt ? std::optional(std::move(plan)) : std::nullopt;
}

} // namespace magnolia::group
