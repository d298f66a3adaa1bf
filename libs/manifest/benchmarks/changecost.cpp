// What one change of one organisation costs a daemon: bytes, time, allocations and memory, by number of organisations.
// And how long a new head row goes unread, by number of daemons (a seeded calculation, not a measurement).
#include "manifest/assembly.h"
#include "manifest/chunks.h"
#include "manifest/pollbudget.h"
#include "samplemanifest.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <limits>
#include <new>
#include <random>
#include <string>

using namespace magnolia::manifest;

namespace
{

std::size_t allocations = 0;

using Clock = std::chrono::steady_clock;

double microsecondsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

ManifestIndex::Pointer assemble(const ChunkSet &set, std::uint64_t version, const ManifestIndex::Pointer &earlier, std::size_t &bytes, std::size_t &chunks)
{
    Assembly assembly({.version = version, .root = set.root}, earlier);
    while (!assembly.isComplete()) {
        for (const Digest &hash : assembly.takeDiscovered()) {
            const std::string &data = set.chunks.at(hash);
            bytes += data.size();
            ++chunks;
            if (!assembly.add(hash, data)) {
                std::abort();
            }
        }
    }
    return assembly.finish().value();
}

void result(const char *name, std::size_t organisations, double value, const char *unit)
{
    std::printf("RESULT manifest_%s_%zu %.1f %s\n", name, organisations, value, unit);
}

void measureLookups(const ManifestIndex &index, std::size_t organisations)
{
    constexpr std::size_t Lookups = 200000;
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < 1000; ++i) {
        keys.push_back(sampleKey(i * 7919 % organisations));
    }
    std::size_t found = 0;
    const std::size_t allocationsBefore = allocations;
    const auto start = Clock::now();
    for (std::size_t i = 0; i < Lookups; ++i) {
        const Organisation *organisation = index.organisationOfKey(keys[i % keys.size()]);
        found += index.resolveModel(*organisation, "guide/labels").has_value() ? 1 : 0;
    }
    const double nanoseconds = microsecondsSince(start) * 1000 / Lookups;
    if (found != Lookups) {
        std::abort();
    }
    result("key_and_model_lookup", organisations, nanoseconds, "ns");
    result("key_and_model_lookup_allocations", organisations, static_cast<double>(allocations - allocationsBefore) / Lookups, "count");
}

void measure(std::size_t organisations)
{
    constexpr int Changes = 20;
    Manifest manifest = sampleManifest(organisations);
    ChunkSet set = split(manifest);
    const std::size_t heapBefore = heapBytes();
    std::size_t bytes = 0;
    std::size_t chunks = 0;
    auto start = Clock::now();
    auto index = assemble(set, 1, nullptr, bytes, chunks);
    result("first_load_time", organisations, microsecondsSince(start) / 1000, "ms");
    result("first_load_bytes", organisations, static_cast<double>(bytes), "bytes");
    result("first_load_chunks", organisations, static_cast<double>(chunks), "count");
    result("heap_in_force", organisations, static_cast<double>(heapBytes() - heapBefore) / 1e6, "MB");

    double microseconds = 0;
    std::size_t changeBytes = 0;
    std::size_t changeChunks = 0;
    std::size_t changeAllocations = 0;
    std::size_t heapDuring = 0;
    for (int change = 0; change < Changes; ++change) {
        manifest.version += 1;
        manifest.organisations[static_cast<std::size_t>(change) * 31 % organisations].weight += 11;
        set = split(manifest);
        const std::size_t allocationsBefore = allocations;
        const std::size_t heapOld = heapBytes();
        start = Clock::now();
        auto next = assemble(set, manifest.version, index, changeBytes, changeChunks);
        microseconds += microsecondsSince(start);
        changeAllocations += allocations - allocationsBefore;
        heapDuring = std::max(heapDuring, heapBytes() - heapOld);
        index = std::move(next);
    }
    result("change_time", organisations, microseconds / Changes, "us");
    result("change_bytes", organisations, static_cast<double>(changeBytes) / Changes, "bytes");
    result("change_chunks", organisations, static_cast<double>(changeChunks) / Changes, "count");
    result("change_allocations", organisations, static_cast<double>(changeAllocations) / Changes, "count");
    result("heap_while_two_versions_stand", organisations, static_cast<double>(heapDuring) / 1e6, "MB");
    measureLookups(*index, organisations);
}

// @return seconds until the next read of a daemon that has read at random times from half to one and a half means.
double drawRest(std::mt19937_64 &random, double mean)
{
    constexpr double LongestGap = 1.5;
    std::uniform_real_distribution<double> unit(0, 1);
    // A random moment falls into a gap with a chance in proportion to the gap's length.
    double gap = 0;
    do {
        gap = 0.5 + unit(random);
    } while (unit(random) * LongestGap > gap);
    return unit(random) * gap * mean;
}

void calculateFirstRead(const char *name, std::size_t daemons, double mean)
{
    constexpr int Trials = 20000;
    constexpr double Limit = 5;
    std::mt19937_64 random(daemons);
    double sum = 0;
    double worst = 0;
    int late = 0;
    for (int trial = 0; trial < Trials; ++trial) {
        double first = std::numeric_limits<double>::max();
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            first = std::min(first, drawRest(random, mean));
        }
        sum += first;
        worst = std::max(worst, first);
        late += first > Limit ? 1 : 0;
    }
    const std::string prefix = std::string("first_read_") + name;
    result((prefix + "_mean").c_str(), daemons, sum / Trials * 1000, "ms");
    result((prefix + "_worst").c_str(), daemons, worst * 1000, "ms");
    result((prefix + "_over_5s").c_str(), daemons, 100.0 * late / Trials, "percent");
}

void calculateFirstReads()
{
    for (const std::size_t daemons : {std::size_t{1}, std::size_t{5}, std::size_t{30}, std::size_t{1720}}) {
        calculateFirstRead("fixed_10s", daemons, 10);
        const double mean = std::chrono::duration<double>(pollIntervalFor(daemons, {})).count();
        calculateFirstRead("by_budget", daemons, mean);
    }
}

} // namespace

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

int main()
{
    for (const std::size_t organisations : {std::size_t{10}, std::size_t{1000}, std::size_t{20000}}) {
        measure(organisations);
    }
    calculateFirstReads();
    return EXIT_SUCCESS;
}
