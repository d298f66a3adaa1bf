#ifndef MAGNOLIA_AGENT_CLAIMRECORD_H
#define MAGNOLIA_AGENT_CLAIMRECORD_H

#include "base/failure.h"
#include "wire/messages.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace magnolia::agent
{

/** The answer of a call, as it is kept for the caller's retries. */
struct StoredAnswer {
    std::uint32_t status = 0;
    std::string contentType{};
    std::string body{};
    bool bodyKept = true; ///< False if the body was over the limit and is not kept.
};

enum class ClaimState : std::uint8_t {
    Claimed, ///< Its attempt may run, is running, or has run without a recorded answer.
    NotRun, ///< Its attempt is over without having run; another one may take the row over.
    Done, ///< Its attempt has run; the answer is kept.
};

/**
 * The table row that guards a call that may not be repeated: at most one attempt holds it as Claimed, and only that
 * attempt runs the call. A value type.
 */
struct ClaimRecord {
    ClaimState state = ClaimState::Claimed;
    std::string digest{}; ///< Of the request, so that the same key with another request is noticed.
    wire::AttemptId attempt{};
    wire::Incarnation incarnation = 0; ///< Of the agent that wrote the row.
    StoredAnswer answer{}; ///< If Done.

    /** @return true if this attempt at this incarnation wrote the row. */
    bool isOf(const wire::AttemptId &id, wire::Incarnation agent) const;

    /** @return JSON; the body in base64, since it may be any bytes. */
    std::string encode() const;
    static Result<ClaimRecord> decode(std::string_view text);
};

/** @return the key of the row: claim/ORG/SERVICE/KEYHASH. The hash covers all three parts, so that no two callers share a row. */
std::string claimKey(std::string_view organisation, std::string_view service, std::string_view idempotencyKey);

/** @return what tells one request from another under the same key: a hash of method, path and body. */
std::string requestDigest(std::string_view method, std::string_view path, std::string_view body);

} // namespace magnolia::agent

#endif
