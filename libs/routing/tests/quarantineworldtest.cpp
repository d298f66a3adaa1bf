#include "base/random.h"
#include "routing/quarantine.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::routing
{

namespace
{

using namespace std::chrono_literals;

// Documented bound on dispatches of a crashing request after all entries had PropagationTime to learn of its third crash.
constexpr int MaxFurtherDispatches = 3;
constexpr Duration PropagationTime = 3000ms;

constexpr std::size_t EntryCount = 5;
constexpr std::size_t EndpointCount = 12;
constexpr int MaxAttempts = 3;
constexpr Duration SimulatedTime = 60s;

const std::string Crashing = "crashing";
const std::string Common = "common";

/** Discrete event simulation of entries with quarantines, the exchange of reports between them, and endpoints that crash and restart. All times are drawn from
 * the seed. */
class QuarantineWorld
{
public:
    explicit QuarantineWorld(std::uint64_t seed) : random_(seed), endpoints_(EndpointCount)
    {
        for (std::size_t entry = 0; entry < EntryCount; ++entry) {
            entries_.push_back(std::make_unique<Quarantine>(Quarantine::Options{}));
        }
        schedule(drawDuration(0, 1000), [this] { sendCommon(); });
        schedule(drawDuration(0, 1000), [this] { sendOther(); });
        schedule(drawDuration(3000, 8000), [this] { sendCrashing(); });
        schedule(drawDuration(5000, 20000), [this] { crashSeveralEndpoints(); });
        schedule(drawDuration(5000, 20000), [this] { restartEntry(); });
    }

    void run()
    {
        while (!events_.empty() && now_ < End) {
            const auto next = events_.begin();
            now_ = next->first;
            const auto action = std::move(next->second);
            events_.erase(next);
            action();
        }
    }

    int furtherDispatches = 0; ///< Dispatches of the crashing request later than PropagationTime after its third crash.
    int crashCount = 0;
    int reportsOfCrashing = 0; ///< Crashes of endpoints that ran the crashing request, for whatever reason.
    int commonRejected = 0;
    int commonAnswered = 0;
    int othersQuarantined = 0;

private:
    static constexpr BootTime Begin = BootTime(1h);
    static constexpr BootTime End = Begin + SimulatedTime;

    struct Run {
        std::size_t entry = 0;
        std::string fingerprint;
        std::uint32_t ordinal = 1;
        int attempt = 1;
        std::uint64_t number = 0;
    };

    struct Endpoint {
        bool isUp = true;
        std::vector<Run> runs;
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

    void sendCommon()
    {
        send({.entry = drawIndex(EntryCount), .fingerprint = Common});
        schedule(drawDuration(20, 200), [this] { sendCommon(); });
    }

    void sendOther()
    {
        send({.entry = drawIndex(EntryCount), .fingerprint = "other " + std::to_string(++others_)});
        schedule(drawDuration(10, 60), [this] { sendOther(); });
    }

    /** Sends the crashing request, sometimes to two entries at once, and schedules the next time. */
    void sendCrashing()
    {
        const std::size_t copies = 1 + (drawIndex(4) == 0 ? 1 : 0);
        for (std::size_t copy = 0; copy < copies; ++copy) {
            send({.entry = drawIndex(EntryCount), .fingerprint = Crashing});
        }
        schedule(drawDuration(200, 5000), [this] { sendCrashing(); });
    }

    void crashSeveralEndpoints()
    {
        for (std::size_t endpoint = 0; endpoint < EndpointCount; ++endpoint) {
            if (drawIndex(5) == 0) {
                crashEndpoint(endpoint);
            }
        }
        schedule(drawDuration(4000, 20000), [this] { crashSeveralEndpoints(); });
    }

    /** Replaces an entry by a new process, which reads the reports from the store. */
    void restartEntry()
    {
        const std::size_t entry = drawIndex(EntryCount);
        entries_[entry] = std::make_unique<Quarantine>(Quarantine::Options{});
        for (const auto &[key, endedAt] : stored_) {
            (void)entries_[entry]->addReport({.fingerprint = key.first, .ordinal = key.second, .endedAt = endedAt}, now_);
        }
        schedule(drawDuration(5000, 20000), [this] { restartEntry(); });
    }

    void send(Run run)
    {
        Quarantine &quarantine = *entries_[run.entry];
        if (quarantine.timeLeft(run.fingerprint, now_)) {
            commonRejected += run.fingerprint == Common ? 1 : 0;
            othersQuarantined += run.fingerprint != Common && run.fingerprint != Crashing ? 1 : 0;
            return;
        }
        const std::size_t index = drawIndex(EndpointCount);
        if (!endpoints_[index].isUp) {
            schedule(drawDuration(5, 50), [this, run] { send(run); }); // Rejected there: it is retried at another endpoint after a while.
            return;
        }
        const bool isCrashing = run.fingerprint == Crashing;
        if (isCrashing && crashCount >= 3 && now_ > thirdCrashAt_ + PropagationTime) {
            ++furtherDispatches;
        }
        run.ordinal = quarantine.nextOrdinal(run.fingerprint);
        run.number = ++lastRun_;
        endpoints_[index].runs.push_back(run);
        const Duration time = isCrashing ? drawDuration(1, 400) : drawDuration(100, 1500);
        schedule(time, [this, index, number = run.number, isCrashing] { isCrashing ? crash(index, number) : answer(index, number); });
    }

    bool isRunning(std::size_t index, std::uint64_t number) const
    {
        return std::any_of(endpoints_[index].runs.begin(), endpoints_[index].runs.end(), [number](const Run &run) { return run.number == number; });
    }

    void crash(std::size_t index, std::uint64_t number)
    {
        if (!isRunning(index, number)) {
            return; // Its endpoint has crashed already.
        }
        if (++crashCount == 3) {
            thirdCrashAt_ = now_;
        }
        crashEndpoint(index);
    }

    void answer(std::size_t index, std::uint64_t number)
    {
        std::vector<Run> &runs = endpoints_[index].runs;
        const auto found = std::find_if(runs.begin(), runs.end(), [number](const Run &run) { return run.number == number; });
        if (found == runs.end()) {
            return;
        }
        const Run run = *found;
        runs.erase(found);
        commonAnswered += run.fingerprint == Common ? 1 : 0;
        for (const std::uint32_t ordinal : entries_[run.entry]->onAnswered(run.fingerprint, now_)) {
            withdraw(run.fingerprint, ordinal);
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
    }

    void onCrashDetected(Run run)
    {
        reportsOfCrashing += run.fingerprint == Crashing ? 1 : 0;
        const CrashReport report{.fingerprint = run.fingerprint, .ordinal = run.ordinal, .endedAt = now_};
        if (entries_[run.entry]->addReport(report, now_)) {
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
        stored_[{report.fingerprint, report.ordinal}] = report.endedAt;
        for (std::size_t entry = 0; entry < EntryCount; ++entry) {
            schedule(drawDuration(5, 150), [this, entry, report] {
                if (entries_[entry]->wasAnsweredRecently(report.fingerprint)) {
                    withdraw(report.fingerprint, report.ordinal);
                } else {
                    (void)entries_[entry]->addReport(report, now_);
                }
            });
        }
    }

    void withdraw(const std::string &fingerprint, std::uint32_t ordinal)
    {
        schedule(drawDuration(25, 60), [this, fingerprint, ordinal] {
            stored_.erase({fingerprint, ordinal});
            for (std::size_t entry = 0; entry < EntryCount; ++entry) {
                schedule(drawDuration(5, 150), [this, entry, fingerprint, ordinal] { entries_[entry]->withdraw(fingerprint, ordinal); });
            }
        });
    }

    Random random_;
    BootTime now_ = Begin;
    std::multimap<BootTime, std::function<void()>> events_;
    std::vector<std::unique_ptr<Quarantine>> entries_;
    std::vector<Endpoint> endpoints_;
    std::map<std::pair<std::string, std::uint32_t>, BootTime> stored_;
    BootTime thirdCrashAt_;
    std::uint64_t lastRun_ = 0;
    int others_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineWorldTest)

// Guards against a crashing request being dispatched further, and a common one being rejected, for any order of reports, crashes, answers and restarts.
BOOST_AUTO_TEST_CASE(entries_randomOrderOfReportsCrashesAndRestarts_dispatchesAreBoundedAndCommonRequestIsServed)
{
    constexpr std::uint64_t Seeds = 200;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        QuarantineWorld world(seed);
        world.run();
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(world.reportsOfCrashing >= 2);
            BOOST_TEST(world.furtherDispatches <= MaxFurtherDispatches);
            BOOST_TEST(world.commonRejected == 0);
            BOOST_TEST(world.commonAnswered > 100);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
