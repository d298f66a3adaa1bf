#ifndef MAGNOLIA_WIRE_DECODECHECK_H
#define MAGNOLIA_WIRE_DECODECHECK_H

#include <cstdint>
#include <span>

namespace magnolia::wire
{

/**
 * Decodes the bytes as a message, and aborts unless a message that decodes is the same after another round trip.
 *
 * @return whether they decode.
 */
bool checkDecode(std::span<const std::uint8_t> bytes);

} // namespace magnolia::wire

#endif
