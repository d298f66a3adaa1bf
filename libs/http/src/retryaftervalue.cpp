#include "http/retryaftervalue.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <system_error>

namespace magnolia::http
{

namespace
{

constexpr std::chrono::hours MaxRetryAfter{24};

} // namespace

std::optional<Duration> parseRetryAfter(std::string_view text)
{
    double seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    const bool isNumber = !text.empty() && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!isNumber || !std::isfinite(seconds) || seconds < 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> limit(MaxRetryAfter);
    return std::chrono::ceil<Duration>(std::min(std::chrono::duration<double>(seconds), limit));
}

} // namespace magnolia::http
