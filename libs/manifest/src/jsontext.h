#ifndef MAGNOLIA_MANIFEST_JSONTEXT_H
#define MAGNOLIA_MANIFEST_JSONTEXT_H

#include "objectreader.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <string_view>

namespace magnolia::manifest
{

/** A text that is no JSON at all, or nested too deeply. */
struct SyntaxError {
    std::size_t line = 0;
    std::size_t column = 0;
    std::string message;
};

/** Parses JSON; reports keys that stand twice in one object, of which the library would silently keep the last. */
tl::expected<Json, SyntaxError> parseJson(std::string_view text, std::size_t maxDepth, ProblemList &problems);

} // namespace magnolia::manifest

#endif
