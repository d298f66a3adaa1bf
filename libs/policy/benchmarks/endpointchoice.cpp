// Issue 5, item 3: choice of endpoint by prompt-prefix hits and queue imbalance together.
//
// Entries choose among 27 endpoints with the load reports that they have: one a second from each endpoint, a second late.
// Each endpoint runs 8 requests at once, queues the others, and caches a hundred prefixes (least recently used ones go).
// Events of the cache come two seconds late and half of them are lost. Imbalance is the fullest endpoint's running and queued
// requests over the mean, sampled ten times a second.
#include "benchsupport.h"
#include "policy/endpointchooser.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>

using namespace magnolia;
using namespace magnolia::bench;
using namespace magnolia::policy;

namespace
{

constexpr std::size_t Endpoints = 27;
constexpr std::uint32_t Slots = 8;
constexpr std::size_t CachedPrefixes = 100;
constexpr std::size_t Prefixes = 2000;
constexpr double ZipfExponent = 0.9;
constexpr double MissPrefill = 0.3; ///< Seconds.
constexpr double HitPrefill = 0.03;
constexpr double MeanDecode = 0.6;
constexpr double Utilisation = 0.7; ///< Were every prefix a miss.
constexpr double ReportInterval = 1;
constexpr double ReportDelay = 1;
constexpr double EventDelay = 2;
constexpr double EventLoss = 0.5;
constexpr double WarmUp = 60;

enum class Strategy : std::uint8_t {
    Random,
    RoundRobin,
    LeastLoaded,
    PlainHash,
    TwoChoices,
    Ours,
    OursWithoutHints,
};

constexpr std::string_view nameOf(Strategy strategy)
{
    switch (strategy) {
    case Strategy::Random:
        return "random";
    case Strategy::RoundRobin:
        return "round robin";
    case Strategy::LeastLoaded:
        return "least loaded";
    case Strategy::PlainHash:
        return "plain hash";
    case Strategy::TwoChoices:
        return "two choices";
    case Strategy::Ours:
        return "magnoliarack";
    case Strategy::OursWithoutHints:
        return "magnoliarack, no cache events";
    }
    return "";
}

struct Request {
    std::size_t entry = 0;
    std::uint64_t prefix = 0;
    MonoTime arrived;
};

class Endpoint
{
public:
    std::uint32_t running = 0;
    std::deque<Request> waiting;

    std::uint32_t load() const
    {
        return running + static_cast<std::uint32_t>(waiting.size());
    }

    /** @return whether the prefix was cached; it is from now on. @param evicted set if another one had to go. */
    bool touch(std::uint64_t prefix, std::optional<std::uint64_t> &evicted)
    {
        const auto position = positions_.find(prefix);
        if (position != positions_.end()) {
            order_.splice(order_.begin(), order_, position->second);
            return true;
        }
        order_.push_front(prefix);
        positions_[prefix] = order_.begin();
        if (order_.size() > CachedPrefixes) {
            evicted = order_.back();
            positions_.erase(order_.back());
            order_.pop_back();
        }
        return false;
    }

private:
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

struct Outcome {
    double hitRate = 0;
    double imbalance = 0;
    double firstTokenP50 = 0;
    double firstTokenP95 = 0;
};

class Run
{
public:
    Run(Strategy strategy, std::size_t entries, double duration, std::uint64_t seed, const EndpointChooser::Options &options)
        : strategy_(strategy)
        , chooser_(options)
        , random_(seed)
        , arrivals_(seed, 2)
        , zipf_(Prefixes, ZipfExponent)
        , begin_(loop_.now() + fromSeconds(WarmUp))
        , end_(begin_ + fromSeconds(duration))
        , endpoints_(Endpoints)
        , roundRobin_(entries)
    {
        std::vector<Candidate> candidates;
        for (std::size_t i = 0; i < Endpoints; ++i) {
            candidates.push_back({.endpoint = endpointKey("engine-" + std::to_string(i)), .limit = Slots, .reportedAt = {}});
        }
        known_.assign(entries, candidates);
    }

