#include "replies.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <cstdlib>

namespace magnolia::standins
{

void replyJson(http::Exchange &exchange, int status, const Json &body, http::Headers headers)
{
    headers["content-type"] = "application/json";
    exchange.reply(status, headers, body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void replyError(http::Exchange &exchange, int status, std::string_view message)
{
    replyJson(exchange, status, {{"error", {{"message", message}}}});
}

std::optional<Json> readJson(http::Exchange &exchange)
{
    Json body = Json::parse(exchange.body(), nullptr, false);
    if (!body.is_object()) {
        replyError(exchange, 400, "the body is not a JSON object");
        return std::nullopt;
    }
    return body;
}

std::string headerOf(const http::Exchange &exchange, const std::string &name)
{
    const auto found = exchange.headers().find(name);
    return found == exchange.headers().end() ? std::string() : found->second;
}

std::string queryOf(const http::Exchange &exchange, const std::string &name)
{
    const std::string target(exchange.target());
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos) {
        return {};
    }
    evkeyvalq parameters{};
    if (evhttp_parse_query_str(target.c_str() + mark + 1, &parameters) != 0) {
        return {};
    }
    const char *value = evhttp_find_header(&parameters, name.c_str());
    std::string found = value == nullptr ? "" : value;
    evhttp_clear_headers(&parameters);
    return found;
}

std::string percentDecoded(std::string_view text)
{
    std::string copy(text);
    std::size_t length = 0;
    char *decoded = evhttp_uridecode(copy.c_str(), 0, &length);
    if (decoded == nullptr) {
        return copy;
    }
    std::string result(decoded, length);
    // evhttp hands over memory of malloc.
    std::free(decoded); // NOLINT(cppcoreguidelines-no-malloc)
    return result;
}

} // namespace magnolia::standins
