#ifndef MAGNOLIA_FORWARD_OUTGOINGREQUEST_H
#define MAGNOLIA_FORWARD_OUTGOINGREQUEST_H

#include "answerwriter.h"
#include "base/clock.h"
#include "forward/protocol.h"
#include "routing/routingconfig.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/** Input for the request that is sent to an endpoint. */
struct OutgoingRequest {
    const CallerRequest *request = nullptr;
    std::string_view expectedInstance{}; ///< Id of the only endpoint that may run the request.
    Duration timeLeft{0}; ///< Remaining time until the deadline of caller and route.
    std::string_view organisation{}; ///< Holder of the caller's key; empty if the route needs no key.
    std::optional<routing::Priority> priority{};
    std::optional<std::uint64_t> lastEventId{}; ///< The stream resumes after this event.
    std::string traceparent{}; ///< Of the attempt's span; empty: the caller's header is forwarded.
};

/**
 * @return the head of the request in wire format: method and target as the caller sent them, without the caller's key and
 *         hop-by-hop headers, and with the headers of this system, which replace any that the caller sent.
 */
std::string writeRequestHead(const Protocol &protocol, const OutgoingRequest &outgoing);

} // namespace magnolia::forward

#endif
