// Issue 5, item 2: 1.5 times the capacity while a fifth of the endpoints fails or is slow, and what Retry-After is worth.
//
// Four entries before 20 endpoints with 8 slots each. For a while two endpoints fail each attempt at once and two are five times
// slower. Capacity is that of the endpoints that work, the slow ones counted by what they manage. Work that is not whole by its
// deadline is cut and counts for nothing.
#include "benchsupport.h"
#include "policy/admissionqueue.h"
#include "policy/endpointchooser.h"
#include "policy/endpointhealth.h"
#include "policy/retrybudget.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>

using namespace magnolia;
using namespace magnolia::bench;
using namespace magnolia::policy;

namespace
{

constexpr std::size_t Endpoints = 20;
constexpr std::size_t Entries = 4;
constexpr std::uint32_t Slots = 8;
constexpr std::size_t Organisations = 10;
constexpr double FirstToken = 0.1;
constexpr double MeanRest = 0.9;
constexpr double SlowFactor = 5;
constexpr std::size_t Failing = 2; ///< Endpoints 0 and 1 fail, 2 and 3 are slow.
constexpr std::size_t Faulty = 4;
constexpr double HopDelay = 0.001;
constexpr double Timeout = 10;
constexpr double WarmUp = 30;
constexpr double ReportInterval = 1;
constexpr double FullCapacity = Endpoints * Slots / (FirstToken + MeanRest); ///< Requests a second.
constexpr double FaultyCapacity = FullCapacity * (Endpoints - Faulty + (Faulty - Failing) / SlowFactor) / Endpoints;

struct Scenario {
    double faultFrom = 1e9; ///< Seconds from the begin.
    double faultTo = 1e9;
    double duration = 0;
    double load = 1.5; ///< Of FullCapacity.
    double burstFrom = 1e9;
    double burstTo = 1e9;
    double burstLoad = 3;
    int comebacks = 0; ///< Times that a refused caller comes back at Retry-After.
    double fixedRetryAfter = 0; ///< Told in place of the worked-out one, if above 0.
    bool plainRetries = false; ///< The baseline: three retries on any failure, no budget, no health, no refusal by deadline.
};

struct Outcome {
    double attemptsPerRequest = 0;
    double goodputBefore = 0; ///< Of the capacity at that time.
    double goodputFault = 0;
    double recovery = 0; ///< Seconds from the fault's end until two seconds' goodput is back at 95% of capacity.
    double refusalP95 = 0; ///< Seconds from arrival to refusal, without comebacks.
    double refusedLate = 0; ///< Share of the requests that are refused after they had been queued for a while.
    double comebackAdmitted = 0; ///< Share of first comebacks that are admitted at the first endpoint asked or a later one.
};

struct Request {
    std::uint64_t id = 0;
    std::size_t entry = 0;
    std::string organisation;
    MonoTime arrived;
    MonoTime deadline;
    double rest = 0;
    std::vector<EndpointKey> tried;
    std::size_t endpoint = 0;
    Duration retryAfter{0};
    std::uint32_t attempts = 0;
    int comeback = 0;
    std::uint64_t run = 0;
};

struct Entry {
    explicit Entry(std::uint64_t seed) : chooser({}), budget({}), random(seed) {}

    EndpointChooser chooser;
    RetryBudget budget;
    Random random;
    std::vector<Candidate> candidates;
    std::vector<EndpointHealth> health;
};

class Run
{
public:
    Run(const Scenario &scenario, std::uint64_t seed) : scenario_(scenario), random_(seed), begin_(loop_.now() + fromSeconds(WarmUp))
    {
        for (std::size_t i = 0; i < Endpoints; ++i) {
            queues_.push_back(std::make_unique<AdmissionQueue>(AdmissionQueue::Options{.limit = Slots, .refusesLate = !scenario.plainRetries}));
        }
        for (std::size_t i = 0; i < Entries; ++i) {
            entries_.push_back(std::make_unique<Entry>(seed + i + 1));
            for (std::size_t j = 0; j < Endpoints; ++j) {
                entries_.back()->candidates.push_back({.endpoint = endpointKey("engine-" + std::to_string(j)), .limit = Slots, .reportedAt = {}});
                entries_.back()->health.emplace_back(EndpointHealth::Options{});
            }
        }
        finished_.resize(static_cast<std::size_t>(scenario.duration) + 1);
    }

