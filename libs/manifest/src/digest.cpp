#include "manifest/digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace magnolia::manifest
{

namespace
{

constexpr std::string_view HexDigits = "0123456789abcdef";
constexpr unsigned BitsPerDigit = 4;
constexpr unsigned LowDigit = 0xF;

} // namespace

Digest Digest::of(std::string_view data)
{
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.bytes.data());
    return digest;
}

std::optional<Digest> Digest::parse(std::string_view text)
{
    Digest digest;
    if (text.size() != 2 * digest.bytes.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
        const std::size_t high = HexDigits.find(text[2 * i]);
        const std::size_t low = HexDigits.find(text[2 * i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        digest.bytes[i] = static_cast<std::uint8_t>((high << BitsPerDigit) | low);
    }
    return digest;
}

std::string Digest::toString() const
{
    std::string text;
    text.reserve(2 * bytes.size());
    for (const std::uint8_t byte : bytes) {
        text += HexDigits[byte >> BitsPerDigit];
        text += HexDigits[byte & LowDigit];
    }
    return text;
}

bool Digest::equalsConstantTime(const Digest &other) const
{
    return CRYPTO_memcmp(bytes.data(), other.bytes.data(), bytes.size()) == 0;
}

} // namespace magnolia::manifest
