// Issue 5, item 5: time and allocations of one decision, at today's sizes and at the target's.
#include "benchsupport.h"
#include "policy/admissionqueue.h"
#include "policy/endpointchooser.h"
#include "policy/tokenbuckets.h"

#include <fmt/format.h>

#include <atomic>
#include <cstdlib>
#include <functional>
#include <new>
#include <string>

using namespace magnolia;
using namespace magnolia::bench;
using namespace magnolia::policy;

namespace
{

std::atomic<std::uint64_t> allocations = 0;

} // namespace

// Counts the allocations of the code under measurement.
void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace
{

constexpr std::size_t SmallEndpoints = 27;
constexpr std::size_t LargeEndpoints = 1300;
constexpr std::size_t SmallOrganisations = 10;
constexpr std::size_t LargeOrganisations = 20000;

struct Cost {
    double microseconds = 0;
    double allocations = 0;
};

/** Median over batches, since other work on the machine makes single ones longer. */
template<typename Decision>
Cost measure(std::string_view name, int rounds, const Decision &decide)
{
    constexpr int Batches = 21;
    std::vector<double> times;
    times.reserve(Batches);
    for (int i = 0; i < rounds; ++i) {
        decide();
    }
    const std::uint64_t before = allocations;
    std::uint64_t counted = 0;
    for (int batch = 0; batch < Batches; ++batch) {
        const MonoTime begin = MonoClock::now();
        for (int i = 0; i < rounds; ++i) {
            decide();
        }
        times.push_back(toSeconds(MonoClock::now() - begin) / rounds * 1e6);
        counted = allocations - before;
    }
    const Cost cost{.microseconds = percentile(times, 0.5), .allocations = static_cast<double>(counted) / rounds / Batches};
    fmt::print("{:44} {:9.3f} {:9.2f}\n", name, cost.microseconds, cost.allocations);
    return cost;
}

Cost chooseCost(std::string_view name, std::size_t endpoints, bool withPrefix, int rounds)
{
    const MonoTime now = MonoTime{} + std::chrono::hours(1);
    Random random(1);
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < endpoints; ++i) {
        candidates.push_back({.endpoint = endpointKey("engine-" + std::to_string(i)),
                              .ownInFlight = static_cast<std::uint32_t>(random(4)),
                              .reportedLoad = static_cast<std::uint32_t>(random(8)),
                              .limit = 8,
                              .reportedAt = now - std::chrono::milliseconds(random(1000)),
                              .distance = static_cast<Distance>(i % 10 == 0      ? 0
                                                                    : i % 10 < 4 ? 1
                                                                                 : 2)});
    }
    EndpointChooser chooser({});
    return measure(name, rounds, [&] {
        ChoiceRequest request;
        if (withPrefix) {
            request.prefix = random();
        }
        chooser.choose(request, candidates, now, random);
    });
}

/** Admit, queue, start and finish one, with a backlog of one ticket from each of many organisations. */
Cost admitCost(std::string_view name, std::size_t organisations, std::size_t queued, int rounds)
{
    MonoTime now = MonoTime{} + std::chrono::hours(1);
    AdmissionQueue queue({.limit = 8, .maxQueuedPaying = 4096, .refusesLate = false});
    std::vector<std::string> names;
    for (std::size_t i = 0; i < organisations; ++i) {
        names.push_back("org-" + std::to_string(i));
    }
    std::uint64_t offered = 0;
    Random random(3);
    std::vector<wire::AttemptId> running;
    const auto offer = [&] {
        ++offered;
        Ticket ticket{.id = {.request = RequestId::mint(random), .attempt = 0},
                      .organisation = names[offered % organisations],
                      .priorityClass = wire::PriorityClass::Paying,
                      .weight = 1,
                      .promptTokens = 500,
                      .deadline = now + std::chrono::hours(1),
                      .wholeAnswer = true,
                      .preemptible = false,
                      .started = false};
        queue.offer(std::move(ticket), now);
    };
    for (std::size_t i = 0; i < queued; ++i) {
        offer();
    }
    while (const auto ticket = queue.next(now)) {
        running.push_back(ticket->id);
    }
    const ServiceSample sample{.firstToken = std::chrono::milliseconds(100), .total = std::chrono::seconds(1), .outputTokens = 100, .valid = true};
    std::size_t oldest = 0;
    return measure(name, rounds, [&] {
        now += std::chrono::milliseconds(10);
        offer();
        queue.finished(running[oldest], sample, now);
        if (const auto ticket = queue.next(now)) {
            running[oldest] = ticket->id;
        }
        oldest = (oldest + 1) % running.size();
        queue.expire(now);
    });
}

