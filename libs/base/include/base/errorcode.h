#ifndef MAGNOLIA_BASE_ERRORCODE_H
#define MAGNOLIA_BASE_ERRORCODE_H

#include <cstdint>
#include <system_error>

namespace magnolia
{

/** Every error that one part of the system reports to another. The name in parentheses is the code in JSON answers. */
enum class ErrorCode : std::uint8_t {
    Ok = 0,
    BadInput, ///< (bad_input) malformed, truncated or out of range
    TooLarge, ///< (too_large) a body, header, frame or chunk over its limit
    Unauthorised, ///< (unauthorised) no key, or a key nobody has
    Forbidden, ///< (forbidden) the organisation may not reach this
    NotFound, ///< (not_found) no such model, adapter, version, service or row
    Conflict, ///< (conflict) a rival changed it first, or the idempotency key belongs to another body
    Overloaded, ///< (overloaded) no capacity before the deadline; try again after Retry-After
    RateLimited, ///< (rate_limited) over the organisation's own limit
    DeadlineExceeded, ///< (deadline_exceeded) given up on since its time ran out
    Cancelled, ///< (cancelled) the caller hung up or cancelled
    Leaving, ///< (leaving) the endpoint is draining and takes no new work
    StaleIncarnation, ///< (stale_incarnation) addressed to an earlier incarnation of the agent
    StaleFence, ///< (stale_fence) an order under an old fencing number
    Unavailable, ///< (unavailable) no endpoint, or the platform's service does not answer
    ConnectionLost, ///< (connection_lost) the connection closed or fell silent
    ProtocolError, ///< (protocol_error) the peer broke the protocol
    EndpointError, ///< (endpoint_error) the endpoint answered with an error of its own
    Internal, ///< (internal) a fault of ours
};

/** @return the category of ErrorCode values; its message() is the code's name in JSON answers. */
const std::error_category &errorCategory();

/** Lets an ErrorCode convert to std::error_code. */
std::error_code make_error_code(ErrorCode code);

} // namespace magnolia

template<>
struct std::is_error_code_enum<magnolia::ErrorCode> : std::true_type {
};

#endif
