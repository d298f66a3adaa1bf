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

/** What a request to an endpoint is made of. */
struct OutgoingRequest {
    const CallerRequest *request = nullptr;
    std::string_view expectedInstance{}; ///< Id of the one endpoint that may run it.
    Duration left{0}; ///< Of the time that its caller and route allow.
    std::string_view organisation{}; ///< Of the caller's key; empty if none was needed.
    std::optional<routing::Priority> priority{};
    std::optional<std::uint64_t> lastEventId{}; ///< A stream goes on behind this event.
    std::string traceparent{}; ///< Of this sending's span; empty: what the caller sent is passed on.
};

/**
 * @return the request as it is sent: method, target and body as the caller sent them, without the caller's key and whatever
 *         concerned its own connection, and with the headers that are set here whatever the caller sent.
 */
std::string writeRequest(const Protocol &protocol, const OutgoingRequest &outgoing);

} // namespace magnolia::forward

#endif
