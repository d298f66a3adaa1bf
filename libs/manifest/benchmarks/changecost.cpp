// What one change of one organisation costs a daemon: bytes, time, allocations and memory, by number of organisations.
#include "manifest/assembly.h"
#include "manifest/chunks.h"
#include "samplemanifest.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
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
    return EXIT_SUCCESS;
}
