#ifndef MAGNOLIA_TESTS_FUZZ_MUTATION_H
#define MAGNOLIA_TESTS_FUZZ_MUTATION_H

#include "base/random.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace magnolia::fuzz
{

/** @return a number below the limit; 0 if that is 0. */
inline std::size_t below(Random &random, std::size_t limit)
{
    return limit == 0 ? 0 : static_cast<std::size_t>(random() % limit);
}

/** What an input is made of: whole inputs, and tokens of their grammar. */
struct Corpus {
    std::span<const std::string> inputs;
    std::span<const std::string_view> tokens;
};

/** Changes one place of the text. */
inline void mutate(std::string &text, const Corpus &corpus, Random &random)
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
        const std::string &other = corpus.inputs[below(random, corpus.inputs.size())];
        text.insert(at, other.substr(below(random, other.size()), below(random, 100)));
        break;
    }
    default:
        text.insert(at, corpus.tokens[below(random, corpus.tokens.size())]);
        break;
    }
}

/** @return an input of the corpus, changed in a few places or none. Each run can be repeated alone. */
inline std::string mutatedInput(const Corpus &corpus, Random &random, std::uint64_t run)
{
    constexpr std::size_t MaxMutations = 8;
    std::string text = corpus.inputs[run % corpus.inputs.size()];
    for (std::size_t i = below(random, MaxMutations); i > 0; --i) {
        mutate(text, corpus, random);
    }
    return text;
}

} // namespace magnolia::fuzz

#endif
