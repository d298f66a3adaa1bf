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

constexpr std::size_t KeptBytes = 16; // Of the hash; enough that no two requests share them by chance.

} // namespace

std::string fingerprintOf(const RequestIdentity &identity)
{
    // Lengths first, so that no two different lists of parts give the same bytes.
    const std::string lengths = fmt::format("{} {} {} {} ", identity.method.size(), identity.host.size(), identity.target.size(), identity.organisation.size());
    std::string bytes;
    for (const std::string_view part : {std::string_view(lengths), identity.method, identity.host, identity.target, identity.organisation, identity.body}) {
        bytes.append(part);
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), hash.data());
    return fmt::format("{:02x}", fmt::join(std::span(hash).first<KeptBytes>(), ""));
}

} // namespace magnolia::routing
