#include "http/errorbody.h"

#include <nlohmann/json.hpp>

namespace magnolia::http
{

std::string errorBody(const Failure &failure, std::string_view requestId)
{
    nlohmann::json error = {
        {"code", failure.code.message()},
        {"message", failure.detail},
        {"verdict", toString(failure.verdict)},
    };
    if (!requestId.empty()) {
        error["request_id"] = requestId;
    }
    if (failure.retryAfter) {
        error["retry_after_ms"] = failure.retryAfter->count();
    }
    const nlohmann::json body = {{"error", std::move(error)}};
    // A detail may quote bytes from outside: what isn't UTF-8 in it is replaced, not thrown over.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace magnolia::http
