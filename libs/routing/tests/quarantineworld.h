#ifndef MAGNOLIA_ROUTING_TESTS_QUARANTINEWORLD_H
#define MAGNOLIA_ROUTING_TESTS_QUARANTINEWORLD_H

#include "base/random.h"
#include "routing/quarantine.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::routing
{

/**
 * Discrete event simulation of entries with quarantines, the exchange of reports between them, and endpoints that crash and restart. All times are drawn
 * from the seed.
 */
class QuarantineWorld
{
public:
    /** Requests that are sent from time to time. */
    struct Kind {
        std::string name{};
        std::vector<std::string> parts{}; ///< Shared parts of their prompts.
        bool isUnique = false; ///< No two of them are alike.
        bool isCrashing = false;
        int maxCopies = 1; ///< Sent to several entries at once, at times.
        int leastPause = 0; ///< In milliseconds.
        int mostPause = 0;
        Duration firstAt{0};
    };

    struct Options {
        std::uint64_t seed = 0;
        std::vector<Kind> kinds{};
        bool isGroup = false; ///< While an endpoint is down, none of them runs anything.
        int learningCrashes = 3; ///< Crashes by crashing requests after which further dispatches are counted.
        Duration propagationTime{3000}; ///< How much later.
        Duration simulatedTime{60000};
        int entries = 5;
        int leastRestartPause = 5000; ///< Between restarts of entries, in milliseconds.
        int leastStrayPause = 4000; ///< Between crashes of several endpoints for other reasons, in milliseconds.
    };

    struct Tally {
        int sent = 0;
        int rejected = 0; ///< At their first attempt.
        int rejectedAtAnyAttempt = 0;
        int answered = 0;
        int crashed = 0; ///< Attempts whose endpoint crashed, for whatever reason.
    };

    explicit QuarantineWorld(Options options) : options_(std::move(options)), random_(options_.seed), endpoints_(EndpointCount)
    {
        for (int entry = 0; entry < options_.entries; ++entry) {
            entries_.push_back(std::make_unique<Quarantine>(Quarantine::Options{}));
        }
        for (const Kind &kind : options_.kinds) {
            schedule(kind.firstAt + drawDuration(0, kind.mostPause), [this, &kind] { sendKind(kind); });
        }
        schedule(drawDuration(5000, 20000), [this] { crashSeveralEndpoints(); });
        schedule(drawDuration(5000, 20000), [this] { restartEntry(); });
    }

    void run()
    {
        while (!events_.empty() && now_ < Begin + options_.simulatedTime) {
            const auto next = events_.begin();
            now_ = next->first;
            const auto action = std::move(next->second);
            events_.erase(next);
            action();
        }
    }

    /** @return what became of the requests of a kind that were sent in the second half of the time. */
    const Tally &lateTally(const std::string &kind)
    {
        return late_[kind];
    }

    const Tally &tally(const std::string &kind)
    {
        return whole_[kind];
    }

    int furtherDispatches = 0; ///< Of crashing requests, once the entries should know.
    int crashCount = 0; ///< By crashing requests.

private:
    static constexpr BootTime Begin = BootTime(std::chrono::hours(1));
    static constexpr std::size_t EndpointCount = 12;
    static constexpr int MaxAttempts = 3;
    static constexpr Duration StallTime{1500}; ///< After this time the other endpoints of a group cut what they were running.
    static constexpr int MaxWaits = 4; ///< How often a request is sent again to a group that does not run.

    struct Run {
        std::size_t entry = 0;
        const Kind *kind = nullptr;
        CrashCauses causes{};
        std::vector<CrashSuspect> suspects{};
        int attempt = 1;
        int waits = 0;
        bool isTrial = false;
        bool isLate = false;
        std::uint64_t number = 0;
    };

    struct Endpoint {
        bool isUp = true;
        std::vector<Run> runs{};
    };

    Duration drawDuration(int least, int most)
    {
        return Duration(std::uniform_int_distribution<int>(least, most)(random_));
    }
    std::size_t drawIndex(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }
    void schedule(Duration delay, std::function<void()> action)
    {
        events_.emplace(now_ + delay, std::move(action));
    }

    void count(const Run &run, int Tally::*member)
    {
        ++(whole_[run.kind->name].*member);
        if (run.isLate) {
            ++(late_[run.kind->name].*member);
        }
    }

    void sendKind(const Kind &kind)
    {
        const std::size_t copies = drawIndex(4) == 0 ? static_cast<std::size_t>(kind.maxCopies) : 1;
        for (std::size_t copy = 0; copy < copies; ++copy) {
            Run run{.entry = drawIndex(entries_.size()), .kind = &kind, .isLate = now_ > Begin + options_.simulatedTime / 2};
            run.causes.request = kind.isUnique ? kind.name + " " + std::to_string(++uniqueRequests_) : kind.name;
            for (const std::string &part : kind.parts) {
                run.causes.promptParts.push_back(fingerprintOfPromptPart("s", part));
            }
            count(run, &Tally::sent);
            send(run);
        }
        schedule(drawDuration(kind.leastPause, kind.mostPause), [this, &kind] { sendKind(kind); });
    }

    void crashSeveralEndpoints()
    {
        for (std::size_t endpoint = 0; endpoint < EndpointCount; ++endpoint) {
            if (drawIndex(5) == 0) {
                crashEndpoint(endpoint);
            }
        }
        schedule(drawDuration(options_.leastStrayPause, 20000), [this] { crashSeveralEndpoints(); });
    }

    /** Replaces an entry by a new process, which reads the reports from the store. */
    void restartEntry()
    {
        const std::size_t entry = drawIndex(entries_.size());
        entries_[entry] = std::make_unique<Quarantine>(Quarantine::Options{});
        for (const auto &[key, report] : stored_) {
            (void)entries_[entry]->addReport(report, now_);
        }
        schedule(drawDuration(options_.leastRestartPause, 20000), [this] { restartEntry(); });
    }

    bool isRunning() const
    {
        return !options_.isGroup || std::all_of(endpoints_.begin(), endpoints_.end(), [](const Endpoint &endpoint) { return endpoint.isUp; });
    }

    void send(Run run)
    {
        Quarantine &quarantine = *entries_[run.entry];
        const auto admission = quarantine.admit({.causes = run.causes, .isTrial = run.isTrial, .instances = entries_.size()}, now_, random_);
        if (admission.kind == Quarantine::Admission::Kind::Rejected) {
            count(run, &Tally::rejectedAtAnyAttempt);
            if (run.attempt == 1) {
                count(run, &Tally::rejected);
            }
            return;
        }
        run.isTrial = admission.kind == Quarantine::Admission::Kind::Trial;
        const std::size_t index = drawIndex(EndpointCount);
        if (!isRunning()) {
            if (run.waits < MaxWaits) {
                ++run.waits;
                schedule(drawDuration(200, 1000), [this, run] { send(run); });
            }
            return;
        }
        if (!endpoints_[index].isUp) {
            schedule(drawDuration(5, 50), [this, run] { send(run); }); // Rejected there: it is retried at another endpoint after a while.
            return;
        }
        if (run.kind->isCrashing && crashCount >= options_.learningCrashes && now_ > learntAt_ + options_.propagationTime) {
            ++furtherDispatches;
        }
        run.suspects = quarantine.suspectsOf(run.causes, now_);
        run.number = ++lastRun_;
        endpoints_[index].runs.push_back(run);
        const bool isCrashing = run.kind->isCrashing;
        const Duration time = isCrashing ? drawDuration(1, 400) : drawDuration(100, 1500);
        schedule(time, [this, index, number = run.number, isCrashing] { isCrashing ? crash(index, number) : answer(index, number); });
    }

    std::vector<Run>::iterator findRun(std::size_t index, std::uint64_t number)
    {
        std::vector<Run> &runs = endpoints_[index].runs;
        return std::find_if(runs.begin(), runs.end(), [number](const Run &run) { return run.number == number; });
    }

    void crash(std::size_t index, std::uint64_t number)
    {
        if (findRun(index, number) == endpoints_[index].runs.end()) {
            return; // Its endpoint has crashed already, or its group was cut.
        }
        if (++crashCount == options_.learningCrashes) {
            learntAt_ = now_;
        }
        crashEndpoint(index);
    }

    void answer(std::size_t index, std::uint64_t number)
    {
        const auto found = findRun(index, number);
        if (found == endpoints_[index].runs.end() || !isRunning()) {
            return;
        }
        const Run run = *found;
        endpoints_[index].runs.erase(found);
        count(run, &Tally::answered);
        for (const CrashReport &report : entries_[run.entry]->onAnswered(run.causes, now_)) {
            withdraw(report);
        }
    }

    void crashEndpoint(std::size_t index)
    {
        Endpoint &endpoint = endpoints_[index];
        if (!endpoint.isUp) {
            return;
        }
        endpoint.isUp = false;
        schedule(drawDuration(1000, 1500), [this, index] { endpoints_[index].isUp = true; });
        for (const Run &run : std::exchange(endpoint.runs, {})) {
            schedule(drawDuration(1, 5), [this, run] { onCrashDetected(run); });
        }
        if (options_.isGroup) {
            schedule(StallTime, [this, last = lastRun_] { cutStalledRuns(last); });
        }
    }

    /** The endpoints of the group that live cut what they were running when one of them crashed. */
    void cutStalledRuns(std::uint64_t last)
    {
        for (Endpoint &endpoint : endpoints_) {
            for (const Run &run : endpoint.runs) {
                if (run.number <= last) {
                    entries_[run.entry]->onBrokenOffAtLiveEndpoint(run.suspects);
                }
            }
            std::erase_if(endpoint.runs, [last](const Run &run) { return run.number <= last; });
        }
    }

    void onCrashDetected(Run run)
    {
        count(run, &Tally::crashed);
        for (const CrashReport &report : entries_[run.entry]->onCrash(run.suspects, now_)) {
            schedule(drawDuration(25, 60), [this, report] { share(report); });
        }
        if (run.attempt < MaxAttempts) {
            ++run.attempt;
            send(run);
        }
    }

    /** Writes the report to the store, from which each entry polls it at its own time. */
    void share(const CrashReport &report)
    {
        stored_[{report.fingerprint, report.ordinal}] = report;
        for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
            schedule(drawDuration(5, 150), [this, entry, report] {
                if (!entries_[entry]->addReport(report, now_) && entries_[entry]->isRefuted(report)) {
                    withdraw(report);
                }
            });
        }
    }

    void withdraw(const CrashReport &report)
    {
        schedule(drawDuration(25, 60), [this, report] {
            stored_.erase({report.fingerprint, report.ordinal});
            for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
                schedule(drawDuration(5, 150), [this, entry, report] { entries_[entry]->withdraw(report.fingerprint, report.ordinal); });
            }
        });
    }

    Options options_;
    Random random_;
    BootTime now_ = Begin;
    std::multimap<BootTime, std::function<void()>> events_;
    std::vector<std::unique_ptr<Quarantine>> entries_;
    std::vector<Endpoint> endpoints_;
    std::map<std::pair<std::string, std::uint32_t>, CrashReport> stored_;
    std::map<std::string, Tally> whole_;
    std::map<std::string, Tally> late_;
    BootTime learntAt_;
    std::uint64_t lastRun_ = 0;
    int uniqueRequests_ = 0;
};

} // namespace magnolia::routing

#endif
