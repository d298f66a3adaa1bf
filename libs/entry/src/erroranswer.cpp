#include "entry/erroranswer.h"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <optional>

namespace magnolia::entry
{

namespace
{

constexpr auto LastCode = ErrorCode::Internal;

/** Where a later try makes sense though nobody worked out when. */
constexpr std::chrono::milliseconds DefaultRetryAfter{1000};

ErrorCode codeOf(const Failure &failure)
{
    if (failure.code.category() != errorCategory()) {
        return ErrorCode::Internal;
    }
    return static_cast<ErrorCode>(failure.code.value());
}

bool passesWithTime(ErrorCode code)
{
    return code == ErrorCode::Overloaded || code == ErrorCode::RateLimited || code == ErrorCode::Unavailable || code == ErrorCode::Leaving
        || code == ErrorCode::ConnectionLost;
}

std::optional<std::chrono::milliseconds> retryAfterOf(const Failure &failure)
{
    if (failure.retryAfter || !passesWithTime(codeOf(failure))) {
        return failure.retryAfter;
    }
    return DefaultRetryAfter;
}

} // namespace

ErrorCode errorCodeNamed(std::string_view name)
{
    for (int value = 0; value <= static_cast<int>(LastCode); ++value) {
        const auto code = static_cast<ErrorCode>(value);
        if (make_error_code(code).message() == name) {
            return code;
        }
    }
    return ErrorCode::Internal;
}

int httpStatusOf(const Failure &failure)
{
    switch (codeOf(failure)) {
    case ErrorCode::Ok:
        return 200;
    case ErrorCode::BadInput:
        return 400;
    case ErrorCode::TooLarge:
        return 413;
    case ErrorCode::Unauthorised:
        return 401;
    case ErrorCode::Forbidden:
        return 403;
    case ErrorCode::NotFound:
        return 404;
    case ErrorCode::Conflict:
        // Not run: the key was used with another body. Else its call is still claimed by another attempt.
        return failure.verdict == Verdict::NotRun ? 422 : 409;
    case ErrorCode::Overloaded:
    case ErrorCode::RateLimited:
        return 429;
    case ErrorCode::DeadlineExceeded:
        return 504;
    case ErrorCode::Leaving:
    case ErrorCode::StaleIncarnation:
    case ErrorCode::StaleFence:
    case ErrorCode::Unavailable:
        return 503;
    case ErrorCode::ConnectionLost:
    case ErrorCode::ProtocolError:
    case ErrorCode::EndpointError:
        return 502;
    case ErrorCode::Cancelled:
    case ErrorCode::Internal:
        break;
    }
    return 500;
}

http::Headers answerHeaders(const RequestId &id, Verdict verdict)
{
    return {{"x-request-id", id.toString()}, {"x-verdict", std::string(toString(verdict))}};
}

std::string errorObject(const Failure &failure, const RequestId &id)
{
    nlohmann::json error{
        {"code", make_error_code(codeOf(failure)).message()},
        {"message", failure.detail},
        {"verdict", toString(failure.verdict)},
        {"request_id", id.toString()},
    };
    if (const auto wait = retryAfterOf(failure)) {
        error["retry_after_ms"] = wait->count();
    }
    // Details can quote the caller's bytes, which need not be UTF-8.
    return nlohmann::json{{"error", std::move(error)}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpAnswer errorAnswer(const Failure &failure, const RequestId &id)
{
    HttpAnswer answer{.status = httpStatusOf(failure), .headers = answerHeaders(id, failure.verdict), .body = errorObject(failure, id)};
    answer.headers["content-type"] = "application/json";
    if (const auto wait = retryAfterOf(failure)) {
        answer.headers["retry-after"] = std::to_string(std::chrono::ceil<std::chrono::seconds>(*wait).count());
    }
    if (codeOf(failure) == ErrorCode::Unauthorised) {
        answer.headers["www-authenticate"] = "Bearer";
    }
    return answer;
}

} // namespace magnolia::entry
