#ifndef MAGNOLIA_FORWARD_PROTOCOL_H
#define MAGNOLIA_FORWARD_PROTOCOL_H

#include "routing/endpointtable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace magnolia::forward
{

/** What a caller says of a generation's size; all in tokens. */
struct GenerationSize {
    std::uint32_t prompt = 0;
    std::uint32_t answer = 0; ///< At most.
};

/**
 * The headers that callers, endpoints and this system agree on, and the forms of their values.
 *
 * The product's own names are the defaults; a platform with names of its own fills in its own.
 */
struct Protocol {
    std::string requestId = "X-Request-Id"; ///< Of each attempt of a caller; endpoints echo it.
    std::string deadline = "X-Request-Timeout-Ms"; ///< Milliseconds that are left.
    std::string apiKey = "X-Api-Key"; ///< A caller's; never passed on.
    std::string organisation = "X-Organisation"; ///< Of the key's holder; set here whatever the caller sent.
    std::string expectedInstance = "X-Expected-Instance"; ///< Id of the one endpoint that may run it.
    std::string notRun = "X-Not-Run"; ///< In an endpoint's answer: the request did not run and never will.
    std::string answerProof = "X-Answer-Proof"; ///< An endpoint's; a success counts only with it.
    std::string load = "X-Load"; ///< In an endpoint's answer.
    std::string rateLimit = "X-Rate-Limit"; ///< In an endpoint's answer: requests a second that it takes from all instances together.
    std::string endpointAtFault = "X-At-Fault"; ///< In a refusal: id of the endpoint that caused it.
    std::string priority = "X-Priority";
    std::string lastEventId = "Last-Event-Id";
    std::string generationSize = "X-Tokens";
    std::string livenessPath{}; ///< Path that endpoints answer at once, whatever they run; any answer is a sign of life. Empty: they are not asked.
    std::string healthPath = "/health"; ///< Path that the balancer asks for readiness.

    std::optional<routing::LoadReport> (*parseLoad)(std::string_view value) = nullptr;
    std::optional<GenerationSize> (*parseGenerationSize)(std::string_view value) = nullptr;
};

} // namespace magnolia::forward

#endif
