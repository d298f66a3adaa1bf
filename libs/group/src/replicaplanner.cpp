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
    double gain = 0; ///< By how much the penalty of the set falls.
};

/** One set of experts while its map is being changed. */
class SetPlacement
{
public:
    SetPlacement(std::vector<std::vector<std::uint16_t>> held, std::span<const double> shares)
        : held_(std::move(held)), shares_(shares), holders_(shares.size()), newCopies_(held_.size(), 0), work_(held_.size(), 0.0), changed_(held_.size(), 0.0)
    {
        for (std::uint32_t rank = 0; rank < held_.size(); ++rank) {
            for (const std::uint16_t expert : held_[rank]) {
                holders_[expert].push_back(rank);
            }
        }
        for (std::uint32_t rank = 0; rank < held_.size(); ++rank) {
            for (const std::uint16_t expert : held_[rank]) {
                work_[rank] += workOf(expert, holders_[expert].size());
            }
        }
    }

    /** Work of the most loaded rank; 1 if all ranks have the same. */
    double highest() const
    {
        return *std::max_element(work_.begin(), work_.end());
    }

    std::optional<Change> bestChange(const ReplicaPlanner::Options &options, std::span<const std::size_t> copiesOfRanks)
    {
        std::optional<Change> best;
        const auto hottestRank = static_cast<std::size_t>(std::max_element(work_.begin(), work_.end()) - work_.begin());
        for (const std::uint16_t expert : hottestOf(hottestRank)) {
            for (std::uint32_t rank = 0; rank < held_.size(); ++rank) {
                const bool mayCopy = copiesOfRanks[rank] < options.mostNewPerRank && newCopies_[rank] < options.mostNewPerSet;
                if (!mayCopy || holds(rank, expert)) {
                    continue;
                }
                if (held_[rank].size() < options.placesPerRank) {
                    consider(best, {.expert = expert, .rank = rank, .dropped = {}});
                    continue;
                }
                for (const std::uint16_t dropped : held_[rank]) {
                    if (holders_[dropped].size() > 1) {
                        consider(best, {.expert = expert, .rank = rank, .dropped = dropped});
                    }
                }
            }
        }
        return best;
    }

    void apply(const Change &change)
    {
        gather(change);
        for (const std::uint32_t rank : touched_) {
            work_[rank] = changed_[rank];
        }
        if (change.dropped) {
            std::erase(held_[change.rank], *change.dropped);
            std::erase(holders_[*change.dropped], change.rank);
        }
        held_[change.rank].push_back(change.expert);
        holders_[change.expert].push_back(change.rank);
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
    bool holds(std::uint32_t rank, std::uint16_t expert) const
    {
        return std::find(held_[rank].begin(), held_[rank].end(), expert) != held_[rank].end();
    }

    /** Of each of so many ranks that share the expert. */
    double workOf(std::uint16_t expert, std::size_t replicas) const
    {
        return shares_[expert] * static_cast<double>(held_.size()) / static_cast<double>(replicas);
    }

    std::vector<std::uint16_t> hottestOf(std::size_t rank) const
    {
        std::vector<std::uint16_t> experts = held_[rank];
        const auto perReplica = [this](std::uint16_t expert) { return workOf(expert, holders_[expert].size()); };
        std::sort(experts.begin(), experts.end(), [&](std::uint16_t a, std::uint16_t b) { return perReplica(a) > perReplica(b); });
        experts.resize(std::min(experts.size(), HottestTried));
        return experts;
    }

    void touch(std::uint32_t rank, double difference)
    {
        if (std::find(touched_.begin(), touched_.end(), rank) == touched_.end()) {
            touched_.push_back(rank);
            changed_[rank] = work_[rank];
        }
        changed_[rank] += difference;
    }

    /** Leaves the ranks whose work a change alters in touched_, and their work afterwards in changed_. */
    void gather(const Change &change)
    {
        touched_.clear();
        const std::size_t before = holders_[change.expert].size();
        const double less = workOf(change.expert, before + 1) - workOf(change.expert, before);
        for (const std::uint32_t holder : holders_[change.expert]) {
            touch(holder, less);
        }
        touch(change.rank, workOf(change.expert, before + 1));
        if (change.dropped) {
            const std::size_t left = holders_[*change.dropped].size() - 1;
            const double more = workOf(*change.dropped, left) - workOf(*change.dropped, left + 1);
            for (const std::uint32_t holder : holders_[*change.dropped]) {
                touch(holder, holder == change.rank ? -workOf(*change.dropped, left + 1) : more);
            }
        }
    }

    // A high power: its sum falls with each rank near the top that is relieved, where the maximum alone would see no
    // progress while two ranks share it.
    static double penaltyOf(double work)
    {
        const double second = work * work;
        const double fourth = second * second;
        return fourth * fourth;
    }

    void consider(std::optional<Change> &best, Change change)
    {
        gather(change);
        for (const std::uint32_t rank : touched_) {
            change.gain += penaltyOf(work_[rank]) - penaltyOf(changed_[rank]);
        }
        const double least = SmallestFall * penaltyOf(highest());
        if (change.gain > least && (!best || change.gain > best->gain)) {
            best = change;
        }
    }

    std::vector<std::vector<std::uint16_t>> held_; ///< By rank.
    std::span<const double> shares_;
    std::vector<std::vector<std::uint32_t>> holders_; ///< By expert.
    std::vector<std::size_t> newCopies_; ///< By rank.
    std::vector<double> work_; ///< By rank.
    std::vector<double> changed_; ///< By rank, where touched_ names it.
    std::vector<std::uint32_t> touched_;
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
