#ifndef MAGNOLIA_WIRE_SESSIONCHECK_H
#define MAGNOLIA_WIRE_SESSIONCHECK_H

#include <cstdint>
#include <span>
#include <vector>

namespace magnolia::wire
{

/**
 * Plays a stranger's frames to a dialer and to a listener, and aborts if either lets it in or decodes a message.
 *
 * @param bytes frames, each after its length in two bytes, the lower one first.
 * @return how many frames were taken before the sessions refused.
 */
std::size_t checkSession(std::span<const std::uint8_t> bytes);

/** @return a whole handshake of two that know another key than the sessions of checkSession(), in its form; one entry a side. */
std::vector<std::vector<std::uint8_t>> recordedHandshakes();

} // namespace magnolia::wire

#endif
