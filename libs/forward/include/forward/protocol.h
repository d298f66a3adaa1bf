#ifndef MAGNOLIA_FORWARD_PROTOCOL_H
#define MAGNOLIA_FORWARD_PROTOCOL_H

#include "routing/endpointtable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::forward
{

/** Size of a generation as stated by the caller, in tokens. */
struct GenerationSize {
    std::uint32_t prompt = 0;
    std::uint32_t answer = 0; ///< Maximum.
};

/**
 * Names of the headers shared by callers, endpoints and this system, and the parsers of their values.
 *
 * The defaults are the product's own names; a platform may replace them.
 */
struct Protocol {
    std::string requestId = "X-Request-Id"; ///< Unique for each request of a caller; endpoints echo it.
    std::string deadline = "X-Request-Timeout-Ms"; ///< Remaining time in milliseconds.
    std::string apiKey = "X-Api-Key"; ///< Sent by callers; never forwarded.
    std::string organisation = "X-Organisation"; ///< Organisation that holds the key; replaces any value that the caller sent.
    std::string expectedInstance = "X-Expected-Instance"; ///< Id of the only endpoint that may run the request.
    std::string notRun = "X-Not-Run"; ///< In an endpoint's answer: the request did not run and will not run.
    std::string answerProof = "X-Answer-Proof"; ///< In an endpoint's answer; a successful answer, also a stream, is valid only with it.
    std::string load = "X-Load"; ///< In an endpoint's answer: its current load.
    std::string rateLimit = "X-Rate-Limit"; ///< In an endpoint's answer: requests per second that it accepts from all instances together.
    std::string coldTime = "X-Cold-Ms"; ///< In an endpoint's answer: how much longer it is cold, in milliseconds.
    std::string leaving = "X-Leaving"; ///< In an endpoint's answer, with the value "1": the endpoint is about to end and accepts no more requests.
    std::string endpointAtFault = "X-At-Fault"; ///< In an answer that refuses the request: the endpoint that caused the refusal.
    std::string endpointId = "X-Endpoint-Id"; ///< In an endpoint's answer to a health check: its own id.
    std::string priority = "X-Priority";
    std::string lastEventId = "Last-Event-Id";
    std::string generationSize = "X-Tokens";
    std::string promptParts = "X-Prompt-Parts"; ///< Sent by callers: the parts of which the prompt consists, in order.
    std::string livenessPath{}; ///< Path for liveness checks, which endpoints answer at once under any load; any answer counts. Empty: no checks.
    std::string healthPath = "/health"; ///< Path of the load balancer's readiness check.

    std::optional<routing::LoadReport> (*parseLoad)(std::string_view value) = nullptr;
    std::optional<GenerationSize> (*parseGenerationSize)(std::string_view value) = nullptr;

    /** Returns the ids of the prompt's parts that other requests may share. Null: prompts have none. */
    std::vector<std::string_view> (*parseSharedPromptParts)(std::string_view value) = nullptr;
};

} // namespace magnolia::forward

#endif
