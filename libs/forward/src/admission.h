#ifndef MAGNOLIA_FORWARD_ADMISSION_H
#define MAGNOLIA_FORWARD_ADMISSION_H

#include "forward/protocol.h"
#include "outgoingrequest.h"
#include "routing/callerbounds.h"
#include "routing/routetable.h"
#include "routing/routingproof.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/** Where a request may go, and in whose name. */
struct AdmittedRequest {
    const routing::Route *route = nullptr;
    const routing::Organisation *organisation = nullptr; ///< Null if it needs no key.
    std::string fingerprint{};
};

/** Why a request may go nowhere. */
struct Rejection {
    int status = 0;
    std::optional<Duration> retryAfter{}; ///< Only where a newer version of the routes, or a proof, could admit it.
    std::string_view cause{};
    const routing::Route *route = nullptr; ///< Null if none leads there.
};

/** What admission is decided on. */
struct AdmissionInput {
    const routing::RouteTable *routes = nullptr; ///< Null until a version is known. Outlives the outcome.
    const routing::RoutingProof *proof = nullptr;
    const Protocol *protocol = nullptr;
    const CallerRequest *request = nullptr;
    BootTime now{};
};

/**
 * Finds a request's route and organisation. Without a fresh proof that the known routes are the newest neither an unknown
 * path nor any key is judged.
 */
tl::expected<AdmittedRequest, Rejection> admitRequest(const AdmissionInput &input);

/** @return until when an answer finds the caller, as far as the request itself states. */
routing::CallerBounds callerBoundsOf(const CallerRequest &request, const Protocol &protocol);

} // namespace magnolia::forward

#endif
