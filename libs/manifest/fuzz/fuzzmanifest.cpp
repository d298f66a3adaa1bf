#include "manifest/assembly.h"
#include "manifest/headrow.h"
#include "manifest/parser.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

using namespace magnolia::manifest;

namespace
{

// A chunk is named by its own bytes here, so that the hash lets everything through to the decoder.
void decodeAsChunk(std::string_view text)
{
    Assembly assembly({.version = 1, .root = Digest::of(text)});
    const bool isTaken = assembly.add(Digest::of(text), text).has_value();
    if (isTaken && assembly.isComplete()) {
        std::abort(); // A root always needs other chunks, so something was taken for what it is not.
    }
}

void parseAs(Format format, std::string_view text)
{
    const auto manifest = parseManifest(text, format);
    if (!manifest && manifest.error().empty()) {
        std::abort(); // A refusal without a reason.
    }
    if (manifest && ManifestIndex::build(*manifest) == nullptr) {
        std::abort();
    }
}

} // namespace

/** Whatever the bytes are, the decoders end with a value or an error, and what they accept can be put in force. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    parseAs(Format::Toml, text);
    parseAs(Format::Json, text);
    decodeAsChunk(text);
    static_cast<void>(HeadRow::decode(text));
    return 0;
}
