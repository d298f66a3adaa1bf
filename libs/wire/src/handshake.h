#ifndef MAGNOLIA_WIRE_HANDSHAKE_H
#define MAGNOLIA_WIRE_HANDSHAKE_H

#include "base/failure.h"
#include "field.h"
#include "wire/link.h"
#include "wire/linksession.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::wire
{

/** Types of the handshake's frames; apart from those of messages. */
constexpr std::uint8_t HelloType = 64;
constexpr std::uint8_t ChallengeType = 65;
constexpr std::uint8_t ProofType = 66;

/** Type of the frame that stands in place of a heartbeat when the sender's spacing has changed. */
constexpr std::uint8_t PaceType = 67;

/** Who a side is, with its nonce: the dialer's hello, the listener's challenge. */
struct Introduction {
    std::uint32_t protocolVersion = ProtocolVersion;
    LinkSession::Nonce nonce{};
    PeerInfo self;
    Duration heartbeatInterval{0}; ///< Settings of this side; 0: a peer of before links were paced.
    Duration spacing{0}; ///< LinkPacing::spacing() at this time.
};

/** An HMAC-SHA-256. */
using Mac = Bytes32;

/** Shows that a side knows a key. */
struct Proof {
    std::string keyId;
    Mac mac{};
};

std::vector<std::uint8_t> encodeIntroduction(std::uint8_t type, const Introduction &introduction);
Result<Introduction> decodeIntroduction(std::uint8_t type, std::span<const std::uint8_t> frame);

std::vector<std::uint8_t> encodePace(Duration spacing);

/** @return the sender's spacing, or nothing if the frame is not a pace. */
std::optional<Duration> decodePace(std::span<const std::uint8_t> frame);

std::vector<std::uint8_t> encodeProof(const Proof &proof);
Result<Proof> decodeProof(std::span<const std::uint8_t> frame);

/** The two frames that every proof covers, as they were sent. */
struct Transcript {
    std::span<const std::uint8_t> hello;
    std::span<const std::uint8_t> challenge;
};

/** @return nothing if the library fails. */
std::optional<Mac> computeMac(const LinkKey &key, LinkSession::Side prover, const Transcript &transcript);

/** Takes the same time wherever the two differ. */
bool equalInConstantTime(const Mac &left, const Mac &right);

} // namespace magnolia::wire

#endif
