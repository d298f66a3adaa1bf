#include "wire/codec.h"
#include "samplemessages.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::wire
{

BOOST_AUTO_TEST_SUITE(CodecTest)

BOOST_AUTO_TEST_CASE(eachMessage_encodedAndDecoded_isTheSame)
{
    for (const Message &message : sampleMessages()) {
        const auto frame = encode(message);
        const auto decoded = decode(frame);
        BOOST_REQUIRE_MESSAGE(decoded.has_value(), decoded.error().detail);
        BOOST_TEST(decoded->index() == message.index());
        BOOST_TEST(encode(*decoded) == frame);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::wire