Cost bucketCost(std::string_view name, std::size_t organisations, int rounds)
{
    MonoTime now = MonoTime{} + std::chrono::hours(1);
    TokenBuckets buckets({});
    std::vector<std::string> names;
    for (std::size_t i = 0; i < organisations; ++i) {
        names.push_back("org-" + std::to_string(i));
    }
    Random random(2);
    return measure(name, rounds, [&] {
        now += std::chrono::milliseconds(1);
        buckets.take(names[random(organisations)], {.perSecond = 0.05, .burst = 5}, now);
    });
}

} // namespace

int main(int argc, char **argv)
{
    const BenchOptions options = parseOptions(argc, argv);
    const int rounds = options.quick ? 2000 : 20000;
    fmt::print("{:44} {:>9} {:>9}\n", "", "us", "allocs");
    const Cost chooseSmall = chooseCost("choose by prefix, 27 endpoints", SmallEndpoints, true, rounds);
    const Cost chooseSubset = chooseCost("choose by prefix, 130 endpoints (a subset)", 130, true, rounds);
    const Cost chooseLarge = chooseCost("choose by prefix, 1300 endpoints", LargeEndpoints, true, rounds);
    chooseCost("choose without prefix, 27 endpoints", SmallEndpoints, false, rounds);
    const Cost chooseTwo = chooseCost("choose without prefix, 1300 endpoints", LargeEndpoints, false, rounds);
    const Cost admitSmall = admitCost("admit, queue, start, finish; 10 orgs, 64 queued", SmallOrganisations, 64, rounds);
    const Cost admitLarge = admitCost("the same; 20000 orgs, 64 queued", LargeOrganisations, 64, rounds);
    const Cost admitBusy = admitCost("the same; 20000 orgs, 1024 queued", LargeOrganisations, 1024, rounds);
    const Cost bucketSmall = bucketCost("token bucket, 10 orgs", SmallOrganisations, rounds);
    const Cost bucketLarge = bucketCost("token bucket, 20000 orgs", LargeOrganisations, rounds);

    report({.name = "cost_choose_prefix_1300", .value = chooseLarge.microseconds, .unit = "us", .baseline = chooseSmall.microseconds, .goal = 5});
    report({.name = "cost_choose_prefix_130", .value = chooseSubset.microseconds, .unit = "us", .baseline = chooseSmall.microseconds, .goal = 5});
    report({.name = "cost_choose_two_1300", .value = chooseTwo.microseconds, .unit = "us", .baseline = chooseSmall.microseconds, .goal = 5});
    report({.name = "cost_choose_allocations_1300", .value = chooseLarge.allocations, .unit = "allocations", .baseline = chooseSmall.allocations, .goal = 0});
    report({.name = "cost_admit_20000_orgs", .value = admitLarge.microseconds, .unit = "us", .baseline = admitSmall.microseconds, .goal = 5});
    report({.name = "cost_admit_1024_queued", .value = admitBusy.microseconds, .unit = "us", .baseline = admitSmall.microseconds, .goal = 5});
    report({.name = "cost_admit_orgs_ratio", .value = admitLarge.microseconds / admitSmall.microseconds, .unit = "ratio", .baseline = 1, .goal = 1.25});
    report({.name = "cost_token_bucket_20000_orgs", .value = bucketLarge.microseconds, .unit = "us", .baseline = bucketSmall.microseconds, .goal = 5});
    return 0;
}