    Outcome run()
    {
        arrive();
        tick();
        for (std::size_t i = 0; i < Endpoints; ++i) {
            sendReport(i);
        }
        loop_.runUntil(begin_ + fromSeconds(scenario_.duration));
        Outcome outcome;
        outcome.attemptsPerRequest = static_cast<double>(attempts_) / static_cast<double>(requests_);
        const double settle = 5;
        outcome.goodputBefore = goodput(0, std::min(scenario_.faultFrom, scenario_.duration)) / FullCapacity;
        if (scenario_.faultTo < scenario_.duration) {
            outcome.goodputFault = goodput(scenario_.faultFrom + settle, scenario_.faultTo) / FaultyCapacity;
            outcome.recovery = recovery();
        }
        outcome.refusalP95 = percentile(refusalTimes_, 0.95);
        constexpr double AtOnce = 0.05;
        const auto late = std::ranges::count_if(refusalTimes_, [](double seconds) { return seconds > AtOnce; });
        outcome.refusedLate = static_cast<double>(late) / static_cast<double>(requests_);
        outcome.comebackAdmitted = comebacks_ > 0 ? static_cast<double>(comebacksAdmitted_) / comebacks_ : 0;
        return outcome;
    }

private:
    double sinceBegin() const
    {
        return toSeconds(loop_.now() - begin_);
    }

    bool isFault() const
    {
        return sinceBegin() >= scenario_.faultFrom && sinceBegin() < scenario_.faultTo;
    }

    double goodput(double from, double to) const
    {
        double sum = 0;
        for (auto second = static_cast<std::size_t>(from); second < static_cast<std::size_t>(to); ++second) {
            sum += finished_[second];
        }
        return sum / (std::floor(to) - std::floor(from));
    }

    double recovery() const
    {
        constexpr double Recovered = 0.95;
        constexpr double Window = 2;
        for (double second = scenario_.faultTo; second + Window < scenario_.duration; ++second) {
            if (goodput(second, second + Window) >= Recovered * FullCapacity) {
                return second - scenario_.faultTo + Window;
            }
        }
        return scenario_.duration - scenario_.faultTo;
    }

    void arrive()
    {
        const bool isBurst = sinceBegin() >= scenario_.burstFrom && sinceBegin() < scenario_.burstTo;
        const double rate = FullCapacity * (isBurst ? scenario_.burstLoad : scenario_.load);
        loop_.after(exponential(1 / rate, random_), [this] {
            Request request;
            request.organisation = "org-" + std::to_string(random_(Organisations));
            request.rest = exponential(MeanRest, random_);
            submit(std::move(request));
            arrive();
        });
    }

    void submit(Request request)
    {
        const std::uint64_t id = ++ids_;
        request.id = id;
        request.entry = random_(Entries);
        request.arrived = loop_.now();
        request.deadline = loop_.now() + fromSeconds(Timeout);
        requests_ += loop_.now() >= begin_ && request.comeback == 0 ? 1 : 0;
        works_.emplace(id, std::move(request));
        dispatch(id);
    }

    void dispatch(std::uint64_t id)
    {
        Request &request = works_.at(id);
        Entry &entry = *entries_[request.entry];
        if (!scenario_.plainRetries) {
            for (std::size_t i = 0; i < Endpoints; ++i) {
                entry.candidates[i].suspect = entry.health[i].isSuspect();
            }
            probeOne(entry, request);
        }
        const auto choices = entry.chooser.choose({.prefix = {}, .tried = request.tried, .cacheHints = {}}, entry.candidates, loop_.now(), entry.random);
        if (choices.empty()) {
            giveUp(id);
            return;
        }
        request.endpoint = probed_ ? *probed_ : choices.front().index;
        probed_.reset();
        request.tried.push_back(entry.candidates[request.endpoint].endpoint);
        ++request.attempts;
        attempts_ += loop_.now() >= begin_ && request.comeback == 0 ? 1 : 0;
        ++entry.candidates[request.endpoint].ownInFlight;
        loop_.after(HopDelay, [this, id] { receive(id); });
    }

    /** Lets this request be the probe of a suspect endpoint, if one is due. */
    void probeOne(Entry &entry, const Request &request)
    {
        for (std::size_t i = 0; i < Endpoints && request.tried.empty(); ++i) {
            if (entry.health[i].isSuspect() && entry.health[i].tryProbe(loop_.now(), entry.random)) {
                probed_ = i;
                return;
            }
        }
    }

