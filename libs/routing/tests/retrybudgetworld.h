#ifndef MAGNOLIA_ROUTING_TESTS_RETRYBUDGETWORLD_H
#define MAGNOLIA_ROUTING_TESTS_RETRYBUDGETWORLD_H

#include "base/random.h"
#include "routing/retryallowance.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace magnolia::routing
{

/** Entries that share one retry budget and are disturbed. Requests and arrivals of retries are recorded and judged afterwards. All times are drawn from the
 * seed. */
class RetryBudgetWorld
{
public:
    static constexpr double Share = 0.2;
    static constexpr double Constant = 90;
    static constexpr Duration Window{10000};

    /** Times between events are drawn between the half and the whole of those given; 0: never. */
    struct Options {
        std::uint64_t seed = 0;
        std::size_t entries = 4;
        double requestsPerSecond = 57; ///< Of all callers; at times half or twice as many.
        Duration killInterval{0}; ///< Between kills of the entries.
        double killShare = 1; ///< Of the entries, at each kill.
        Duration joinInterval{0}; ///< After which one more entry starts.
        Duration learningTime{15000}; ///< After which an entry knows the entries that have joined.
        bool isCountKnown = true; ///< False: no entry ever learns how many there are.
        Duration burstInterval{0}; ///< Requests are retried only for a moment after each such time; 0: always.
        Duration burstJitter{500}; ///< Added to each interval between bursts.
        Duration heldTime{0}; ///< How long the network holds back what was sent, at most, at times.
        Duration simulatedTime{120000};
    };

    explicit RetryBudgetWorld(const Options &options) : options_(options), random_(options.seed)
    {
        for (std::size_t index = 0; index < options_.entries; ++index) {
            addEntry();
            entries_.back().learnt = options_.entries; // Processes that start together know each other before the callers come.
        }
        nextKill_ = after(options_.killInterval);
        nextJoin_ = after(options_.joinInterval);
        nextBurst_ = after(options_.burstInterval);
    }

    void run()
    {
        for (const BootTime end = now_ + options_.simulatedTime; now_ < end; now_ += Step) {
            changeTraffic();
            changeNetwork();
            killEntries();
            joinEntry();
            learnCounts();
            serveRequests();
            retry();
        }
        std::sort(arrivals_.begin(), arrivals_.end());
    }

    /** @return the most by which retries that arrived within a window exceed the budget; negative if it is kept. */
    double worstExcess() const
    {
        double worst = -Constant;
        for (std::size_t first = 0; first < arrivals_.size(); ++first) {
            const BootTime from = arrivals_[first];
            const double retries = countBetween(arrivals_, from, from + Window);
            const double requests = std::max({countBetween(requests_, from, from + Window),
                                              countBetween(requests_, from - Window, from),
                                              countBetween(requests_, from - Window / 2, from + Window / 2)});
            worst = std::max(worst, retries - Share * requests - Constant);
        }
        return worst;
    }

    /** @return retries as a part of what the budget allows over the whole time. */
    double use() const
    {
        const double windows = static_cast<double>(options_.simulatedTime.count()) / static_cast<double>(Window.count());
        return static_cast<double>(arrivals_.size()) / (Share * static_cast<double>(requests_.size()) + Constant * windows);
    }

private:
    static constexpr BootTime Start{std::chrono::hours(1)};
    static constexpr Duration Step{10};
    static constexpr Duration BurstTime{50};
    static constexpr Duration DownTime{400};
    static constexpr std::size_t MaxRetriesPerStep = 60;

    struct Entry {
        std::optional<RetryAllowance> allowance{}; ///< Nothing while it is down.
        BootTime upAt{};
        double weight = 1; ///< Of callers.
        std::size_t learnt = 0;
        BootTime learnsAt{};
    };

    static RetryAllowance startAllowance(std::optional<BootTime> precededUntil)
    {
        return RetryAllowance({.share = Share, .constant = Constant, .window = Window, .precededUntil = precededUntil});
    }

    void addEntry()
    {
        Entry entry{.allowance = startAllowance(std::nullopt)};
        entry.weight = std::uniform_real_distribution<double>(0.2, 1)(random_);
        entry.learnt = entries_.size() + 1;
        entry.learnsAt = now_;
        entries_.push_back(entry);
    }

    BootTime after(Duration interval)
    {
        if (interval.count() == 0) {
            return BootTime::max();
        }
        return now_ + Duration(std::uniform_int_distribution<Duration::rep>(interval.count() / 2, interval.count())(random_));
    }

    void changeTraffic()
    {
        if (now_ >= nextTraffic_) {
            trafficFactor_ = std::exp2(std::uniform_int_distribution<int>(-1, 1)(random_));
            nextTraffic_ = after(Window);
        }
    }

    void changeNetwork()
    {
        if (options_.heldTime.count() > 0 && now_ >= heldUntil_ + options_.heldTime * 4) {
            heldUntil_ = after(options_.heldTime);
        }
    }

    void killEntries()
    {
        if (now_ >= nextKill_) {
            nextKill_ = after(options_.killInterval);
            for (Entry &entry : entries_) {
                if (std::uniform_real_distribution<double>(0, 1)(random_) < options_.killShare) {
                    entry.allowance.reset();
                    entry.upAt = now_ + DownTime;
                }
            }
        }
        for (Entry &entry : entries_) {
            if (!entry.allowance && now_ >= entry.upAt) {
                entry.allowance = startAllowance(now_);
                entry.learnt = entries_.size(); // The others are still listed.
                entry.learnsAt = now_;
            }
        }
    }

    void joinEntry()
    {
        if (now_ < nextJoin_) {
            return;
        }
        nextJoin_ = after(options_.joinInterval);
        for (Entry &entry : entries_) {
            entry.learnsAt = entry.learnsAt > now_ ? entry.learnsAt : now_ + options_.learningTime;
        }
        addEntry();
    }

    void learnCounts()
    {
        for (Entry &entry : entries_) {
            if (!options_.isCountKnown || !entry.allowance) {
                continue;
            }
            if (now_ >= entry.learnsAt && entry.learnsAt != BootTime()) {
                entry.learnt = std::max(entry.learnt, entries_.size());
                entry.learnsAt = BootTime();
            }
            entry.allowance->setInstances(entry.learnt);
        }
    }

    void serveRequests()
    {
        const double mean = options_.requestsPerSecond * trafficFactor_ * std::chrono::duration<double>(Step).count();
        const int count = std::poisson_distribution<int>(mean)(random_);
        std::vector<double> weights;
        for (const Entry &entry : entries_) {
            weights.push_back(entry.allowance ? entry.weight : 0);
        }
        const bool isAnyUp = std::any_of(weights.begin(), weights.end(), [](double weight) { return weight > 0; });
        for (int request = 0; request < count; ++request) {
            requests_.push_back(now_);
            if (isAnyUp) {
                entries_[std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random_)].allowance->onRequest(now_);
            }
        }
    }

    bool isRetrying()
    {
        if (options_.burstInterval.count() == 0) {
            return true;
        }
        if (now_ >= nextBurst_ + BurstTime) {
            const auto jitter = std::uniform_int_distribution<Duration::rep>(-options_.burstJitter.count(), options_.burstJitter.count())(random_);
            nextBurst_ += options_.burstInterval + Duration(jitter);
        }
        return now_ >= nextBurst_;
    }

    void retry()
    {
        if (!isRetrying()) {
            return;
        }
        for (Entry &entry : entries_) {
            for (std::size_t count = 0; entry.allowance && count < MaxRetriesPerStep && entry.allowance->tryRetry(now_); ++count) {
                const BootTime arrives = now_ + Duration(std::uniform_int_distribution<int>(1, 5)(random_));
                arrivals_.push_back(std::max(arrives, heldUntil_));
            }
        }
    }

    static double countBetween(const std::vector<BootTime> &times, BootTime from, BootTime to)
    {
        return static_cast<double>(std::lower_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from));
    }

    Options options_;
    Random random_;
    BootTime now_ = Start;
    std::vector<Entry> entries_;
    std::vector<BootTime> requests_;
    std::vector<BootTime> arrivals_;
    double trafficFactor_ = 1;
    BootTime nextTraffic_;
    BootTime heldUntil_ = Start;
    BootTime nextKill_;
    BootTime nextJoin_;
    BootTime nextBurst_;
};

} // namespace magnolia::routing

#endif
