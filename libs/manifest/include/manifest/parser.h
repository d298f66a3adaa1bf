#ifndef MAGNOLIA_MANIFEST_PARSER_H
#define MAGNOLIA_MANIFEST_PARSER_H

#include "manifest/manifest.h"
#include "manifest/problem.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace magnolia::manifest
{

enum class Format : std::uint8_t {
    Toml,
    Json,
};

/** @return Json for a file name that ends in ".json", else Toml. */
Format formatOfFile(std::string_view fileName);

struct ParseLimits {
    std::size_t maxBytes = 64U << 20U;
    std::size_t maxDepth = 32; ///< Nested arrays and tables.
    std::size_t maxProblems = 100; ///< Checking stops after so many; the last problem then says so.
};

/**
 * Reads a manifest as an operator or a pipeline wrote it, and checks the whole of it.
 *
 * Reports all problems at once. Pure; any thread may call it.
 *
 * @code
 * const auto manifest = parseManifest(text, Format::Toml);
 * if (!manifest) { for (const Problem &problem : manifest.error()) { ... } }
 * @endcode
 */
tl::expected<Manifest, Problems> parseManifest(std::string_view text, Format format, const ParseLimits &limits = {});

} // namespace magnolia::manifest

#endif
