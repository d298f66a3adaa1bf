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

// The stated bound: so many sendings are allowed once all entries have had this time to learn of the third end.
constexpr int MostFurtherSendings = 3;
constexpr Duration LearningTime = 3000ms;

constexpr std::size_t EntryCount = 5;
constexpr std::size_t EndpointCount = 12;
constexpr int MostAttempts = 3;
constexpr Duration Day = 60s;

const std::string Crashing = "crashing";
const std::string Common = "common";

/** Entries with their quarantines, reports that travel between them, endpoints that end and come back; all times drawn by seed. */
class QuarantineWorld
{
public:
    explicit QuarantineWorld(std::uint64_t seed) : random_(seed), endpoints_(EndpointCount)
    {
        for (std::size_t entry = 0; entry < EntryCount; ++entry) {
            entries_.push_back(std::make_unique<Quarantine>(Quarantine::Options{}));
        }
        schedule(drawn(0, 1000), [this] { commonComes(); });
        schedule(drawn(0, 1000), [this] { otherComes(); });
        schedule(drawn(3000, 8000), [this] { crashingComes(); });
        schedule(drawn(5000, 20000), [this] { waveOfEnds(); });
        schedule(drawn(5000, 20000), [this] { entryRestarts(); });
    }

    void run()
    {
        while (!events_.empty() && now_ < End) {
            const auto next = events_.begin();
            now_ = next->first;
            const auto act = std::move(next->second);
            events_.erase(next);
            act();
        }
    }

    int furtherSendings = 0; ///< Of the crashing request, once all had time to learn of its third end.
    int endsByCrashing = 0;
    int endsUnderCrashing = 0; ///< These, and those for other reasons while it ran.
    int commonRefused = 0;
    int commonAnswered = 0;
    int othersQuarantined = 0;

private:
    static constexpr BootTime Begin = BootTime(1h);
    static constexpr BootTime End = Begin + Day;

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

    Duration drawn(int least, int most)
    {
        return Duration(std::uniform_int_distribution<int>(least, most)(random_));
    }
    std::size_t drawnIndex(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }
    void schedule(Duration later, std::function<void()> act)
    {
        events_.emplace(now_ + later, std::move(act));
    }

    void commonComes()
    {
        send({.entry = drawnIndex(EntryCount), .fingerprint = Common});
        schedule(drawn(20, 200), [this] { commonComes(); });
    }

    void otherComes()
    {
        send({.entry = drawnIndex(EntryCount), .fingerprint = "other " + std::to_string(++others_)});
        schedule(drawn(10, 60), [this] { otherComes(); });
    }

    /** It comes again after seconds, now and then at two entries at once. */
    void crashingComes()
    {
        const std::size_t copies = 1 + (drawnIndex(4) == 0 ? 1 : 0);
        for (std::size_t copy = 0; copy < copies; ++copy) {
            send({.entry = drawnIndex(EntryCount), .fingerprint = Crashing});
        }
        schedule(drawn(200, 5000), [this] { crashingComes(); });
    }

    void waveOfEnds()
    {
        for (std::size_t endpoint = 0; endpoint < EndpointCount; ++endpoint) {
            if (drawnIndex(5) == 0) {
                endpointEnds(endpoint);
            }
        }
        schedule(drawn(4000, 20000), [this] { waveOfEnds(); });
    }

    /** The new process reads what the store holds. */
    void entryRestarts()
    {
        const std::size_t entry = drawnIndex(EntryCount);
        entries_[entry] = std::make_unique<Quarantine>(Quarantine::Options{});
        for (const auto &[key, endedAt] : stored_) {
            (void)entries_[entry]->addReport({.fingerprint = key.first, .ordinal = key.second, .endedAt = endedAt}, now_);
        }
        schedule(drawn(5000, 20000), [this] { entryRestarts(); });
    }

