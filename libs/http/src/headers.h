#ifndef MAGNOLIA_HTTP_HEADERS_H
#define MAGNOLIA_HTTP_HEADERS_H

#include "http/httpclient.h"

#include <event2/http.h>

#include <cstdint>
#include <optional>
#include <string_view>

struct evkeyvalq;

namespace magnolia::http
{

/** @return the received headers, names in lower case, repeated ones joined by ", ". */
Headers readHeaders(const evkeyvalq *received);

/**
 * Adds headers to a message, all but those that evhttp frames the message by.
 *
 * @return false if a name or value can't be sent, e.g. holds a line break.
 */
bool writeHeaders(evkeyvalq *target, const Headers &headers);

/** @return nothing for a method that is not one of those that services may use. */
std::optional<evhttp_cmd_type> methodFromName(std::string_view name);

std::string_view methodName(evhttp_cmd_type method);

/** All methods that the servers take, as evhttp's bit set. */
std::uint16_t allowedMethods();

} // namespace magnolia::http

#endif
