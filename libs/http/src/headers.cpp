#include "headers.h"

#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>
#include <utility>

namespace magnolia::http
{

namespace
{

constexpr std::array<std::pair<std::string_view, evhttp_cmd_type>, 7> Methods = {{
    {"GET", EVHTTP_REQ_GET},
    {"HEAD", EVHTTP_REQ_HEAD},
    {"POST", EVHTTP_REQ_POST},
    {"PUT", EVHTTP_REQ_PUT},
    {"DELETE", EVHTTP_REQ_DELETE},
    {"OPTIONS", EVHTTP_REQ_OPTIONS},
    {"PATCH", EVHTTP_REQ_PATCH},
}};

std::string toLower(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

// A header passed on from another message must not contradict how this one is framed: the far end would take the
// rest of one body for the next request.
bool isFramingHeader(std::string_view lowerName)
{
    return lowerName == "content-length" || lowerName == "transfer-encoding" || lowerName == "connection" || lowerName == "keep-alive";
}

bool isHeaderName(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
}

} // namespace

Headers readHeaders(const evkeyvalq *received)
{
    Headers headers;
    for (const evkeyval *entry = received->tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
        auto [position, isNew] = headers.try_emplace(toLower(entry->key), entry->value);
        if (!isNew) {
            position->second.append(", ").append(entry->value);
        }
    }
    return headers;
}

bool writeHeaders(evkeyvalq *target, const Headers &headers)
{
    for (const auto &[name, value] : headers) {
        if (isFramingHeader(toLower(name))) {
            continue;
        }
        const bool isCutByNul = value.find('\0') != std::string::npos;
        if (!isHeaderName(name) || isCutByNul || evhttp_add_header(target, name.c_str(), value.c_str()) != 0) {
            return false;
        }
    }
    return true;
}

std::optional<evhttp_cmd_type> methodFromName(std::string_view name)
{
    for (const auto &[known, method] : Methods) {
        if (known == name) {
            return method;
        }
    }
    return std::nullopt;
}

std::string_view methodName(evhttp_cmd_type method)
{
    for (const auto &[name, known] : Methods) {
        if (known == method) {
            return name;
        }
    }
    return "";
}

std::uint16_t allowedMethods()
{
    unsigned bits = 0;
    for (const auto &[name, method] : Methods) {
        bits |= method;
    }
    return static_cast<std::uint16_t>(bits);
}

} // namespace magnolia::http
