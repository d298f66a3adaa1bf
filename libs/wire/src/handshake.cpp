#include "handshake.h"

#include "fieldreader.h"
#include "fieldwriter.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <type_traits>

namespace magnolia::wire
{

namespace
{

template<typename F, typename I>
void visitIntroduction(F &fields, I &introduction)
{
    fields.number("pv", introduction.protocolVersion, Presence::Required);
    fields.bytes32("nc", introduction.nonce);
    fields.choice("rl", introduction.self.role, Role::Agent);
    fields.text("in", introduction.self.instance, Presence::Required);
    fields.text("dc", introduction.self.dataCentre, Presence::Required);
    fields.text("e", introduction.self.endpoint, Presence::Optional);
    fields.number("n", introduction.self.incarnation, Presence::Required);
    fields.duration("hb", introduction.heartbeatInterval, Presence::Optional);
    fields.duration("sp", introduction.spacing, Presence::Optional);
}

template<typename F, typename P>
void visitProof(F &fields, P &proof)
{
    fields.text("ki", proof.keyId, Presence::Required);
    fields.bytes32("mc", proof.mac);
}

Result<FieldReader> parseTyped(std::uint8_t type, std::span<const std::uint8_t> frame)
{
    auto fields = FieldReader::parse(frame);
    if (fields && fields->type() != type) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "a frame of the handshake is out of order");
    }
    return fields;
}

// Each part is preceded by its length, so that no two different lists of parts give the same bytes.
void appendPart(std::vector<std::uint8_t> &bytes, std::span<const std::uint8_t> part)
{
    const std::uint64_t size = part.size();
    for (unsigned shift = 0; shift < 64; shift += 8) {
        bytes.push_back(static_cast<std::uint8_t>(size >> shift));
    }
    bytes.insert(bytes.end(), part.begin(), part.end());
}

void appendPart(std::vector<std::uint8_t> &bytes, std::string_view part)
{
    appendPart(bytes, std::span(reinterpret_cast<const std::uint8_t *>(part.data()), part.size()));
}

} // namespace

std::vector<std::uint8_t> encodeIntroduction(std::uint8_t type, const Introduction &introduction)
{
    FieldWriter fields(type);
    visitIntroduction(fields, introduction);
    return fields.finish();
}

Result<Introduction> decodeIntroduction(std::uint8_t type, std::span<const std::uint8_t> frame)
{
    auto fields = parseTyped(type, frame);
    if (!fields) {
        return tl::unexpected(fields.error());
    }
    // The version is read by itself first: another version may have other fields.
    Introduction introduction;
    fields->number("pv", introduction.protocolVersion, Presence::Required);
    if (fields->fault().empty() && introduction.protocolVersion != ProtocolVersion) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "the peer speaks version " + std::to_string(introduction.protocolVersion) + " of the protocol");
    }
    visitIntroduction(*fields, introduction);
    if (!fields->fault().empty()) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, fields->fault());
    }
    introduction.self.isPaced = introduction.heartbeatInterval > Duration::zero();
    return introduction;
}

std::vector<std::uint8_t> encodePace(Duration spacing)
{
    FieldWriter fields(PaceType);
    fields.duration("sp", spacing, Presence::Required);
    return fields.finish();
}

std::optional<Duration> decodePace(std::span<const std::uint8_t> frame)
{
    auto fields = parseTyped(PaceType, frame);
    if (!fields) {
        return std::nullopt;
    }
    Duration spacing{0};
    fields->duration("sp", spacing, Presence::Required);
    return fields->fault().empty() ? std::optional(spacing) : std::nullopt;
}

std::vector<std::uint8_t> encodeProof(const Proof &proof)
{
    FieldWriter fields(ProofType);
    visitProof(fields, proof);
    return fields.finish();
}

Result<Proof> decodeProof(std::span<const std::uint8_t> frame)
{
    auto fields = parseTyped(ProofType, frame);
    if (!fields) {
        return tl::unexpected(fields.error());
    }
    Proof proof;
    visitProof(*fields, proof);
    if (!fields->fault().empty()) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, fields->fault());
    }
    return proof;
}

// The side is part of what is proved. Without it a peer that knows no key could send our own proof back to us, and pass.
// The nonces in the two frames are fresh, so that a proof recorded from another connection doesn't fit this one.
std::optional<Mac> computeMac(const LinkKey &key, LinkSession::Side prover, const Transcript &transcript)
{
    std::vector<std::uint8_t> proved;
    appendPart(proved, "magnoliarack link");
    appendPart(proved, prover == LinkSession::Side::Dialer ? "dialer" : "listener");
    appendPart(proved, key.id);
    appendPart(proved, transcript.hello);
    appendPart(proved, transcript.challenge);
    Mac mac{};
    unsigned size = mac.size();
    const auto *done = HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()), proved.data(), proved.size(), mac.data(), &size);
    if (done == nullptr || size != mac.size()) {
        return std::nullopt;
    }
    return mac;
}

bool equalInConstantTime(const Mac &left, const Mac &right)
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace magnolia::wire
