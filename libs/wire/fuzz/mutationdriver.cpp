// Runs the checks of the fuzz targets on valid input that is spoilt at random, with a fixed seed and a fixed number of
// runs, so that CI gives the same verdict each time. Long searches are libFuzzer's (see CMakeLists.txt).
#include "decodecheck.h"
#include "samplemessages.h"
#include "sessioncheck.h"
#include "wire/codec.h"

#include "base/random.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <random>
#include <vector>

namespace
{

using magnolia::Random;
using Bytes = std::vector<std::uint8_t>;

constexpr std::uint64_t Seed = 20261202;
constexpr int DecodeRuns = 60'000;
constexpr int SessionRuns = 20'000;
constexpr int MaxChanges = 4;
constexpr std::size_t MaxPiece = 24;

std::size_t pick(Random &random, std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

auto at(Bytes &bytes, std::size_t index)
{
    return bytes.begin() + static_cast<std::ptrdiff_t>(index);
}

void changeOnce(Bytes &bytes, const Bytes &other, Random &random)
{
    if (bytes.empty()) {
        bytes.push_back(static_cast<std::uint8_t>(random()));
        return;
    }
    const std::size_t start = pick(random, bytes.size());
    const std::size_t size = std::min(1 + pick(random, MaxPiece), bytes.size() - start);
    switch (pick(random, 6)) {
    case 0: // one bit
        bytes[start] ^= static_cast<std::uint8_t>(1U << pick(random, 8));
        break;
    case 1: // one byte
        bytes[start] = static_cast<std::uint8_t>(random());
        break;
    case 2: // a piece less
        bytes.erase(at(bytes, start), at(bytes, start + size));
        break;
    case 3: { // a piece twice
        const Bytes piece(at(bytes, start), at(bytes, start + size));
        bytes.insert(at(bytes, start), piece.begin(), piece.end());
        break;
    }
    case 4: // cut off
        bytes.resize(start);
        break;
    default: // the rest of another input
        bytes.resize(start);
        bytes.insert(bytes.end(), other.begin() + static_cast<std::ptrdiff_t>(pick(random, other.size())), other.end());
        break;
    }
}

Bytes spoil(const std::vector<Bytes> &inputs, Random &random)
{
    Bytes bytes = inputs[pick(random, inputs.size())];
    const std::size_t changes = 1 + pick(random, MaxChanges);
    for (std::size_t i = 0; i < changes; ++i) {
        changeOnce(bytes, inputs[pick(random, inputs.size())], random);
    }
    return bytes;
}

/** @return how many inputs were taken. */
int run(const std::vector<Bytes> &inputs, int runs, const std::function<bool(const Bytes &)> &check)
{
    Random random(Seed);
    int taken = 0;
    for (int i = 0; i < runs; ++i) {
        taken += check(spoil(inputs, random)) ? 1 : 0;
    }
    return taken;
}

/** Says if the spoilt inputs were all refused, or none: then the run would have shown nothing. */
bool report(const char *name, int taken, int runs)
{
    std::printf("%s: %d of %d spoilt inputs taken\n", name, taken, runs);
    return taken > 0 && taken < runs;
}

} // namespace

int main()
{
    std::vector<Bytes> frames;
    for (const auto &message : magnolia::wire::sampleMessages()) {
        frames.push_back(magnolia::wire::encode(message));
    }
    const int decoded = run(frames, DecodeRuns, [](const Bytes &bytes) { return magnolia::wire::checkDecode(bytes); });
    const int answered = run(magnolia::wire::recordedHandshakes(), SessionRuns, [](const Bytes &bytes) { return magnolia::wire::checkSession(bytes) > 0; });
    const bool useful = report("decode", decoded, DecodeRuns) && report("session", answered, SessionRuns);
    return useful ? EXIT_SUCCESS : EXIT_FAILURE;
}
