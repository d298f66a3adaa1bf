#ifndef MAGNOLIA_PATH_MANIFESTDOCUMENT_H
#define MAGNOLIA_PATH_MANIFESTDOCUMENT_H

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace magnolia::path
{

/** Keys of the organisations in standardManifest(). */
constexpr std::string_view PayingKey = "paying-key-of-flue-commons";
constexpr std::string_view TrialKey = "trial-key-of-visitor";

struct ManifestOptions {
    std::size_t engines = 2; ///< "engine-1", "engine-2", ...: all serve the model "guide".
    bool hasBooking = true; ///< Endpoint "bookings-1" of the service "bookings", which is not idempotent.
    int concurrency = 8;
};

/**
 * The manifest that path tests begin with, as a JSON document that they may change.
 *
 * "flue-commons" is paying and may reach guide, its adapter labels, and bookings; "visitor" is trial and may reach the
 * bare guide. The model "ledger" is there, and nobody may reach it.
 */
nlohmann::json standardManifest(const ManifestOptions &options);

/** @return the lower-case hexadecimal SHA-256 by which a manifest knows a bearer key. */
std::string keyHash(std::string_view key);

} // namespace magnolia::path

#endif