    void receive(std::uint64_t id)
    {
        Request &request = works_.at(id);
        if (isFault() && request.endpoint < Failing) {
            answerLater(id, true);
            return;
        }
        AdmissionQueue &queue = *queues_[request.endpoint];
        const Ticket ticket{.id = {.request = {.high = 0, .low = id}, .attempt = request.attempts},
                            .organisation = request.organisation,
                            .priorityClass = wire::PriorityClass::Paying,
                            .weight = 1,
                            .promptTokens = 0,
                            .deadline = request.deadline,
                            .wholeAnswer = true,
                            .preemptible = false,
                            .started = false};
        const std::size_t endpoint = request.endpoint;
        const AdmissionDecision decision = queue.offer(ticket, loop_.now());
        if (decision.displaced) {
            refuse(decision.displaced->id.request.low, decision.displacedRetryAfter);
        }
        if (decision.admitted) {
            comebacksAdmitted_ += request.comeback == 1 ? 1 : 0;
        } else {
            refuse(id, decision.retryAfter);
        }
        pump(endpoint);
    }

    void refuse(std::uint64_t id, Duration retryAfter)
    {
        Request &request = works_.at(id);
        const Duration told = scenario_.fixedRetryAfter > 0 ? std::chrono::duration_cast<Duration>(fromSeconds(scenario_.fixedRetryAfter)) : retryAfter;
        request.retryAfter = request.retryAfter.count() == 0 ? told : std::min(request.retryAfter, told);
        answerLater(id, false);
    }

    /** The endpoint's refusal or failure reaches the entry, which tries again or tells the caller. */
    void answerLater(std::uint64_t id, bool failed)
    {
        loop_.after(HopDelay, [this, id, failed] {
            Request &request = works_.at(id);
            Entry &entry = *entries_[request.entry];
            Candidate &candidate = entry.candidates[request.endpoint];
            --candidate.ownInFlight;
            if (failed) {
                entry.health[request.endpoint].failed(loop_.now(), entry.random);
            } else {
                // Load rides on refusals.
                noteLoad(candidate, request.endpoint);
            }
            constexpr std::uint32_t PlainAttempts = 4;
            const bool mayRetry = scenario_.plainRetries ? request.attempts < PlainAttempts : entry.budget.tryRetry(loop_.now());
            if (mayRetry && loop_.now() < request.deadline) {
                dispatch(id);
            } else {
                giveUp(id);
            }
        });
    }

    void giveUp(std::uint64_t id)
    {
        Request request = std::move(works_.at(id));
        works_.erase(id);
        if (loop_.now() >= begin_ && request.comeback == 0) {
            refusalTimes_.push_back(toSeconds(loop_.now() - request.arrived));
        }
        if (request.comeback >= scenario_.comebacks) {
            return;
        }
        const double wait = std::max(toSeconds(request.retryAfter), HopDelay);
        Request again;
        again.organisation = request.organisation;
        again.rest = request.rest;
        again.comeback = request.comeback + 1;
        comebacks_ += again.comeback == 1 ? 1 : 0;
        loop_.after(wait, [this, again] { submit(again); });
    }

    void pump(std::size_t index)
    {
        while (const auto ticket = queues_[index]->next(loop_.now())) {
            const std::uint64_t id = ticket->id.request.low;
            Request &request = works_.at(id);
            const double factor = isFault() && index >= Failing && index < Faulty ? SlowFactor : 1;
            const MonoTime started = loop_.now();
            const MonoTime done = started + fromSeconds((FirstToken + request.rest) * factor);
            const bool isWhole = done <= request.deadline;
            loop_.at(std::min(done, request.deadline), [this, id, index, started, factor, isWhole, attempt = ticket->id] {
                end(id, index, attempt, {.firstToken = fromSeconds(FirstToken * factor), .total = loop_.now() - started, .outputTokens = 0, .valid = isWhole});
            });
        }
    }

    void end(std::uint64_t id, std::size_t index, const wire::AttemptId &attempt, const ServiceSample &sample)
    {
        queues_[index]->finished(attempt, sample, loop_.now());
        const Request &request = works_.at(id);
        Entry &entry = *entries_[request.entry];
        --entry.candidates[index].ownInFlight;
        if (sample.valid) {
            entry.health[index].succeeded();
            entry.budget.succeeded(loop_.now());
            const double second = sinceBegin();
            if (second >= 0 && second < scenario_.duration) {
                ++finished_[static_cast<std::size_t>(second)];
            }
        }
        works_.erase(id);
        pump(index);
    }

