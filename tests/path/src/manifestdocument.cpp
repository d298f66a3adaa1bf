#include "manifestdocument.h"

#include <openssl/sha.h>
#include <spdlog/fmt/fmt.h>

#include <array>

namespace magnolia::path
{

using Json = nlohmann::json;

Json standardManifest(const ManifestOptions &options)
{
    const Json paying = {{"name", "flue-commons"},
                         {"tier", "paying"},
                         {"weight", 10},
                         {"key_hashes", {keyHash(PayingKey)}},
                         {"models", Json::array({{{"model", "guide"}, {"adapters", {"*"}}}})},
                         {"services", {"bookings"}}};
    const Json trial = {{"name", "visitor"}, {"tier", "trial"}, {"key_hashes", {keyHash(TrialKey)}}, {"models", Json::array({{{"model", "guide"}}})}};
    const Json guide = {
        {"name", "guide"}, {"version", "1"}, {"serving_floor", 1}, {"max_moving", 1}, {"adapters", Json::array({{{"name", "labels"}, {"version", "1"}}})}};
    const Json ledger = {{"name", "ledger"}, {"version", "1"}};
    const Json bookings = {{"name", "bookings"}, {"idempotent", false}, {"safe_methods", {"GET", "HEAD"}}, {"timeout_ms", 10000}};

    Json endpoints = Json::array();
    for (std::size_t i = 1; i <= options.engines; ++i) {
        endpoints.push_back(
            {{"name", fmt::format("engine-{}", i)}, {"data_centre", "north"}, {"models", {"guide", "ledger"}}, {"concurrency", options.concurrency}});
    }
    if (options.hasBooking) {
        endpoints.push_back({{"name", "bookings-1"}, {"data_centre", "north"}, {"kind", "service"}, {"service", "bookings"}, {"concurrency", 16}});
    }
    return {{"organisations", {paying, trial}}, {"models", {guide, ledger}}, {"services", {bookings}}, {"endpoints", endpoints}};
}

std::string keyHash(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    std::string text;
    for (const unsigned char byte : digest) {
        text += fmt::format("{:02x}", byte);
    }
    return text;
}

} // namespace magnolia::path
