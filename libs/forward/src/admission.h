#ifndef MAGNOLIA_FORWARD_ADMISSION_H
#define MAGNOLIA_FORWARD_ADMISSION_H

#include "forward/protocol.h"
#include "outgoingrequest.h"
#include "routing/callerdeadlines.h"
#include "routing/freshnessproof.h"
#include "routing/routetable.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::forward
{

/** The route of an admitted request, and the organisation that sent it. */
struct AdmittedRequest {
    const routing::Route *route = nullptr;
    const routing::Organisation *organisation = nullptr; ///< Null if the route needs no key.
    std::string fingerprint{};
};

/** Why a request was not admitted. */
struct Rejection {
    int status = 0;
    std::optional<Duration> retryAfter{}; ///< Set only if newer routes or a proof of freshness could admit the request.
    std::string_view cause{};
    const routing::Route *route = nullptr; ///< Null if no route matches.
};

/** Input of the admission decision. */
struct AdmissionInput {
    const routing::RouteTable *routes = nullptr; ///< Null until a version is known. Outlives the result, which points into it.
    const routing::FreshnessProof *proof = nullptr;
    const Protocol *protocol = nullptr;
    const CallerRequest *request = nullptr;
    BootTime now{};
};

/**
 * Finds the route and organisation of a request. Without a fresh proof that the known routes are the newest, a request
 * with an unmatched path or on a route that needs a key is rejected as temporarily unavailable.
 */
tl::expected<AdmittedRequest, Rejection> admitRequest(const AdmissionInput &input);

/** @return the ids of the prompt's parts that other requests may share. They point into the request. */
std::vector<std::string_view> sharedPromptPartsOf(const CallerRequest &request, const Protocol &protocol);

/** @return how long the caller waits for an answer, as stated by the request itself. */
routing::CallerDeadlines callerDeadlinesOf(const CallerRequest &request, const Protocol &protocol);

} // namespace magnolia::forward

#endif
