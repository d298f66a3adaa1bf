#include "group/replicaplanner.h"

#include <algorithm>
#include <utility>

namespace magnolia::group
{

namespace
{

// Number of experts of the most loaded rank for which changes are considered; the gain of the others is smaller.
constexpr std::size_t CandidateExperts = 3;

// Reported paces differ by some hundredths; moving experts because of that would cost more in copies than it saves in time.
constexpr double MinSlowPace = 1.15;

// Smaller gains are rounding errors, and applying them might never terminate.
constexpr double MinRelativeGain = 1e-9;

/** One step of a plan: adds, moves or removes a replica of an expert. */
struct Change {
    std::uint16_t expert = 0;
    std::optional<std::uint32_t> to; ///< The rank that gets a copy.
    std::optional<std::uint16_t> dropped; ///< The expert that this rank drops to make room.
    std::optional<std::uint32_t> from; ///< The rank that drops the replica.
    double gain = 0; ///< Reduction of the set's penalty.
};

/** The placement of one set of experts while a map is being planned. */
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

    /** @return the work of the most loaded rank; 1 if all ranks have the same work and none is slow. */
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

    /** @return the work of an expert on one of the ranks that share it, weighted by that rank's pace. */
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

    /** Considers adding a replica on a rank, or moving it there from the most loaded rank, with free capacity or in place of an expert that has further
     * replicas. */
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

    /** Adds the effect on the ranks' work if a replica of an expert is added, removed or moved. */
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

    /** Stores the ranks whose work a change affects in affectedRanks_ and their resulting work in newWork_. */
    void computeNewWork(const Change &change)
    {
        affectedRanks_.clear();
        addMove(change.expert, change.to, change.from);
        if (change.dropped) {
            addMove(*change.dropped, {}, change.to);
        }
    }

    // The eighth power, so that relieving any highly loaded rank lowers the sum. With the maximum alone there would be no gain while two ranks share it.
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
    std::vector<double> newWork_; ///< By rank; valid for affectedRanks_ only.
    std::vector<std::uint32_t> affectedRanks_;
};

/** The pace of each rank; 1 if none is reported or if the rank is only slightly slow. */
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
            plan.mostCopiesOfRank = std::max(plan.mostCopiesOfRank, copies[*change->to]);
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
