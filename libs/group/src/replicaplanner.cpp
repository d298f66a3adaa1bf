#include "group/replicaplanner.h"

#include <algorithm>
#include <utility>

namespace magnolia::group
{

namespace
{

// Experts of the most loaded rank that a further replica is considered for: the others bring less.
constexpr std::size_t CandidateExperts = 3;

// Ranks differ by some hundredths in what they report; moving experts for that would cost more copies than it saves time.
constexpr double MinSlowPace = 1.15;

// A fall of the penalty below this is rounding, and following it would never end.
constexpr double MinRelativeGain = 1e-9;

/** One step of a plan: an expert is held by one rank more, by another rank, or by one rank less. */
struct Change {
    std::uint16_t expert = 0;
    std::optional<std::uint32_t> to; ///< The rank that takes a copy.
    std::optional<std::uint16_t> dropped; ///< By that rank, to make room.
    std::optional<std::uint32_t> from; ///< The rank that holds the expert no more.
    double gain = 0; ///< By how much the penalty of the set falls.
};

/** One set of experts while its map is being changed. */
class SetPlacement
{
public:
    SetPlacement(std::vector<std::vector<std::uint16_t>> held, std::span<const double> shares, std::span<const double> paces)
        : held_(std::move(held))
        , shares_(shares)
        , paces_(paces)
        , holders_(shares.size())
        , newCopies_(held_.size(), 0)
        , work_(held_.size(), 0.0)
        , newWork_(held_.size(), 0.0)
    {
        for (std::uint32_t rank = 0; rank < held_.size(); ++rank) {
            for (const std::uint16_t expert : held_[rank]) {
                holders_[expert].push_back(rank);
            }
        }
        for (std::uint32_t rank = 0; rank < held_.size(); ++rank) {
            for (const std::uint16_t expert : held_[rank]) {
                work_[rank] += workOf(rank, expert, holders_[expert].size());
            }
        }
    }

    /** Time of the rank that takes longest; 1 if all ranks have the same work and none is slow. */
    double maxWork() const
    {
        return *std::max_element(work_.begin(), work_.end());
    }

    std::optional<Change> bestChange(const ReplicaPlanner::Options &options, std::span<const std::size_t> copiesOfRanks)
    {
        std::optional<Change> best;
        const auto hottestRank = static_cast<std::uint32_t>(std::max_element(work_.begin(), work_.end()) - work_.begin());
        for (const std::uint16_t expert : hottestExperts(hottestRank)) {
            if (holders_[expert].size() > 1) {
                consider(best, {.expert = expert, .to = {}, .dropped = {}, .from = hottestRank});
            }
            for (std::uint32_t rank = 0; rank < held_.size(); ++rank) {
                const bool mayCopy = copiesOfRanks[rank] < options.maxCopiesPerRank && newCopies_[rank] < options.maxCopiesPerSet;
                if (mayCopy && !holds(rank, expert)) {
                    considerCopy(best, options, expert, hottestRank, rank);
                }
            }
        }
        return best;
    }

    void apply(const Change &change)
    {
        computeNewWork(change);
        for (const std::uint32_t rank : affectedRanks_) {
            work_[rank] = newWork_[rank];
        }
        if (change.dropped) {
            dropExpert(*change.to, *change.dropped);
        }
        if (change.to) {
            held_[*change.to].push_back(change.expert);
            holders_[change.expert].push_back(*change.to);
            ++newCopies_[*change.to];
        }
        if (change.from) {
            dropExpert(*change.from, change.expert);
        }
    }

    std::vector<std::vector<std::uint16_t>> takeMap()
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

    void dropExpert(std::uint32_t rank, std::uint16_t expert)
    {
        std::erase(held_[rank], expert);
        std::erase(holders_[expert], rank);
    }

    /** What the expert costs one of so many ranks that share it, by that rank's pace. */
    double workOf(std::uint32_t rank, std::uint16_t expert, std::size_t replicas) const
    {
        return shares_[expert] * static_cast<double>(held_.size()) / static_cast<double>(replicas) * paces_[rank];
    }

    std::vector<std::uint16_t> hottestExperts(std::uint32_t rank) const
    {
        std::vector<std::uint16_t> experts = held_[rank];
        const auto perReplica = [this, rank](std::uint16_t expert) { return workOf(rank, expert, holders_[expert].size()); };
        std::sort(experts.begin(), experts.end(), [&](std::uint16_t a, std::uint16_t b) { return perReplica(a) > perReplica(b); });
        experts.resize(std::min(experts.size(), CandidateExperts));
        return experts;
    }

    /** The expert on a further rank, or there in place of the hottest, in a free place or in that of one that others hold too. */
    void considerCopy(std::optional<Change> &best, const ReplicaPlanner::Options &options, std::uint16_t expert, std::uint32_t hottest, std::uint32_t rank)
    {
        for (const auto from : {std::optional<std::uint32_t>(), std::optional(hottest)}) {
            if (held_[rank].size() < options.maxExpertsPerRank) {
                consider(best, {.expert = expert, .to = rank, .dropped = {}, .from = from});
                continue;
            }
            for (const std::uint16_t dropped : held_[rank]) {
                if (holders_[dropped].size() > 1) {
                    consider(best, {.expert = expert, .to = rank, .dropped = dropped, .from = from});
                }
            }
        }
    }

