#ifndef MAGNOLIA_WIRE_CODEC_H
#define MAGNOLIA_WIRE_CODEC_H

#include "base/failure.h"
#include "wire/messages.h"

#include <cstdint>
#include <span>
#include <vector>

namespace magnolia::wire
{

/**
 * Encodes a message as one CBOR map. What comes out always decodes: numbers are clamped to their field's range, and
 * invalid UTF-8 in a text field is replaced by U+FFFD, so that one odd message cannot cost the link that all share.
 */
std::vector<std::uint8_t> encode(const Message &message);

/**
 * Decodes one message. Never throws.
 *
 * @return NotFound for a well-formed message of a type that this version doesn't know; BadInput for anything else that
 *         is not a message: truncated, trailing bytes, missing, repeated, ill-typed or out-of-range field, invalid
 *         UTF-8 in a text field, nesting that is too deep.
 */
Result<Message> decode(std::span<const std::uint8_t> bytes);

} // namespace magnolia::wire

#endif
