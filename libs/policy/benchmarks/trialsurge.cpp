// Issue 5, item 1: a surge of trial work at ten times capacity against steady paying work at one endpoint.
//
// The endpoint is a continuously batching engine that honours priorities: a request that has a slot joins at the next step, its prefill
// goes first, and steps take longer the more slots are in use. A preempted stream is let go at the end of a step after the
// order has reached the engine; what it had computed is lost, so resuming it prefills its prompt and its answer so far.
// The deadline is for the whole answer: what is not finished by then is cut, and only whole answers count as useful.
#include "benchsupport.h"
#include "policy/admissionqueue.h"

#include <fmt/format.h>

#include <memory>
#include <string>
#include <unordered_map>

using namespace magnolia;
using namespace magnolia::bench;
using namespace magnolia::policy;
using wire::PriorityClass;

namespace
{

constexpr std::uint32_t Slots = 16;
constexpr double BestStep = 0.005; ///< Step time of an empty engine, in seconds.
constexpr double FullBatchSlowdown = 0.25; ///< How much longer a step takes with all slots in use.
constexpr double PrefillPerToken = 1.0 / 8000;
constexpr double CancelDelay = 0.002; ///< Agent to engine.
constexpr double MeanPrompt = 600;
constexpr double MeanOutput = 150;
constexpr double MeanService = MeanPrompt * PrefillPerToken + MeanOutput * BestStep * (1 + FullBatchSlowdown);
constexpr double CapacityPerSecond = Slots / MeanService;
constexpr double WarmUp = 20;

struct Source {
    std::string organisation;
    PriorityClass priorityClass = PriorityClass::Paying;
    double load = 0; ///< Of the endpoint's capacity.
    double timeoutSeconds = 10;
};

struct Scenario {
    std::vector<Source> sources;
    double duration = 120;
    AdmissionQueue::Options queue;
    bool oneQueue = false; ///< First come, first served: class and organisation are hidden from the queue.
};

struct Outcome {
    std::unordered_map<std::string, std::vector<double>> firstToken; ///< Per organisation, seconds from the offer.
    std::unordered_map<std::string, int> refused; ///< Refused, displaced or expired before they ran.
    std::unordered_map<std::string, int> finished;
    std::unordered_map<std::string, int> cut; ///< Begun and not finished by the deadline.
    double usefulTrial = 0; ///< Slot seconds that went into whole answers to trial callers, prefilled once each.
    double payingSlots = 0; ///< Slot seconds held by paying work.
    double measuredFor = 0;
    int preemptions = 0;

    double trialShare() const
    {
        return usefulTrial / (Slots * measuredFor - payingSlots);
    }
};

/** What remains of one request, and its slot while it has one. */
struct Work {
    Ticket ticket;
    std::string organisation;
    PriorityClass priorityClass = PriorityClass::Paying;
    MonoTime offered;
    double prompt = 0;
    double output = 0; ///< Tokens.
    double sent = 0;
    bool resumed = false;
    double useful = 0; ///< Slot seconds so far that a whole answer would have needed anyway.
    std::uint64_t run = 0; ///< Grows with each start and stop, so that events of earlier runs are known as such.
    MonoTime started;
    MonoTime firstTokenAt;
    double step = 0;
};

class Endpoint
{
public:
    Endpoint(const Scenario &scenario, std::uint64_t seed)
        : scenario_(scenario), queue_(scenario.queue), random_(seed), begin_(loop_.now() + fromSeconds(WarmUp)), end_(begin_ + fromSeconds(scenario.duration))
    {
    }

    Outcome run()
    {
        for (const Source &source : scenario_.sources) {
            sourceRandoms_.push_back(std::make_unique<Random>(seed_, sourceRandoms_.size() + 1));
            scheduleArrival(source, *sourceRandoms_.back());
        }
        tick();
        loop_.runUntil(end_);
        outcome_.measuredFor = scenario_.duration;
        return std::move(outcome_);
    }

private:
    /** Each source has a generator of its own, so that paying work is the same one in every scenario. */
    void scheduleArrival(const Source &source, Random &random)
    {
        if (source.load <= 0) {
            return;
        }
        loop_.after(exponential(1 / (source.load * CapacityPerSecond), random), [this, &source, &random] {
            arrive(source, random);
            scheduleArrival(source, random);
        });
    }

