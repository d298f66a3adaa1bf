#include "routing/fingerprint.h"

#include <openssl/sha.h>
#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <array>
#include <cstddef>
#include <initializer_list>
#include <span>

namespace magnolia::routing
{

namespace
{

constexpr std::size_t FingerprintBytes = 16; // Prefix of the hash; long enough that accidental collisions are negligible.

} // namespace

std::string fingerprintOf(const RequestIdentity &identity)
{
    // The lengths come first, so that different lists of parts never serialise to the same bytes.
    const std::string lengths = fmt::format("{} {} {} {} ", identity.method.size(), identity.host.size(), identity.target.size(), identity.organisation.size());
    std::string bytes;
    for (const std::string_view part : {std::string_view(lengths), identity.method, identity.host, identity.target, identity.organisation, identity.body}) {
        bytes.append(part);
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), hash.data());
    return fmt::format("{:02x}", fmt::join(std::span(hash).first<FingerprintBytes>(), ""));
}

} // namespace magnolia::routing
