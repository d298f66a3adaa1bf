#ifndef MAGNOLIA_WIRE_CBORSHAPE_H
#define MAGNOLIA_WIRE_CBORSHAPE_H

#include <cstddef>
#include <cstdint>
#include <span>

namespace magnolia::wire
{

/** Maps and arrays may be nested so deep in a message, the outermost one included. */
constexpr std::size_t MaxNesting = 8;

/**
 * @return whether the bytes are exactly one CBOR item without tags, without items of indefinite length and nested no
 *         deeper than MaxNesting. Uses no recursion, so that no input can exhaust the stack.
 */
bool hasPlainShape(std::span<const std::uint8_t> bytes);

} // namespace magnolia::wire

#endif