    void arrive(const Source &source, Random &random)
    {
        Work work;
        work.organisation = source.organisation;
        work.priorityClass = source.priorityClass;
        work.offered = loop_.now();
        work.prompt = lengthy(MeanPrompt, random);
        work.output = std::max(1.0, lengthy(MeanOutput, random));
        work.ticket = {.id = {.request = {.high = 0, .low = ++ids_}, .attempt = 0},
                       .organisation = scenario_.oneQueue ? "all" : source.organisation,
                       .priorityClass = scenario_.oneQueue ? PriorityClass::Paying : source.priorityClass,
                       .weight = 1,
                       .promptTokens = static_cast<std::uint32_t>(work.prompt),
                       .deadline = loop_.now() + fromSeconds(source.timeoutSeconds),
                       .wholeAnswer = true,
                       .preemptible = source.priorityClass == PriorityClass::Trial,
                       .started = false};
        const AdmissionDecision decision = queue_.offer(work.ticket, loop_.now());
        if (decision.displaced) {
            lose(decision.displaced->id.request.low);
        }
        if (!decision.admitted) {
            countRefused(work);
            return;
        }
        works_.emplace(ids_, std::move(work));
        pump();
    }

    /** Does what the agent does after each event. */
    void pump()
    {
        while (const auto ticket = queue_.next(loop_.now())) {
            start(works_.at(ticket->id.request.low));
        }
        while (const auto victim = queue_.preempt(loop_.now())) {
            const std::uint64_t id = victim->id.request.low;
            const double delay = CancelDelay + unit() * currentStep();
            loop_.after(delay, [this, id, run = works_.at(id).run] { letGo(id, run); });
        }
    }

    void tick()
    {
        for (const ExpiredTicket &expired : queue_.expire(loop_.now())) {
            lose(expired.ticket.id.request.low);
        }
        pump();
        constexpr double TickSeconds = 0.02;
        loop_.after(TickSeconds, [this] { tick(); });
    }

    void start(Work &work)
    {
        ++running_;
        ++work.run;
        work.step = currentStep();
        work.started = loop_.now();
        const double prefill = (work.prompt + work.sent) * PrefillPerToken;
        work.firstTokenAt = loop_.now() + fromSeconds(unit() * work.step + prefill);
        const std::uint64_t id = work.ticket.id.request.low;
        const MonoTime done = work.firstTokenAt + fromSeconds((work.output - work.sent) * work.step);
        const MonoTime deadline = work.ticket.deadline;
        loop_.at(std::min(done, deadline), [this, id, run = work.run, isWhole = done <= deadline] {
            if (isWhole) {
                finish(id, run);
            } else {
                cut(id, run);
            }
        });
    }

    /** The deadline has come while it runs. */
    void cut(std::uint64_t id, std::uint64_t run)
    {
        const auto position = works_.find(id);
        if (position == works_.end() || position->second.run != run) {
            return;
        }
        Work &work = position->second;
        account(work, 0);
        if (loop_.now() >= work.firstTokenAt) {
            noteFirstToken(work);
        }
        queue_.finished(work.ticket.id, {}, loop_.now());
        countCut(work);
        works_.erase(position);
        pump();
    }

    void finish(std::uint64_t id, std::uint64_t run)
    {
        const auto position = works_.find(id);
        if (position == works_.end() || position->second.run != run) {
            return;
        }
        Work &work = position->second;
        account(work, work.output - work.sent);
        const ServiceSample sample{.firstToken = work.firstTokenAt - work.started,
                                   .total = loop_.now() - work.started,
                                   .outputTokens = static_cast<std::uint32_t>(work.output),
                                   .valid = true};
        noteFirstToken(work);
        if (work.offered >= begin_) {
            ++outcome_.finished[work.organisation];
        }
        if (work.priorityClass == PriorityClass::Trial) {
            outcome_.usefulTrial += work.useful;
        }
        queue_.finished(work.ticket.id, sample, loop_.now());
        works_.erase(position);
        pump();
    }

    /** The engine has stopped a preempted stream. */
    void letGo(std::uint64_t id, std::uint64_t run)
    {
        const auto position = works_.find(id);
        if (position == works_.end() || position->second.run != run) {
            return;
        }
        Work &work = position->second;
        const double decoded = std::max(0.0, toSeconds(loop_.now() - work.firstTokenAt) / work.step);
        const double sentNow = std::min(decoded, work.output - work.sent);
        account(work, sentNow);
        if (loop_.now() >= work.firstTokenAt) {
            noteFirstToken(work);
        }
        work.sent += sentNow;
        ++work.run;
        ++outcome_.preemptions;
        queue_.preempted(work.ticket.id, loop_.now());
        pump();
    }

