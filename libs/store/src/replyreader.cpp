#include "replyreader.h"

#include "http/retryaftervalue.h"

#include <event2/http.h>

#include <cstddef>
#include <cstdlib>

namespace magnolia::store
{

namespace
{

constexpr int StatusTooManyRequests = 429;
constexpr int StatusUnavailable = 503;
constexpr int MaxDepth = 16; ///< Valid answers nest at most four levels deep.

std::optional<Duration> retryAfterOf(const http::Response &response)
{
    const auto found = response.headers.find("retry-after");
    return found == response.headers.end() ? std::nullopt : http::parseRetryAfter(found->second);
}

} // namespace

std::string percentEncoded(std::string_view text)
{
    char *encoded = evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
    if (encoded == nullptr) {
        return {};
    }
    std::string result(encoded);
    // evhttp allocates the string with malloc().
    std::free(encoded); // NOLINT(cppcoreguidelines-no-malloc)
    return result;
}

Result<Json> readObject(std::string_view body)
{
    // Parsing is iterative, but destroying or traversing the value recurses: megabytes of '[' would overflow the stack.
    const auto isWithinMaxDepth = [](int depth, Json::parse_event_t /*event*/, Json & /*parsed*/) { return depth <= MaxDepth; };
    Json parsed = Json::parse(body, isWithinMaxDepth, false);
    if (!parsed.is_object()) {
        return fail(ErrorCode::ProtocolError, Verdict::MayHaveRun, "the platform's answer is not a JSON object");
    }
    return parsed;
}

std::optional<Row> readRow(const Json &fields)
{
    if (!fields.is_object()) {
        return std::nullopt;
    }
    const auto value = fields.find("value");
    const auto revision = fields.find("revision");
    const bool isComplete = value != fields.end() && value->is_string() && revision != fields.end() && revision->is_number_unsigned();
    if (!isComplete) {
        return std::nullopt;
    }
    return Row{.value = value->get<std::string>(), .revision = revision->get<std::uint64_t>()};
}

Failure unexpectedStatus(const http::Response &response)
{
    const bool isTemporary = response.status == StatusUnavailable || response.status == StatusTooManyRequests;
    return Failure{
        .code = isTemporary ? ErrorCode::Unavailable : ErrorCode::ProtocolError,
        .verdict = Verdict::MayHaveRun,
        .detail = "the platform answered " + std::to_string(response.status),
        .retryAfter = retryAfterOf(response),
    };
}

Failure malformedBody()
{
    return Failure{.code = ErrorCode::ProtocolError, .verdict = Verdict::MayHaveRun, .detail = "the platform's answer is malformed", .retryAfter = {}};
}

} // namespace magnolia::store
