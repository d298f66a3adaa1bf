#ifndef MAGNOLIA_FORWARD_HEADERVALUES_H
#define MAGNOLIA_FORWARD_HEADERVALUES_H

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <system_error>

namespace magnolia::forward
{

/** @return nothing unless the whole text is one number. */
template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && !text.empty();
    return isNumber ? std::optional(number) : std::nullopt;
}

/** @return requests per second; nothing if the text is not a finite number of at least 0. */
inline std::optional<double> parseRate(std::string_view text)
{
    const auto rate = parseNumber<double>(text);
    return rate && std::isfinite(*rate) && *rate >= 0 ? rate : std::nullopt;
}

} // namespace magnolia::forward

#endif