    /** Adds up a run that ends now. Only the first prefill and the tokens sent are of use. */
    void account(Work &work, double tokens)
    {
        --running_;
        if (loop_.now() < begin_) {
            return;
        }
        if (work.priorityClass == PriorityClass::Paying) {
            outcome_.payingSlots += toSeconds(loop_.now() - std::max(work.started, begin_));
            return;
        }
        const bool hasFirst = loop_.now() >= work.firstTokenAt;
        const double prefill = hasFirst && !work.resumed ? toSeconds(work.firstTokenAt - work.started) : 0;
        work.useful += prefill + tokens * work.step;
        work.resumed = work.resumed || hasFirst;
    }

    void noteFirstToken(Work &work)
    {
        if (work.offered >= begin_ && work.offered < end_ && work.sent == 0) {
            outcome_.firstToken[work.organisation].push_back(toSeconds(work.firstTokenAt - work.offered));
        }
    }

    void countCut(const Work &work)
    {
        if (work.offered >= begin_) {
            ++outcome_.cut[work.organisation];
        }
    }

    void countRefused(const Work &work)
    {
        if (work.offered >= begin_) {
            ++outcome_.refused[work.organisation];
        }
    }

    void lose(std::uint64_t id)
    {
        const auto position = works_.find(id);
        if (position != works_.end()) {
            if (position->second.run > 0) {
                countCut(position->second);
            } else {
                countRefused(position->second);
            }
            works_.erase(position);
        }
    }

    double currentStep() const
    {
        return BestStep * (1 + FullBatchSlowdown * running_ / Slots);
    }

    double unit()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    const Scenario &scenario_;
    EventLoop loop_;
    AdmissionQueue queue_;
    std::uint64_t seed_;
    Random random_; ///< Of the engine.
    std::vector<std::unique_ptr<Random>> sourceRandoms_;
    MonoTime begin_;
    MonoTime end_;
    std::unordered_map<std::uint64_t, Work> works_;
    std::uint64_t ids_ = 0;
    double running_ = 0;
    Outcome outcome_;
};

std::vector<double> merged(const Outcome &outcome, const std::vector<std::string> &organisations)
{
    std::vector<double> all;
    for (const std::string &organisation : organisations) {
        const auto samples = outcome.firstToken.find(organisation);
        if (samples != outcome.firstToken.end()) {
            all.insert(all.end(), samples->second.begin(), samples->second.end());
        }
    }
    return all;
}

int sumOf(const std::unordered_map<std::string, int> &counts, const std::vector<std::string> &organisations)
{
    int sum = 0;
    for (const std::string &organisation : organisations) {
        const auto count = counts.find(organisation);
        sum += count == counts.end() ? 0 : count->second;
    }
    return sum;
}

int refusedOf(const Outcome &outcome, const std::vector<std::string> &organisations)
{
    return sumOf(outcome.refused, organisations);
}

/** @return the share of the begun answers that the deadline cut. */
double cutShare(const Outcome &outcome, const std::vector<std::string> &organisations)
{
    const double cut = sumOf(outcome.cut, organisations);
    const double begun = cut + sumOf(outcome.finished, organisations);
    return begun > 0 ? cut / begun : 0;
}

const std::vector<std::string> &payingNames()
{
    static const std::vector<std::string> names = {"p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7"};
    return names;
}

const std::vector<std::string> &smallNames()
{
    static const std::vector<std::string> names = {"p1", "p2", "p3", "p4", "p5", "p6", "p7"};
    return names;
}

/** @param large load of the first paying organisation; the other seven share 0.45. */
std::vector<Source> sources(double large, double trial)
{
    constexpr double SmallLoad = 0.45 / 7;
    std::vector<Source> made;
    for (const std::string &name : payingNames()) {
        made.push_back({.organisation = name, .priorityClass = PriorityClass::Paying, .load = name == "p0" ? large : SmallLoad, .timeoutSeconds = 10});
    }
    for (int i = 0; i < 2; ++i) {
        made.push_back({.organisation = "t" + std::to_string(i), .priorityClass = PriorityClass::Trial, .load = trial / 2, .timeoutSeconds = 20});
    }
    return made;
}

AdmissionQueue::Options plainOptions()
{
    return {.limit = Slots, .maxQueuedTrial = 1024, .refusesLate = false, .preempts = false};
}

const std::vector<std::string> &trialNames()
{
    static const std::vector<std::string> names = {"t0", "t1"};
    return names;
}

void printRow(std::string_view name, const Outcome &outcome, const std::vector<std::string> &names)
{
    const auto samples = merged(outcome, names);
    fmt::print("{:34} {:8.1f} {:8.1f} {:8} {:8.3f} {:8.3f} {:8.3f} {:9.1f} {:9} {:8.3f} {:9}\n",
               name,
               percentile(samples, 0.5) * 1000,
               percentile(samples, 0.95) * 1000,
               refusedOf(outcome, names),
               cutShare(outcome, names),
               outcome.payingSlots / (Slots * outcome.measuredFor),
               outcome.trialShare(),
               percentile(merged(outcome, trialNames()), 0.95) * 1000,
               refusedOf(outcome, trialNames()),
               cutShare(outcome, trialNames()),
               outcome.preemptions);
}

} // namespace

