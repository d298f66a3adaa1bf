#include "wire/codec.h"
#include "samplemessages.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace magnolia::wire
{

namespace
{

using Json = nlohmann::json;
using Bytes = std::vector<std::uint8_t>;

/** The message as a map that a case can spoil. */
Json fieldsOf(const Message &message)
{
    return Json::from_cbor(encode(message));
}

struct SpoiltCase {
    std::string name;
    Message message;
    std::function<void(Json &)> spoil;
};

const std::string InvalidUtf8 = "\xc3\x28";

std::vector<SpoiltCase> spoiltCases()
{
    return {
        {"no type", sampleChunk(), [](Json &fields) { fields.erase("t"); }},
        {"type is a text", sampleChunk(), [](Json &fields) { fields["t"] = "6"; }},
        {"type is negative", sampleChunk(), [](Json &fields) { fields["t"] = -6; }},
        {"missing id", sampleChunk(), [](Json &fields) { fields.erase("q"); }},
        {"missing index", sampleChunk(), [](Json &fields) { fields.erase("i"); }},
        {"missing flag", sampleDispatch(), [](Json &fields) { fields.erase("id"); }},
        {"short id",
         sampleChunk(),
         [](Json &fields) {
             fields["q"] = Json::binary({1, 2, 3});
         }},
        {"id is a text", sampleChunk(), [](Json &fields) { fields["q"] = "0123456789abcdef"; }},
        {"index is negative", sampleChunk(), [](Json &fields) { fields["i"] = -1; }},
        {"index is a fraction", sampleChunk(), [](Json &fields) { fields["i"] = 1.5; }},
        {"index is null", sampleChunk(), [](Json &fields) { fields["i"] = nullptr; }},
        {"index is a list", sampleChunk(), [](Json &fields) { fields["i"] = Json::array({1}); }},
        {"index over 32 bits", sampleChunk(), [](Json &fields) { fields["i"] = std::uint64_t{1} << 32U; }},
        {"data is a text", sampleChunk(), [](Json &fields) { fields["d"] = "text"; }},
        {"flag is a number", sampleDispatch(), [](Json &fields) { fields["id"] = 1; }},
        {"class out of range", sampleDispatch(), [](Json &fields) { fields["c"] = 2; }},
        {"weight zero", sampleDispatch(), [](Json &fields) { fields["w"] = 0; }},
        {"weight over 1000", sampleDispatch(), [](Json &fields) { fields["w"] = 1001; }},
        {"duration over the limit", sampleDispatch(), [](Json &fields) { fields["d"] = std::uint64_t{1} << 62U; }},
        {"text is not UTF-8", sampleDispatch(), [](Json &fields) { fields["o"] = InvalidUtf8; }},
        {"headers are a list", sampleDispatch(), [](Json &fields) { fields["h"] = Json::array({"a"}); }},
        {"header value is a text",
         sampleDispatch(),
         [](Json &fields) {
             fields["h"] = {{"a", "b"}};
         }},
        {"header value is a map",
         sampleDispatch(),
         [](Json &fields) {
             fields["h"] = {{"a", {{"b", 1}}}};
         }},
        {"header name is not UTF-8",
         sampleDispatch(),
         [](Json &fields) {
             fields["h"] = {{InvalidUtf8, Json::binary({1})}};
         }},
        {"verdict out of range", Finish{}, [](Json &fields) { fields["vd"] = 3; }},
        {"status out of range", Finish{}, [](Json &fields) { fields["s"] = 1000; }},
        {"loaded holds a number", sampleLoadReport(), [](Json &fields) { fields["ld"] = Json::array({1}); }},
        {"loaded holds invalid UTF-8", sampleLoadReport(), [](Json &fields) { fields["ld"] = Json::array({InvalidUtf8}); }},
        {"kind over 8 bits", SwitchMessage{}, [](Json &fields) { fields["kd"] = 256; }},
        {"nested too deep", sampleChunk(), [](Json &fields) { fields["zz"] = Json::parse("[[[[[[[[1]]]]]]]]"); }},
    };
}

struct RawCase {
    std::string name;
    Bytes frame;
};

Bytes repeated(std::uint8_t byte, std::size_t count)
{
    return Bytes(count, byte);
}

/** A map whose one member is named "t" and has these bytes for its value. */
Bytes afterTypeName(Bytes value)
{
    constexpr std::array<std::uint8_t, 3> Opening{0xa1, 0x61, 't'};
    value.insert(value.begin(), Opening.begin(), Opening.end());
    return value;
}

/** A good message but for its index, which is there twice. */
Bytes withRepeatedField()
{
    Bytes frame = encode(sampleChunk());
    ++frame.front(); // the number of members, in the low bits
    frame.insert(frame.end(), {0x61, 'i', 0x01});
    return frame;
}

// Initial bytes by RFC 8949: 0xa0 map, 0x80 array, 0x60 text, 0x40 bytes, 0xc0 tag; the low five bits are the length.
std::vector<RawCase> rawCases()
{
    constexpr std::size_t Million = 1'000'000;
    return {
        {"empty frame", {}},
        {"empty map", {0xa0}},
        {"not a map", {0x01}},
        {"list for a map", {0x81, 0x01}},
        {"map cut off in its count", {0xb9, 0x00}},
        {"map with fewer members than told", {0xa2, 0x61, 't', 0x02}},
        {"text cut off", {0xa1, 0x78, 0xff, 't'}},
        {"count beyond all memory", {0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
        {"bytes beyond all memory", {0xa1, 0x61, 't', 0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
        {"number for a key", {0xa1, 0x01, 0x02}},
        {"reserved length", {0xa1, 0x61, 't', 0x1c}},
        {"tagged value", {0xa1, 0x61, 't', 0xc1, 0x02}},
        {"map of indefinite length", {0xbf, 0x61, 't', 0x02, 0xff}},
        {"field given twice", withRepeatedField()},
        {"a million nested lists", afterTypeName(repeated(0x81, Million))},
        {"a million nested maps", afterTypeName(repeated(0xa1, Million))},
        {"a million nested tags", afterTypeName(repeated(0xc1, Million))},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(CodecTest)

BOOST_AUTO_TEST_CASE(eachMessage_encodedAndDecoded_isTheSame)
{
    for (const Message &message : sampleMessages()) {
        const auto frame = encode(message);
        const auto decoded = decode(frame);
        BOOST_REQUIRE_MESSAGE(decoded.has_value(), decoded.error().detail);
        BOOST_TEST((*decoded == message));
    }
}

BOOST_AUTO_TEST_CASE(spoiltField_decoded_isBadInput)
{
    for (SpoiltCase &spoilt : spoiltCases()) {
        Json fields = fieldsOf(spoilt.message);
        spoilt.spoil(fields);
        const auto decoded = decode(Json::to_cbor(fields));
        BOOST_REQUIRE_MESSAGE(!decoded.has_value(), spoilt.name);
        BOOST_TEST((decoded.error().code == ErrorCode::BadInput), spoilt.name);
        BOOST_TEST(!decoded.error().detail.empty(), spoilt.name);
    }
}

// Symptom: the process dies of a stack overflow when a peer sends a frame of a million bytes that each open a list.
// Sequence: the frame is within the size limit and reaches the decoder; the CBOR library calls itself for each byte.
// Cause: recursion on the depth of untrusted input.
BOOST_AUTO_TEST_CASE(malformedFrame_decoded_isBadInput)
{
    for (const RawCase &raw : rawCases()) {
        const auto decoded = decode(raw.frame);
        BOOST_REQUIRE_MESSAGE(!decoded.has_value(), raw.name);
        BOOST_TEST((decoded.error().code == ErrorCode::BadInput), raw.name);
    }
}

// Symptom: as above, by a frame that holds no nested list at all.
// Sequence: a text of indefinite length whose pieces are again texts of indefinite length, a million deep.
// Cause: the CBOR library calls itself for each piece of such a string, and tells no depth to its caller.
BOOST_AUTO_TEST_CASE(stringOfIndefiniteLength_decoded_isBadInput)
{
    for (const std::uint8_t opening : {std::uint8_t{0x7f}, std::uint8_t{0x5f}}) {
        const auto decoded = decode(afterTypeName(repeated(opening, 1'000'000)));
        BOOST_REQUIRE(!decoded.has_value());
        BOOST_TEST((decoded.error().code == ErrorCode::BadInput));
    }
}

BOOST_AUTO_TEST_CASE(eachPrefix_decoded_isBadInput)
{
    for (const Message &message : sampleMessages()) {
        const auto frame = encode(message);
        for (std::size_t size = 0; size < frame.size(); ++size) {
            BOOST_TEST(!decode(std::span(frame).first(size)).has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(trailingByte_decoded_isBadInput)
{
    auto frame = encode(sampleChunk());
    frame.push_back(0);
    BOOST_TEST(!decode(frame).has_value());
}

BOOST_AUTO_TEST_CASE(unknownFields_decoded_areIgnored)
{
    Json fields = fieldsOf(sampleLoadReport());
    fields["zz"] = {{"nested", Json::array({1, 2, Json::array({3})})}};
    fields["later"] = 1.5;
    const auto decoded = decode(Json::to_cbor(fields));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == Message(sampleLoadReport())));
}

BOOST_AUTO_TEST_CASE(unknownType_decoded_isNotFound)
{
    const auto decoded = decode(Json::to_cbor(Json{{"t", 200}}));
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST((decoded.error().code == ErrorCode::NotFound));
}

// Symptom: all requests on a link fail when one caller sends one odd byte, and again after each reconnection.
// Sequence: an engine's error text is cut in the middle of a character; the agent puts it into a Finish; the entry's
// decoder refuses the frame and closes the link.
// Cause: the encoder let through what the decoder must refuse.
BOOST_AUTO_TEST_CASE(oddValues_encoded_decodeAgain)
{
    Dispatch dispatch = sampleDispatch();
    dispatch.organisation = InvalidUtf8;
    dispatch.weight = 0;
    dispatch.timeLeft = Duration(-5);
    dispatch.headers[InvalidUtf8] = InvalidUtf8;
    dispatch.path = InvalidUtf8;
    const auto decoded = decode(encode(dispatch));
    BOOST_REQUIRE_MESSAGE(decoded.has_value(), decoded.error().detail);
    const auto &got = std::get<Dispatch>(*decoded);
    BOOST_TEST(got.organisation == "\xef\xbf\xbd(");
    BOOST_TEST(got.weight == 1U);
    BOOST_TEST((got.timeLeft == Duration::zero()));
    BOOST_TEST(got.path == InvalidUtf8);

    Finish finish;
    finish.detail = InvalidUtf8;
    finish.status = 12'345;
    finish.retryAfter = Duration::max();
    BOOST_TEST(decode(encode(finish)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::wire