    void send(Run run)
    {
        Quarantine &quarantine = *entries_[run.entry];
        if (quarantine.timeLeft(run.fingerprint, now_)) {
            commonRefused += run.fingerprint == Common ? 1 : 0;
            othersQuarantined += run.fingerprint != Common && run.fingerprint != Crashing ? 1 : 0;
            return;
        }
        const std::size_t index = drawnIndex(EndpointCount);
        if (!endpoints_[index].isUp) {
            schedule(drawn(5, 50), [this, run] { send(run); }); // Refused there: it waits and is tried elsewhere.
            return;
        }
        const bool isCrashing = run.fingerprint == Crashing;
        if (isCrashing && endsByCrashing >= 3 && now_ > thirdEnd_ + LearningTime) {
            ++furtherSendings;
        }
        run.ordinal = quarantine.nextOrdinal(run.fingerprint);
        run.number = ++lastRun_;
        endpoints_[index].runs.push_back(run);
        const Duration time = isCrashing ? drawn(1, 400) : drawn(100, 1500);
        schedule(time, [this, index, number = run.number, isCrashing] { isCrashing ? crash(index, number) : answer(index, number); });
    }

    bool holds(std::size_t index, std::uint64_t number) const
    {
        return std::any_of(endpoints_[index].runs.begin(), endpoints_[index].runs.end(), [number](const Run &run) { return run.number == number; });
    }

    void crash(std::size_t index, std::uint64_t number)
    {
        if (!holds(index, number)) {
            return; // Its endpoint ended before.
        }
        if (++endsByCrashing == 3) {
            thirdEnd_ = now_;
        }
        endpointEnds(index);
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

    void endpointEnds(std::size_t index)
    {
        Endpoint &endpoint = endpoints_[index];
        if (!endpoint.isUp) {
            return;
        }
        endpoint.isUp = false;
        schedule(drawn(1000, 1500), [this, index] { endpoints_[index].isUp = true; });
        for (const Run &run : std::exchange(endpoint.runs, {})) {
            schedule(drawn(1, 5), [this, run] { endSeen(run); });
        }
    }

    void endSeen(Run run)
    {
        endsUnderCrashing += run.fingerprint == Crashing ? 1 : 0;
        const CrashReport report{.fingerprint = run.fingerprint, .ordinal = run.ordinal, .endedAt = now_};
        if (entries_[run.entry]->addReport(report, now_)) {
            schedule(drawn(25, 60), [this, report] { share(report); });
        }
        if (run.attempt < MostAttempts) {
            ++run.attempt;
            send(run);
        }
    }

    /** The store has the report; each entry asks for changes at its own moments. */
    void share(const CrashReport &report)
    {
        stored_[{report.fingerprint, report.ordinal}] = report.endedAt;
        for (std::size_t entry = 0; entry < EntryCount; ++entry) {
            schedule(drawn(5, 150), [this, entry, report] {
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
        schedule(drawn(25, 60), [this, fingerprint, ordinal] {
            stored_.erase({fingerprint, ordinal});
            for (std::size_t entry = 0; entry < EntryCount; ++entry) {
                schedule(drawn(5, 150), [this, entry, fingerprint, ordinal] { entries_[entry]->withdraw(fingerprint, ordinal); });
            }
        });
    }

    Random random_;
    BootTime now_ = Begin;
    std::multimap<BootTime, std::function<void()>> events_;
    std::vector<std::unique_ptr<Quarantine>> entries_;
    std::vector<Endpoint> endpoints_;
    std::map<std::pair<std::string, std::uint32_t>, BootTime> stored_;
    BootTime thirdEnd_;
    std::uint64_t lastRun_ = 0;
    int others_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(QuarantineWorldTest)

// Guards against a request that ends endpoints being sent on, and a common one being refused, whatever the order of reports, ends, answers and restarts.
BOOST_AUTO_TEST_CASE(entries_reportsEndsAndRestartsInAnyOrder_boundHoldsAndCommonRequestIsServed)
{
    constexpr std::uint64_t Seeds = 200;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        QuarantineWorld world(seed);
        world.run();
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(world.endsUnderCrashing >= 2);
            BOOST_TEST(world.furtherSendings <= MostFurtherSendings);
            BOOST_TEST(world.commonRefused == 0);
            BOOST_TEST(world.commonAnswered > 100);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::routing