int main(int argc, char **argv)
{
    const BenchOptions options = parseOptions(argc, argv);
    const double duration = options.quick ? 3600 : 14400;
    constexpr std::uint64_t Seed = 5;
    constexpr double OrdinaryLarge = 0.05;
    constexpr double LargeShare = 1.0 / 8;
    constexpr double Surge = 10;

    const auto run = [duration](const std::vector<Source> &from, const AdmissionQueue::Options &queue, bool oneQueue) {
        const Scenario scenario{.sources = from, .duration = duration, .queue = queue, .oneQueue = oneQueue};
        return Endpoint(scenario, Seed).run();
    };
    const AdmissionQueue::Options ours{.limit = Slots};

    const Outcome calm = run(sources(OrdinaryLarge, 0), ours, false);
    const Outcome surge = run(sources(OrdinaryLarge, Surge), ours, false);
    const Outcome fcfs = run(sources(OrdinaryLarge, Surge), plainOptions(), true);
    const Outcome strict = run(sources(OrdinaryLarge, Surge), plainOptions(), false);
    const Outcome calmLarge = run(sources(LargeShare, 0), ours, false);
    const Outcome flood = run(sources(10 * LargeShare, 0), ours, false);
    const Outcome floodFcfs = run(sources(10 * LargeShare, 0), plainOptions(), true);

    fmt::print("{} slots, paying work at half of capacity, {} s each; times to first token in ms\n", Slots, duration);
    fmt::print("{:34} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>8} {:>9}\n",
               "",
               "p50",
               "p95",
               "refused",
               "cut",
               "paying",
               "trial",
               "trial p95",
               "refused",
               "cut",
               "preempted");
    printRow("paying, no trial work", calm, payingNames());
    printRow("paying, trial surge x10", surge, payingNames());
    printRow("  first come, first served", fcfs, payingNames());
    printRow("  strict priority, no refusal", strict, payingNames());
    printRow("small ones, large one at its share", calmLarge, smallNames());
    printRow("small ones, large one x10", flood, smallNames());
    printRow("  first come, first served", floodFcfs, smallNames());

    const double calmP95 = percentile(merged(calm, payingNames()), 0.95);
    const double calmSmall = percentile(merged(calmLarge, smallNames()), 0.95);
    const auto ratio = [](const Outcome &outcome, const std::vector<std::string> &names, double reference) {
        return percentile(merged(outcome, names), 0.95) / reference;
    };
    report({.name = "surge_paying_p95_ttft_ratio",
            .value = ratio(surge, payingNames(), calmP95),
            .unit = "ratio",
            .baseline = ratio(strict, payingNames(), calmP95),
            .goal = 1.05});
    report({.name = "surge_paying_refused",
            .value = static_cast<double>(refusedOf(surge, payingNames())),
            .unit = "requests",
            .baseline = static_cast<double>(refusedOf(fcfs, payingNames())),
            .goal = 0});
    report({.name = "surge_trial_share_of_rest",
            .value = surge.trialShare(),
            .unit = "share",
            .baseline = strict.trialShare(),
            .goal = 0.9,
            .kind = GoalKind::AtLeast});
    report(
        {.name = "surge_trial_cut_share", .value = cutShare(surge, trialNames()), .unit = "share", .baseline = cutShare(strict, trialNames()), .goal = 0.02});
    report({.name = "large_org_small_p95_ttft_ratio",
            .value = ratio(flood, smallNames(), calmSmall),
            .unit = "ratio",
            .baseline = ratio(floodFcfs, smallNames(), calmSmall),
            .goal = 1.05});
    report({.name = "large_org_small_refused",
            .value = static_cast<double>(refusedOf(flood, smallNames())),
            .unit = "requests",
            .baseline = static_cast<double>(refusedOf(floodFcfs, smallNames())),
            .goal = 0});
    return 0;
}
