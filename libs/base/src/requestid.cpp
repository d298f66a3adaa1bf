#include "base/requestid.h"

#include <fmt/format.h>

#include <charconv>

namespace magnolia
{

namespace
{

constexpr std::size_t DigitsPerHalf = 16;
constexpr int Hexadecimal = 16;

std::optional<std::uint64_t> parseHalf(std::string_view digits)
{
    for (const char digit : digits) {
        const bool isLowerHex = (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
        if (!isLowerHex) {
            return std::nullopt;
        }
    }
    std::uint64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, Hexadecimal);
    return value;
}

} // namespace

RequestId RequestId::mint(Random &random)
{
    return {.high = random(), .low = random()};
}

std::optional<RequestId> RequestId::parse(std::string_view text)
{
    if (text.size() != 2 * DigitsPerHalf) {
        return std::nullopt;
    }
    const auto high = parseHalf(text.substr(0, DigitsPerHalf));
    const auto low = parseHalf(text.substr(DigitsPerHalf));
    if (!high || !low) {
        return std::nullopt;
    }
    return RequestId{.high = *high, .low = *low};
}

std::string RequestId::toString() const
{
    return fmt::format("{:016x}{:016x}", high, low);
}

} // namespace magnolia
