#ifndef MAGNOLIA_MANIFEST_DIGEST_H
#define MAGNOLIA_MANIFEST_DIGEST_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::manifest
{

/** A SHA-256 hash; the name of a chunk, or what the manifest keeps of a bearer key. */
struct Digest {
    std::array<std::uint8_t, 32> bytes{};

    /** @return the hash of these bytes. */
    static Digest of(std::string_view data);

    /** @param text 64 lower-case hexadecimal digits. @return nothing if it is anything else. */
    static std::optional<Digest> parse(std::string_view text);

    /** @return 64 lower-case hexadecimal digits. */
    std::string toString() const;

    /** Compares in a time that does not depend on where the two differ. */
    bool equalsConstantTime(const Digest &other) const;

    bool operator==(const Digest &) const = default;
    bool operator<(const Digest &other) const
    {
        return bytes < other.bytes;
    }
};

} // namespace magnolia::manifest

template<>
struct std::hash<magnolia::manifest::Digest> {
    std::size_t operator()(const magnolia::manifest::Digest &digest) const noexcept
    {
        // The bytes are uniform already.
        std::size_t value = 0;
        std::memcpy(&value, digest.bytes.data(), sizeof(value));
        return value;
    }
};

#endif
