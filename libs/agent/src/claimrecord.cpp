#include "agent/claimrecord.h"

#include "manifest/digest.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <initializer_list>
#include <vector>

namespace magnolia::agent
{

namespace
{

using Json = nlohmann::json;

std::string_view stateName(ClaimState state)
{
    switch (state) {
    case ClaimState::Claimed:
        return "claimed";
    case ClaimState::NotRun:
        return "not-run";
    case ClaimState::Done:
        return "done";
    }
    return "";
}

std::string toBase64(std::string_view bytes)
{
    constexpr std::size_t BytesPerGroup = 3;
    constexpr std::size_t CharactersPerGroup = 4;
    std::vector<unsigned char> out((bytes.size() / BytesPerGroup + 1) * CharactersPerGroup + 1);
    const int length = EVP_EncodeBlock(out.data(), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    return {out.begin(), out.begin() + length};
}

Result<std::string> fromBase64(std::string_view text)
{
    std::vector<unsigned char> out(text.size() + 1);
    int length = EVP_DecodeBlock(out.data(), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (length < 0) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "the claim row's body is no base64");
    }
    // The decoder counts the padding as bytes.
    for (std::size_t i = text.size(); i > 0 && text[i - 1] == '='; --i) {
        --length;
    }
    return std::string(out.begin(), out.begin() + length);
}

/** SHA-256 over parts, each with its length before it, so that no two lists of parts look alike. */
std::string digestOf(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts) {
        text.append(std::to_string(part.size())).append(":").append(part);
    }
    return manifest::Digest::of(text).toString();
}

ClaimRecord recordFrom(const Json &json)
{
    ClaimRecord record;
    const auto state = json.at("state").get<std::string>();
    if (state == stateName(ClaimState::Done)) {
        record.state = ClaimState::Done;
    } else if (state == stateName(ClaimState::NotRun)) {
        record.state = ClaimState::NotRun;
    }
    // A state that this version doesn't know stays Claimed: the careful reading, since nobody takes such a row over.
    record.digest = json.at("digest").get<std::string>();
    record.attempt.request = RequestId::parse(json.at("request").get<std::string>()).value_or(RequestId{});
    record.attempt.attempt = json.at("attempt").get<std::uint32_t>();
    record.incarnation = json.at("incarnation").get<std::uint64_t>();
    return record;
}

} // namespace

bool ClaimRecord::isOf(const wire::AttemptId &id, wire::Incarnation agent) const
{
    return attempt == id && incarnation == agent;
}

std::string ClaimRecord::encode() const
{
    Json json = {
        {"state", stateName(state)},
        {"digest", digest},
        {"request", attempt.request.toString()},
        {"attempt", attempt.attempt},
        {"incarnation", incarnation},
    };
    if (state == ClaimState::Done) {
        json["status"] = answer.status;
        json["content_type"] = answer.contentType;
        json["body_kept"] = answer.bodyKept;
        json["body"] = toBase64(answer.body);
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ClaimRecord> ClaimRecord::decode(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        ClaimRecord record = recordFrom(json);
        if (record.state == ClaimState::Done) {
            record.answer.status = json.at("status").get<std::uint32_t>();
            record.answer.contentType = json.at("content_type").get<std::string>();
            record.answer.bodyKept = json.at("body_kept").get<bool>();
            auto body = fromBase64(json.at("body").get<std::string>());
            if (!body) {
                return tl::unexpected(body.error());
            }
            record.answer.body = std::move(*body);
        }
        return record;
    } catch (const Json::exception &error) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, std::string("the claim row is malformed: ") + error.what());
    }
}

std::string claimKey(std::string_view organisation, std::string_view service, std::string_view idempotencyKey)
{
    std::string key = "claim/";
    key.append(organisation).append("/").append(service).append("/");
    return key + digestOf({organisation, service, idempotencyKey});
}

std::string requestDigest(std::string_view method, std::string_view path, std::string_view body)
{
    return digestOf({method, path, body});
}

} // namespace magnolia::agent