    Outcome run()
    {
        arrive();
        for (std::size_t i = 0; i < Endpoints; ++i) {
            loop_.after(unit() * ReportInterval, [this, i] { sendReport(i); });
        }
        sample();
        loop_.runUntil(end_);
        return {.hitRate = static_cast<double>(hits_) / static_cast<double>(started_),
                .imbalance = mean(imbalances_),
                .firstTokenP50 = percentile(firstTokens_, 0.5),
                .firstTokenP95 = percentile(firstTokens_, 0.95)};
    }

private:
    double unit()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    void arrive()
    {
        constexpr double Rate = Utilisation * Endpoints * Slots / (MissPrefill + MeanDecode);
        loop_.after(exponential(1 / Rate, arrivals_), [this] {
            const Request request{.entry = arrivals_(known_.size()), .prefix = zipf_.draw(arrivals_), .arrived = loop_.now()};
            const std::size_t chosen = choose(request);
            ++known_[request.entry][chosen].ownInFlight;
            endpoints_[chosen].waiting.push_back(request);
            startWaiting(chosen);
            arrive();
        });
    }

    std::size_t choose(const Request &request)
    {
        const std::vector<Candidate> &candidates = known_[request.entry];
        const std::uint64_t prefix = prefixHash({reinterpret_cast<const char *>(&request.prefix), sizeof(request.prefix)});
        switch (strategy_) {
        case Strategy::Random:
            return random_(Endpoints);
        case Strategy::RoundRobin:
            return roundRobin_[request.entry]++ % Endpoints;
        case Strategy::LeastLoaded:
            return leastLoaded(candidates);
        case Strategy::PlainHash:
            return prefix % Endpoints;
        case Strategy::TwoChoices:
            return chooser_.choose({}, candidates, loop_.now(), random_).front().index;
        case Strategy::Ours:
            return chooser_.choose({.prefix = prefix, .tried = {}, .cacheHints = hints_[request.prefix]}, candidates, loop_.now(), random_).front().index;
        case Strategy::OursWithoutHints:
            return chooser_.choose({.prefix = prefix, .tried = {}, .cacheHints = {}}, candidates, loop_.now(), random_).front().index;
        }
        return 0;
    }

    static std::size_t leastLoaded(const std::vector<Candidate> &candidates)
    {
        const auto believed = [](const Candidate &candidate) {
            return candidate.ownInFlight + candidate.reportedLoad - std::min(candidate.reportedLoad, candidate.ownAtReport);
        };
        const auto least = std::ranges::min_element(candidates, {}, believed);
        return static_cast<std::size_t>(least - candidates.begin());
    }

    void startWaiting(std::size_t index)
    {
        Endpoint &endpoint = endpoints_[index];
        while (endpoint.running < Slots && !endpoint.waiting.empty()) {
            const Request request = endpoint.waiting.front();
            endpoint.waiting.pop_front();
            ++endpoint.running;
            std::optional<std::uint64_t> evicted;
            const bool hit = endpoint.touch(request.prefix, evicted);
            const double prefill = hit ? HitPrefill : MissPrefill;
            if (request.arrived >= begin_) {
                ++started_;
                hits_ += hit ? 1 : 0;
                firstTokens_.push_back(toSeconds(loop_.now() - request.arrived) + prefill);
            }
            if (!hit) {
                tellCache(index, request.prefix, true);
            }
            if (evicted) {
                tellCache(index, *evicted, false);
            }
            loop_.after(prefill + exponential(MeanDecode, random_), [this, index, entry = request.entry] {
                --endpoints_[index].running;
                --known_[entry][index].ownInFlight;
                startWaiting(index);
            });
        }
    }

    void tellCache(std::size_t index, std::uint64_t prefix, bool stored)
    {
        if (strategy_ != Strategy::Ours || unit() < EventLoss) {
            return;
        }
        loop_.after(EventDelay, [this, index, prefix, stored] {
            std::vector<EndpointKey> &keys = hints_[prefix];
            const EndpointKey key = known_.front()[index].endpoint;
            std::erase(keys, key);
            if (stored) {
                keys.push_back(key);
            }
        });
    }

    void sendReport(std::size_t index)
    {
        loop_.after(ReportDelay, [this, index, load = endpoints_[index].load()] {
            for (std::vector<Candidate> &candidates : known_) {
                Candidate &candidate = candidates[index];
                candidate.reportedLoad = load;
                candidate.ownAtReport = candidate.ownInFlight;
                candidate.reportedAt = loop_.now();
            }
        });
        loop_.after(ReportInterval, [this, index] { sendReport(index); });
    }

