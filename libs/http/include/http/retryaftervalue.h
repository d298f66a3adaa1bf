#ifndef MAGNOLIA_HTTP_RETRYAFTERVALUE_H
#define MAGNOLIA_HTTP_RETRYAFTERVALUE_H

#include "base/clock.h"

#include <optional>
#include <string_view>

namespace magnolia::http
{

constexpr std::string_view RetryAfterHeader = "Retry-After";

/**
 * Parses the value of a Retry-After header.
 *
 * @param text seconds, with an optional fraction. Dates are not understood.
 * @return the time, rounded up to milliseconds and at most a day; nothing if the text is not a finite number of at least 0.
 */
std::optional<Duration> parseRetryAfter(std::string_view text);

} // namespace magnolia::http

#endif