    void addWork(std::uint32_t rank, double workChange)
    {
        if (std::find(affectedRanks_.begin(), affectedRanks_.end(), rank) == affectedRanks_.end()) {
            affectedRanks_.push_back(rank);
            newWork_[rank] = work_[rank];
        }
        newWork_[rank] += workChange;
    }

    /** Adds what it alters in the ranks' work that an expert is held by these and no others any more. */
    void addMove(std::uint16_t expert, std::optional<std::uint32_t> to, std::optional<std::uint32_t> from)
    {
        const std::size_t before = holders_[expert].size();
        const std::size_t after = before + (to ? 1 : 0) - (from ? 1 : 0);
        for (const std::uint32_t holder : holders_[expert]) {
            const double newShare = holder == from ? 0 : workOf(holder, expert, after);
            addWork(holder, newShare - workOf(holder, expert, before));
        }
        if (to) {
            addWork(*to, workOf(*to, expert, after));
        }
    }

    /** Leaves the ranks whose work a change alters in touched_, and their work afterwards in changed_. */
    void computeNewWork(const Change &change)
    {
        affectedRanks_.clear();
        addMove(change.expert, change.to, change.from);
        if (change.dropped) {
            addMove(*change.dropped, {}, change.to);
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
        computeNewWork(change);
        for (const std::uint32_t rank : affectedRanks_) {
            change.gain += penaltyOf(work_[rank]) - penaltyOf(newWork_[rank]);
        }
        const double minimum = MinRelativeGain * penaltyOf(maxWork());
        if (change.gain > minimum && (!best || change.gain > best->gain)) {
            best = change;
        }
    }

    std::vector<std::vector<std::uint16_t>> held_; ///< By rank.
    std::span<const double> shares_;
    std::span<const double> paces_; ///< By rank.
    std::vector<std::vector<std::uint32_t>> holders_; ///< By expert.
    std::vector<std::size_t> newCopies_; ///< By rank.
    std::vector<double> work_; ///< By rank.
    std::vector<double> newWork_; ///< By rank, where touched_ names it.
    std::vector<std::uint32_t> affectedRanks_;
};

/** One pace for each rank: 1 where none is told, and where a rank is hardly slower than it should be. */
std::vector<double> effectivePaces(const ExpertMap &map, std::span<const double> reported)
{
    std::vector<double> paces(map.empty() ? 0 : map.front().size(), 1.0);
    for (std::size_t rank = 0; rank < std::min(paces.size(), reported.size()); ++rank) {
        paces[rank] = reported[rank] > MinSlowPace ? reported[rank] : 1.0;
    }
    return paces;
}

} // namespace

double ReplicaPlanner::load(const ExpertMap &map, std::span<const std::vector<double>> shares, std::span<const double> paces)
{
    const std::vector<double> pacesOfRanks = effectivePaces(map, paces);
    double sum = 0;
    for (std::size_t set = 0; set < map.size(); ++set) {
        sum += SetPlacement(map[set], shares[set], pacesOfRanks).maxWork();
    }
    return sum;
}

std::optional<ReplicaPlan> ReplicaPlanner::plan(const ExpertMap &current, std::span<const std::vector<double>> shares, std::span<const double> paces) const
{
    const std::vector<double> pacesOfRanks = effectivePaces(current, paces);
    std::vector<SetPlacement> sets;
    ReplicaPlan plan;
    for (std::size_t set = 0; set < current.size(); ++set) {
        sets.emplace_back(current[set], shares[set], pacesOfRanks);
        plan.loadBefore += sets.back().maxWork();
    }
    std::vector<std::size_t> copies(current.empty() ? 0 : current.front().size(), 0);
    std::vector<bool> isDone(sets.size(), false);
    while (true) {
        std::optional<std::size_t> mostLoaded;
        for (std::size_t set = 0; set < sets.size(); ++set) {
            if (!isDone[set] && (!mostLoaded || sets[set].maxWork() > sets[*mostLoaded].maxWork())) {
                mostLoaded = set;
            }
        }
        if (!mostLoaded) {
            break;
        }
        const auto change = sets[*mostLoaded].bestChange(options_, copies);
        if (!change) {
            isDone[*mostLoaded] = true;
            continue;
        }
        sets[*mostLoaded].apply(*change);
        if (change->to) {
            ++copies[*change->to];
            ++plan.copies;
        }
    }
    for (SetPlacement &set : sets) {
        plan.loadAfter += set.maxWork();
        plan.map.push_back(set.takeMap());
    }
    const bool isWorthwhile = plan.loadAfter <= plan.loadBefore * (1 - options_.minGain);
    return isWorthwhile ? std::optional(std::move(plan)) : std::nullopt;
}

} // namespace magnolia::group
