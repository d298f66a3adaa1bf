#ifndef MAGNOLIA_WIRE_FIELD_H
#define MAGNOLIA_WIRE_FIELD_H

#include "base/clock.h"

#include <array>
#include <cstdint>
#include <limits>
#include <string_view>

namespace magnolia::wire
{

/** An optional field is left out where it is zero, false or empty. */
enum class Presence : std::uint8_t {
    Required,
    Optional,
};

/** The values that a number may have, both ends included. */
template<typename T>
struct Range {
    T lowest = 0;
    T highest = std::numeric_limits<T>::max();
};

/** The field that says which message this is. */
constexpr std::string_view TypeField = "t";

/** No duration on a link is longer; it keeps sums of durations far from overflow. */
constexpr Duration MaxDuration = std::chrono::hours(24 * 365);

/** A nonce or an HMAC-SHA-256. */
using Bytes32 = std::array<std::uint8_t, 32>;

} // namespace magnolia::wire

#endif