    void sample()
    {
        constexpr double SampleInterval = 0.1;
        if (loop_.now() >= begin_) {
            double sum = 0;
            double most = 0;
            for (const Endpoint &endpoint : endpoints_) {
                sum += endpoint.load();
                most = std::max<double>(most, endpoint.load());
            }
            imbalances_.push_back(sum > 0 ? most * Endpoints / sum : 1);
        }
        loop_.after(SampleInterval, [this] { sample(); });
    }

    Strategy strategy_;
    EventLoop loop_;
    EndpointChooser chooser_;
    Random random_;
    Random arrivals_;
    Zipf zipf_;
    MonoTime begin_;
    MonoTime end_;
    std::vector<Endpoint> endpoints_;
    std::vector<std::vector<Candidate>> known_; ///< Per entry.
    std::vector<std::size_t> roundRobin_;
    std::unordered_map<std::uint64_t, std::vector<EndpointKey>> hints_;
    std::vector<double> imbalances_;
    std::vector<double> firstTokens_;
    std::uint64_t hits_ = 0;
    std::uint64_t started_ = 0;
};

Outcome measure(Strategy strategy, std::size_t entries, double duration)
{
    constexpr std::uint64_t Seed = 3;
    const Outcome outcome = Run(strategy, entries, duration, Seed, {}).run();
    fmt::print("{:30} {:8} {:9.3f} {:10.3f} {:9.1f} {:9.1f}\n",
               nameOf(strategy),
               entries,
               outcome.hitRate,
               outcome.imbalance,
               outcome.firstTokenP50 * 1000,
               outcome.firstTokenP95 * 1000);
    return outcome;
}

} // namespace

int main(int argc, char **argv)
{
    const BenchOptions options = parseOptions(argc, argv);
    const double duration = options.quick ? 1200 : 7200;
    constexpr std::size_t FewEntries = 4;
    constexpr std::size_t ManyEntries = 64;

    fmt::print("{} endpoints, {} s each; times to first token in ms\n", Endpoints, duration);
    fmt::print("{:30} {:>8} {:>9} {:>10} {:>9} {:>9}\n", "", "entries", "hit rate", "imbalance", "p50", "p95");
    for (const Strategy strategy : {Strategy::Random, Strategy::RoundRobin}) {
        measure(strategy, FewEntries, duration);
    }
    measure(Strategy::LeastLoaded, FewEntries, duration);
    const Outcome hash = measure(Strategy::PlainHash, FewEntries, duration);
    const Outcome two = measure(Strategy::TwoChoices, FewEntries, duration);
    const Outcome ours = measure(Strategy::Ours, FewEntries, duration);
    measure(Strategy::OursWithoutHints, FewEntries, duration);
    const Outcome manyLeast = measure(Strategy::LeastLoaded, ManyEntries, duration);
    const Outcome manyTwo = measure(Strategy::TwoChoices, ManyEntries, duration);
    const Outcome many = measure(Strategy::Ours, ManyEntries, duration);

    report({.name = "choice_hit_rate_over_hash",
            .value = ours.hitRate / hash.hitRate,
            .unit = "ratio",
            .baseline = two.hitRate / hash.hitRate,
            .goal = 0.95,
            .kind = GoalKind::AtLeast});
    report({.name = "choice_imbalance_over_two_choices",
            .value = ours.imbalance / two.imbalance,
            .unit = "ratio",
            .baseline = hash.imbalance / two.imbalance,
            .goal = 1.1});
    report({.name = "choice_herd_imbalance_64_entries",
            .value = many.imbalance / manyTwo.imbalance,
            .unit = "ratio",
            .baseline = manyLeast.imbalance / manyTwo.imbalance,
            .goal = 1.1});
    report({.name = "choice_p95_ttft_over_two_choices",
            .value = ours.firstTokenP95 / two.firstTokenP95,
            .unit = "ratio",
            .baseline = hash.firstTokenP95 / two.firstTokenP95,
            .goal = 1});
    return 0;
}
