// Runs the fuzz target over mutations of real inputs, bounded and with a fixed seed, where no fuzzing engine is there.
#include "base/random.h"
#include "manifest/chunks.h"
#include "manifest/headrow.h"
#include "mutation.h"
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

constexpr std::string_view Tokens[] = {"[[", "]]", "{", "}", "\"", "-1", "1e999", "\n", "=", "null", "\xff", "9223372036854775808", "'''", "\\u0000", "."};

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
        const std::string text = fuzz::mutatedInput({.inputs = inputs, .tokens = Tokens}, random, run);
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(text.data()), text.size());
    }
    std::printf("manifest_fuzz_driver: %llu inputs, seed %llu\n", runs, seed);
    return EXIT_SUCCESS;
}