    void tick()
    {
        for (std::size_t i = 0; i < Endpoints; ++i) {
            for (const ExpiredTicket &expired : queues_[i]->expire(loop_.now())) {
                refuse(expired.ticket.id.request.low, expired.retryAfter);
            }
            pump(i);
        }
        constexpr double TickSeconds = 0.05;
        loop_.after(TickSeconds, [this] { tick(); });
    }

    void noteLoad(Candidate &candidate, std::size_t index)
    {
        const QueueLoad load = queues_[index]->load(loop_.now());
        candidate.reportedLoad = load.running + load.queuedPaying + load.queuedTrial;
        candidate.ownAtReport = candidate.ownInFlight;
        candidate.reportedAt = loop_.now();
    }

    void sendReport(std::size_t index)
    {
        for (const auto &entry : entries_) {
            noteLoad(entry->candidates[index], index);
        }
        loop_.after(ReportInterval, [this, index] { sendReport(index); });
    }

    const Scenario &scenario_;
    EventLoop loop_;
    Random random_;
    MonoTime begin_;
    std::vector<std::unique_ptr<AdmissionQueue>> queues_;
    std::vector<std::unique_ptr<Entry>> entries_;
    std::unordered_map<std::uint64_t, Request> works_;
    std::optional<std::size_t> probed_; ///< Endpoint that the request in hand probes.
    std::uint64_t ids_ = 0;
    std::uint64_t requests_ = 0;
    std::uint64_t attempts_ = 0;
    int comebacks_ = 0;
    int comebacksAdmitted_ = 0;
    std::vector<int> finished_; ///< Per second since the begin.
    std::vector<double> refusalTimes_;
};

Outcome measure(std::string_view name, const Scenario &scenario)
{
    constexpr std::uint64_t Seed = 9;
    const Outcome outcome = Run(scenario, Seed).run();
    fmt::print("{:36} {:9.3f} {:9.3f} {:9.3f} {:9.1f} {:11.1f} {:9.3f} {:9.3f}\n",
               name,
               outcome.attemptsPerRequest,
               outcome.goodputBefore,
               outcome.goodputFault,
               outcome.recovery,
               outcome.refusalP95 * 1000,
               outcome.refusedLate,
               outcome.comebackAdmitted);
    return outcome;
}

} // namespace

int main(int argc, char **argv)
{
    const BenchOptions options = parseOptions(argc, argv);
    const double phase = options.quick ? 60 : 300;
    const Scenario fault{.faultFrom = phase, .faultTo = 2 * phase, .duration = 3 * phase};
    Scenario plain = fault;
    plain.plainRetries = true;
    const Scenario burst{.duration = 120, .load = 0.6, .burstFrom = 20, .burstTo = 30, .comebacks = 1};
    Scenario burstFixed = burst;
    burstFixed.fixedRetryAfter = 1;

    fmt::print("{} endpoints, a fifth of them faulty; phases of {} s\n", Endpoints, phase);
    fmt::print("{:36} {:>9} {:>9} {:>9} {:>9} {:>11} {:>9} {:>9}\n", "", "attempts", "goodput", "in fault", "recovery", "refusal ms", "late", "comeback");
    const Outcome ours = measure("1.5 x capacity", fault);
    const Outcome baseline = measure("  plain retries", plain);
    const Outcome burstOurs = measure("burst of 3 x, callers come back", burst);
    const Outcome burstBaseline = measure("  Retry-After: 1 s for all", burstFixed);

    report(
        {.name = "overload_attempts_per_request", .value = ours.attemptsPerRequest, .unit = "attempts", .baseline = baseline.attemptsPerRequest, .goal = 1.1});
    report({.name = "overload_goodput",
            .value = ours.goodputBefore,
            .unit = "share",
            .baseline = baseline.goodputBefore,
            .goal = 0.95,
            .kind = GoalKind::AtLeast});
    report({.name = "overload_fault_goodput",
            .value = ours.goodputFault,
            .unit = "share",
            .baseline = baseline.goodputFault,
            .goal = 0.95,
            .kind = GoalKind::AtLeast});
    report({.name = "overload_recovery", .value = ours.recovery, .unit = "s", .baseline = baseline.recovery, .goal = 5});
    report({.name = "overload_refusal_p95", .value = ours.refusalP95 * 1000, .unit = "ms", .baseline = baseline.refusalP95 * 1000, .goal = 50});
    report({.name = "retry_after_admitted",
            .value = burstOurs.comebackAdmitted,
            .unit = "share",
            .baseline = burstBaseline.comebackAdmitted,
            .goal = 0.9,
            .kind = GoalKind::AtLeast});
    return 0;
}
