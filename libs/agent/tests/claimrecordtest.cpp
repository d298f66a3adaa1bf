#include "agent/claimrecord.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <set>

using namespace magnolia;
using namespace magnolia::agent;

namespace
{

ClaimRecord doneRecord()
{
    return {
        .state = ClaimState::Done,
        .digest = "d",
        .attempt = {.request = {.high = 1, .low = 2}, .attempt = 3},
        .incarnation = 4,
        .answer = {.status = 201, .contentType = "text/plain", .body = std::string("\0\xff\n\"x", 5)},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimRecordTest)

BOOST_AUTO_TEST_CASE(doneRecord_encodedAndDecoded_keepsEachByteOfTheAnswer)
{
    for (std::size_t length = 0; length < 8; ++length) {
        ClaimRecord record = doneRecord();
        record.answer.body = std::string(length, '\xfe');
        const auto decoded = ClaimRecord::decode(record.encode());
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST(decoded->answer.body == record.answer.body);
    }
    const auto decoded = ClaimRecord::decode(doneRecord().encode());
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->state == ClaimState::Done));
    BOOST_TEST(decoded->answer.body == doneRecord().answer.body);
    BOOST_TEST(decoded->answer.status == 201U);
    BOOST_TEST(decoded->isOf(doneRecord().attempt, 4));
    BOOST_TEST(!decoded->isOf(doneRecord().attempt, 5));
}

BOOST_AUTO_TEST_CASE(malformedRow_decoded_isAnError)
{
    const std::array<std::string_view, 4> malformed = {
        "", "[]", R"({"state":"claimed"})", R"({"state":"done","digest":"","request":"","attempt":1,"incarnation":1})"};
    for (const std::string_view text : malformed) {
        BOOST_TEST(!ClaimRecord::decode(text).has_value(), text);
    }
}

BOOST_AUTO_TEST_CASE(unknownState_decoded_staysClaimed)
{
    const auto decoded = ClaimRecord::decode(R"({"state":"later","digest":"d","request":"","attempt":1,"incarnation":1})");
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->state == ClaimState::Claimed));
}

// Symptom: one organisation got another's stored answer.
// Sequence: organisation "a/b" calls service "c" and organisation "a" calls service "b/c", both with the same key.
// Cause: a row's key that is only joined from its parts.
BOOST_AUTO_TEST_CASE(claimKey_ofPartsThatJoinAlike_differs)
{
    const std::set<std::string> keys = {claimKey("a/b", "c", "k"), claimKey("a", "b/c", "k"), claimKey("a", "b", "c/k")};
    BOOST_TEST(keys.size() == 3U);
    BOOST_TEST(requestDigest("POST", "/a", "b") != requestDigest("POST", "/ab", ""));
}

BOOST_AUTO_TEST_SUITE_END()
