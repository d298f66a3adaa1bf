#include "localanswer.h"

#include "base/errorcode.h"
#include "base/failure.h"
#include "http/errorbody.h"
#include "http/retryaftervalue.h"
#include "statuscodes.h"

#include <spdlog/fmt/fmt.h>

namespace magnolia::forward
{

namespace
{

ErrorCode codeOf(int status)
{
    switch (status) {
    case StatusBadRequest:
    case StatusRequestTimeout:
    case StatusTooLarge:
    case StatusHeadersTooLarge:
        return ErrorCode::BadInput;
    case StatusUnauthorised:
        return ErrorCode::Unauthorised;
    case StatusNotFound:
        return ErrorCode::NotFound;
    case StatusTimeout:
        return ErrorCode::DeadlineExceeded;
    default:
        return ErrorCode::Unavailable;
    }
}

} // namespace

http::HeaderList headersOf(const LocalAnswer &answer, const Protocol &protocol)
{
    http::HeaderList headers;
    if (!answer.requestId.empty()) {
        headers.add(protocol.requestId, std::string(answer.requestId));
    }
    headers.add("Content-Type", "application/json");
    if (answer.retryAfter) {
        headers.add(std::string(http::RetryAfterHeader), fmt::format("{:.3f}", std::chrono::duration<double>(*answer.retryAfter).count()));
    }
    return headers;
}

std::string bodyOf(const LocalAnswer &answer)
{
    const Failure failure{.code = codeOf(answer.status), .verdict = answer.verdict, .detail = std::string(answer.cause), .retryAfter = answer.retryAfter};
    return http::errorBody(failure, answer.requestId);
}

} // namespace magnolia::forward
