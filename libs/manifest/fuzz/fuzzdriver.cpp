// Runs the fuzz target over mutations of real inputs, bounded and with a fixed seed, where no fuzzing engine is there.
#include "base/random.h"
#include "manifest/chunks.h"
#include "manifest/headrow.h"
#include "samplemanifest.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size); // NOLINT(readability-identifier-naming)

using namespace magnolia;

namespace
{

constexpr std::size_t MaxMutations = 8;

std::vector<std::string> corpus(const char *exampleFile)
{
    std::ifstream file(exampleFile);
    std::vector<std::string> inputs = {std::string(std::istreambuf_iterator<char>(file), {})};
    const manifest::ChunkSet set = manifest::split(manifest::sampleManifest(40));
    for (const auto &[hash, bytes] : set.chunks) {
        inputs.push_back(bytes);
    }
    inputs.push_back(manifest::HeadRow{}.next(set.root, "a").next(set.root, "b").encode());
    inputs.emplace_back(R"({"organisations": [{"name": "a", "tier": "trial"}], "services": [{"name": "s", "timeout_ms": 100}]})");
    return inputs;
}

std::size_t below(Random &random, std::size_t limit)
{
    return limit == 0 ? 0 : static_cast<std::size_t>(random() % limit);
}

void mutate(std::string &text, const std::vector<std::string> &inputs, Random &random)
{
    const std::size_t at = below(random, text.size());
    switch (below(random, 6)) {
    case 0: // Another byte.
        if (!text.empty()) {
            text[at] = static_cast<char>(random());
        }
        break;
    case 1: // Truncated.
        text.resize(at);
        break;
    case 2: // A piece left out.
        text.erase(at, below(random, 20));
        break;
    case 3: // A piece doubled.
        text.insert(at, text.substr(at, below(random, 40)));
        break;
    case 4: { // A piece of another input.
        const std::string &other = inputs[below(random, inputs.size())];
        text.insert(at, other.substr(below(random, other.size()), below(random, 100)));
        break;
    }
    default: { // A token of the grammars.
        constexpr const char *Tokens[] = {"[[", "]]", "{", "}", "\"", "-1", "1e999", "\n", "=", "null", "\xff", "9223372036854775808", "'''", "\\u0000", "."};
        text.insert(at, Tokens[below(random, std::size(Tokens))]);
        break;
    }
    }
}

} // namespace

// Arguments: an example manifest, a seed, the number of inputs.
int main(int argc, char **argv)
{
    if (argc != 4) {
        std::fputs("usage: manifest_fuzz_driver EXAMPLE SEED RUNS\n", stderr);
        return EXIT_FAILURE;
    }
    const std::vector<std::string> inputs = corpus(argv[1]);
    const auto seed = std::strtoull(argv[2], nullptr, 10);
    const auto runs = std::strtoull(argv[3], nullptr, 10);
    for (std::uint64_t run = 0; run < runs; ++run) {
        Random random(seed, run); // Each run can be repeated alone.
        std::string text = inputs[run % inputs.size()];
        for (std::size_t i = below(random, MaxMutations); i > 0; --i) {
            mutate(text, inputs, random);
        }
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(text.data()), text.size());
    }
    std::printf("manifest_fuzz_driver: %llu inputs, seed %llu\n", runs, seed);
    return EXIT_SUCCESS;
}
