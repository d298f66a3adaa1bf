#include "base/errorcode.h"

#include <string>

namespace magnolia
{

namespace
{

class ErrorCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "magnolia";
    }

    std::string message(int value) const override
    {
        switch (static_cast<ErrorCode>(value)) {
        case ErrorCode::Ok:
            return "ok";
        case ErrorCode::BadInput:
            return "bad_input";
        case ErrorCode::TooLarge:
            return "too_large";
        case ErrorCode::Unauthorised:
            return "unauthorised";
        case ErrorCode::Forbidden:
            return "forbidden";
        case ErrorCode::NotFound:
            return "not_found";
        case ErrorCode::Conflict:
            return "conflict";
        case ErrorCode::Overloaded:
            return "overloaded";
        case ErrorCode::RateLimited:
            return "rate_limited";
        case ErrorCode::DeadlineExceeded:
            return "deadline_exceeded";
        case ErrorCode::Cancelled:
            return "cancelled";
        case ErrorCode::Leaving:
            return "leaving";
        case ErrorCode::StaleIncarnation:
            return "stale_incarnation";
        case ErrorCode::StaleFence:
            return "stale_fence";
        case ErrorCode::Unavailable:
            return "unavailable";
        case ErrorCode::ConnectionLost:
            return "connection_lost";
        case ErrorCode::ProtocolError:
            return "protocol_error";
        case ErrorCode::EndpointError:
            return "endpoint_error";
        case ErrorCode::Internal:
            break;
        }
        return "internal";
    }
};

} // namespace

const std::error_category &errorCategory()
{
    static const ErrorCategory category;
    return category;
}

std::error_code make_error_code(ErrorCode code)
{
    return {static_cast<int>(code), errorCategory()};
}

} // namespace magnolia
