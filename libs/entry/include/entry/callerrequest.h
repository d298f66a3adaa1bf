#ifndef MAGNOLIA_ENTRY_CALLERREQUEST_H
#define MAGNOLIA_ENTRY_CALLERREQUEST_H

#include "base/clock.h"
#include "base/failure.h"
#include "http/httpclient.h"
#include "manifest/manifestindex.h"
#include "wire/messages.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace magnolia::entry
{

/** What came from a caller; views that live as long as the exchange. */
struct ReceivedRequest {
    std::string_view method;
    std::string_view path; ///< Without the query.
    std::string_view target; ///< Path and query.
    const http::Headers &headers;
    std::string_view body;
};

/** What a caller asks for. */
enum class CallerRequestKind : std::uint8_t {
    ListModels,
    ChatCompletion,
    ServiceCall,
};

/**
 * A caller's request, checked against the manifest.
 *
 * A value; it keeps the manifest version alive that it was checked against.
 */
struct CallerRequest {
    CallerRequestKind kind = CallerRequestKind::ListModels;
    manifest::ManifestIndex::Pointer manifest;
    const manifest::Organisation *organisation = nullptr; ///< In manifest.
    std::string model; ///< Empty for a service call.
    std::string adapter;
    std::string version; ///< As asked for; empty: the current one.
    std::string service; ///< Empty for a model request.
    std::string method; ///< Towards the endpoint.
    std::string path; ///< Path and query towards the endpoint.
    http::Headers headers; ///< For the endpoint.
    std::string body;
    bool stream = false;
    bool idempotent = true;
    std::string idempotencyKey;
    Duration timeout{0};
    std::uint32_t promptTokens = 0; ///< Estimate.
    std::uint64_t prefix = 0; ///< policy::prefixHash of model, adapter and the prompt's beginning.
};

struct CallerRequestOptions {
    Duration defaultTimeout{60000}; ///< Of model requests that state none.
};

/**
 * Checks a caller's request. Pure.
 *
 * @param manifest the version in force; null: none yet, which fails as Unavailable.
 * @return the request, or BadInput, Unauthorised, Forbidden, NotFound or Unavailable; always NotRun.
 */
Result<CallerRequest>
parseCallerRequest(const ReceivedRequest &received, const manifest::ManifestIndex::Pointer &manifest, const CallerRequestOptions &options);

/** @return the message that asks an agent to run the request; incarnation, timeLeft and traceparent are left to the sender. */
wire::Dispatch dispatchOf(const CallerRequest &request, const wire::AttemptId &id, std::uint32_t resumeAfter);

} // namespace magnolia::entry

#endif
