#include "policy/endpointchooser.h"

#include "prefixrates.h"

// Inlined, since it is called once for each candidate.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace magnolia::policy
{

namespace
{

/** Choices given: one to use and three in case of refusals. */
constexpr std::size_t MaxChoices = 4;
/** Candidates looked at to estimate the mean load; reading all of 1,300 would cost more than the rest of the choice. */
constexpr std::size_t MeanSamples = 32;

std::uint64_t rendezvousHash(EndpointKey endpoint, std::uint64_t prefix)
{
    return XXH3_64bits_withSeed(&endpoint, sizeof(endpoint), prefix);
}

bool contains(std::span<const EndpointKey> keys, EndpointKey key)
{
    return std::ranges::find(keys, key) != keys.end();
}

double seconds(MonoClock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::size_t below(std::size_t bound, Random &random)
{
    return static_cast<std::size_t>(random(bound));
}

double unitInterval(Random &random)
{
    constexpr int UnusedBits = 11;
    constexpr double Scale = 0x1p-53;
    return static_cast<double>(random() >> UnusedBits) * Scale;
}

} // namespace

EndpointKey endpointKey(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::uint64_t prefixHash(std::string_view prefix)
{
    return XXH3_64bits(prefix.data(), prefix.size());
}

std::string_view toString(ChoiceReason reason)
{
    switch (reason) {
    case ChoiceReason::PrefixAffinity:
        return "prefix-affinity";
    case ChoiceReason::CacheHint:
        return "cache-hint";
    case ChoiceReason::TwoChoices:
        return "two-choices";
    case ChoiceReason::Spare:
        return "spare";
    case ChoiceReason::Tried:
        return "tried";
    }
    return "unknown";
}

/** The work of one choice; it borrows the chooser's scratch memory. */
class EndpointChooser::Round
{
public:
    Round(EndpointChooser &chooser, const ChoiceRequest &request, std::span<const Candidate> candidates, MonoTime now, Random &random)
        : chooser_(chooser), options_(chooser.options_), request_(request), candidates_(candidates), now_(now), random_(random)
    {
    }

    void run()
    {
        chooser_.choices_.clear();
        listNearest();
        if (nearest_.empty()) {
            return;
        }
        estimateMean();
        elsewhere_ = betterOfTwoElsewhere();
        if (request_.prefix) {
            rankByPrefix();
            addAffine();
        }
        addTwoChoices();
        addSpares();
    }

    double score(std::size_t index) const
    {
        const Candidate &candidate = candidates_[index];
        return loadOverLimit(candidate) + penalty(candidate.distance);
    }

    bool isTried(std::size_t index) const
    {
        return contains(request_.tried, candidates_[index].endpoint);
    }

private:
    /** Suspect endpoints are taken only where there are no others: they may fail, but nothing else is left. */
    bool isEligible(std::size_t index) const
    {
        return candidates_[index].suspect <= allowSuspects_ && !isTried(index);
    }

    using IndexList = std::span<const std::uint32_t>;

    struct Ranked {
        std::uint64_t hash = 0;
        std::uint32_t index = 0;
    };

    /** Lists the candidates not yet tried that are at the least distance. */
    void listNearest()
    {
        std::vector<std::uint32_t> &scratch = chooser_.nearest_;
        // It only grows: setting it to zero anew for each choice would cost as much as filling it.
        scratch.resize(std::max(scratch.size(), candidates_.size()));
        for (const bool allowSuspects : {false, true}) {
            allowSuspects_ = allowSuspects;
            for (const Distance distance : {Distance::SameDataCentre, Distance::SameRegion, Distance::OtherRegion}) {
                nearest_ = indicesAt(distance, scratch);
                nearestDistance_ = distance;
                if (!nearest_.empty()) {
                    return;
                }
            }
        }
    }

    IndexList indicesAt(Distance distance, std::span<std::uint32_t> scratch) const
    {
        // Always written and counted only where it belongs: without a branch that depends on the candidate.
        std::size_t count = 0;
        for (std::uint32_t i = 0; i < candidates_.size(); ++i) {
            scratch[count] = i;
            count += candidates_[i].distance == distance && candidates_[i].suspect <= allowSuspects_ ? 1 : 0;
        }
        if (request_.tried.empty()) {
            return scratch.first(count);
        }
        const auto end =
            std::remove_if(scratch.begin(), scratch.begin() + static_cast<std::ptrdiff_t>(count), [this](std::uint32_t index) { return isTried(index); });
        return scratch.first(static_cast<std::size_t>(end - scratch.begin()));
    }

    static double othersOverLimit(const Candidate &candidate)
    {
        const std::uint32_t others = candidate.reportedLoad - std::min(candidate.reportedLoad, candidate.ownAtReport);
        return static_cast<double>(others) / std::max(candidate.limit, 1U);
    }

    /** @return how far the report is trusted: 1 when fresh, a half at the half-life. */
    double trust(const Candidate &candidate) const
    {
        if (candidate.reportedAt == MonoTime{}) {
            return 0;
        }
        const double age = std::max(0.0, seconds(now_ - candidate.reportedAt));
        return 1 / (1 + age / seconds(options_.reportHalfLife));
    }

    /**
     * A stale report that shows an idle endpoint would draw the requests of every entry at once (seen as endpoints that
     * flip between idle and crowded once per report). So what others have there is drawn towards the mean as the report
     * ages, and the own requests in flight, which are never stale, count in full.
     */
    double loadOverLimit(const Candidate &candidate) const
    {
        const double own = static_cast<double>(candidate.ownInFlight) / std::max(candidate.limit, 1U);
        const double trusted = trust(candidate);
        return own + trusted * othersOverLimit(candidate) + (1 - trusted) * meanOthers_;
    }

    double penalty(Distance distance) const
    {
        switch (distance) {
        case Distance::SameDataCentre:
            return 0;
        case Distance::SameRegion:
            return options_.regionPenalty;
        case Distance::OtherRegion:
            return options_.otherRegionPenalty;
        }
        return 0;
    }

    /** Mean load of the nearest candidates: of all of them where they are few, else of a sample. */
    void estimateMean()
    {
        const IndexList list = nearest_;
        const std::size_t samples = std::min(list.size(), MeanSamples);
        const std::size_t start = list.size() > samples ? below(list.size(), random_) : 0;
        // Neighbours in the list tell no more than any others do, as candidates come in no order of load.
        double trusted = 0;
        double trustedOthers = 0;
        double own = 0;
        for (std::size_t i = 0; i < samples; ++i) {
            const Candidate &candidate = candidates_[list[(start + i) % list.size()]];
            const double weight = trust(candidate);
            trusted += weight;
            trustedOthers += weight * othersOverLimit(candidate);
            own += static_cast<double>(candidate.ownInFlight) / std::max(candidate.limit, 1U);
        }
        meanOthers_ = trusted > 0 ? trustedOthers / trusted : 0;
        mean_ = own / static_cast<double>(samples) + meanOthers_;
    }

    /** Finds the nearest candidates that come first in the prefix's rendezvous order. */
    void rankByPrefix()
    {
        std::uint64_t lowest = 0;
        for (const std::uint32_t index : nearest_) {
            const std::uint64_t hash = rendezvousHash(candidates_[index].endpoint, *request_.prefix);
            if (rankedCount_ == MaxChoices && hash <= lowest) {
                continue;
            }
            insertRanked({.hash = hash, .index = index});
            lowest = ranked_[rankedCount_ - 1].hash;
        }
    }

    void insertRanked(Ranked entry)
    {
        if (rankedCount_ < MaxChoices) {
            ++rankedCount_;
        }
        std::size_t position = rankedCount_ - 1;
        while (position > 0 && ranked_[position - 1].hash < entry.hash) {
            ranked_[position] = ranked_[position - 1];
            --position;
        }
        ranked_[position] = entry;
    }

    /**
     * Accepts affinity surely below the bound, never above the ceiling, and by chance in between. With one sharp bound
     * every entry would leave a crowded endpoint on the same report, and come back on the next.
     */
    bool withinBound(double load)
    {
        const double bound = mean_ * options_.loadBound + options_.loadSlack;
        const double ceiling = bound * options_.loadBound;
        if (load <= bound) {
            return true;
        }
        if (load >= ceiling) {
            return false;
        }
        return unitInterval(random_) < (ceiling - load) / (ceiling - bound);
    }

    /**
     * A frequent prefix is more than one endpoint's share of the work. Its endpoint would fill up, and reports say so too late: so
     * it gets as many homes as its rate needs before any of them is crowded, and the least loaded of these goes first.
     */
    void orderHomes()
    {
        const double share = chooser_.rates_->count(*request_.prefix);
        const double needed = std::ceil(share * static_cast<double>(nearest_.size()) / chooser_.options_.homeFill);
        const auto homes = static_cast<std::size_t>(std::clamp(needed, 1.0, static_cast<double>(rankedCount_)));
        if (homes < 2) {
            return;
        }
        const std::size_t first = below(homes, random_);
        const std::size_t second = below(homes, random_);
        const std::size_t chosen = score(ranked_[first].index) <= score(ranked_[second].index) ? first : second;
        std::swap(ranked_[0], ranked_[chosen]);
    }

    void addAffine()
    {
        orderHomes();
        const double elsewhere = elsewhere_ ? elsewhere_->score : std::numeric_limits<double>::infinity();
        std::array<Choice, MaxChoices> accepted{};
        std::size_t count = 0;
        for (std::size_t i = 0; i < rankedCount_; ++i) {
            const std::size_t index = ranked_[i].index;
            const double load = score(index);
            if (load <= elsewhere && withinBound(load)) {
                accepted[count++] = {.index = index, .score = load, .reason = ChoiceReason::PrefixAffinity};
            }
        }
        preferHinted(std::span(accepted).first(count));
        chooser_.choices_.insert(chooser_.choices_.end(), accepted.begin(), accepted.begin() + static_cast<std::ptrdiff_t>(count));
    }

    /**
     * A hint decides only between endpoints that the prefix's order names anyway, and only where it costs no balance: events are
     * late and some are lost, and a false one must not draw the prefix to an endpoint that other entries do not look at.
     */
    void preferHinted(std::span<Choice> accepted) const
    {
        if (accepted.empty() || request_.cacheHints.empty() || isHinted(accepted.front())) {
            return;
        }
        const double loadOfFirst = accepted.front().score;
        const auto better =
            std::ranges::find_if(accepted, [this, loadOfFirst](const Choice &choice) { return choice.score <= loadOfFirst && isHinted(choice); });
        if (better != accepted.end()) {
            better->reason = ChoiceReason::CacheHint;
            std::rotate(accepted.begin(), better, better + 1);
        }
    }

    bool isHinted(const Choice &choice) const
    {
        return contains(request_.cacheHints, candidates_[choice.index].endpoint);
    }

    /** @return the better of two farther candidates taken at random; nothing if none was met with. */
    std::optional<Choice> betterOfTwoElsewhere()
    {
        constexpr int Tries = 8;
        constexpr int Wanted = 2;
        std::optional<Choice> best;
        int found = 0;
        for (int i = 0; i < Tries && found < Wanted; ++i) {
            const std::size_t index = below(candidates_.size(), random_);
            if (candidates_[index].distance <= nearestDistance_ || !isEligible(index)) {
                continue;
            }
            ++found;
            const double load = score(index);
            if (!best || load < best->score) {
                best = Choice{.index = index, .score = load, .reason = ChoiceReason::TwoChoices};
            }
        }
        return best;
    }

    Choice betterOfTwo(IndexList list)
    {
        const std::size_t first = list[below(list.size(), random_)];
        const std::size_t second = list[below(list.size(), random_)];
        const double firstScore = score(first);
        const double secondScore = score(second);
        if (firstScore <= secondScore) {
            return {.index = first, .score = firstScore, .reason = ChoiceReason::TwoChoices};
        }
        return {.index = second, .score = secondScore, .reason = ChoiceReason::TwoChoices};
    }

    void add(const Choice &choice)
    {
        auto &choices = chooser_.choices_;
        const bool known = std::ranges::any_of(choices, [&choice](const Choice &other) { return other.index == choice.index; });
        if (!known && choices.size() < MaxChoices) {
            choices.push_back(choice);
        }
    }

    void addTwoChoices()
    {
        const Choice near = betterOfTwo(nearest_);
        add(elsewhere_ && elsewhere_->score < near.score ? *elsewhere_ : near);
    }

    /** Fills up with further random candidates, nearest ones first, so that a refusal finds the next one at hand. */
    void addSpares()
    {
        const std::size_t nearStart = below(nearest_.size(), random_);
        for (std::size_t i = 0; i < nearest_.size() && !isFull(); ++i) {
            addSpare(nearest_[(nearStart + i) % nearest_.size()]);
        }
        const std::size_t start = below(candidates_.size(), random_);
        for (std::size_t i = 0; i < candidates_.size() && !isFull(); ++i) {
            const std::size_t index = (start + i) % candidates_.size();
            if (isEligible(index)) {
                addSpare(index);
            }
        }
    }

    void addSpare(std::size_t index)
    {
        add({.index = index, .score = score(index), .reason = ChoiceReason::Spare});
    }

    bool isFull() const
    {
        return chooser_.choices_.size() == MaxChoices;
    }

    EndpointChooser &chooser_;
    const Options &options_;
    const ChoiceRequest &request_;
    std::span<const Candidate> candidates_;
    MonoTime now_;
    Random &random_;
    IndexList nearest_; ///< The candidates not yet tried at the least distance.
    bool allowSuspects_ = false;
    Distance nearestDistance_ = Distance::SameDataCentre;
    std::optional<Choice> elsewhere_; ///< A farther one, for when those are loaded more than its distance costs.
    double meanOthers_ = 0;
    double mean_ = 0;
    std::array<Ranked, MaxChoices> ranked_{};
    std::size_t rankedCount_ = 0;
};

EndpointChooser::EndpointChooser(const Options &options) : options_(options), rates_(std::make_unique<PrefixRates>())
{
    choices_.reserve(MaxChoices);
}

EndpointChooser::~EndpointChooser() = default;

std::span<const Choice> EndpointChooser::choose(const ChoiceRequest &request, std::span<const Candidate> candidates, MonoTime now, Random &random)
{
    Round(*this, request, candidates, now, random).run();
    return choices_;
}

std::vector<Choice> EndpointChooser::explain(const ChoiceRequest &request, std::span<const Candidate> candidates, MonoTime now, Random &random)
{
    Round round(*this, request, candidates, now, random);
    round.run();
    std::vector<Choice> all = choices_;
    const auto first = static_cast<std::ptrdiff_t>(all.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const bool known = std::ranges::any_of(choices_, [i](const Choice &choice) { return choice.index == i; });
        if (!known) {
            all.push_back({.index = i, .score = round.score(i), .reason = round.isTried(i) ? ChoiceReason::Tried : ChoiceReason::Spare});
        }
    }
    std::sort(all.begin() + first, all.end(), [](const Choice &left, const Choice &right) {
        if ((left.reason == ChoiceReason::Tried) != (right.reason == ChoiceReason::Tried)) {
            return right.reason == ChoiceReason::Tried;
        }
        return left.score < right.score;
    });
    return all;
}

} // namespace magnolia::policy
