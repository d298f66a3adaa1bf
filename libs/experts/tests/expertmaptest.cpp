#include "experts/expertmap.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <string_view>

using namespace magnolia;
using namespace magnolia::experts;

namespace
{

struct ExpertMapFixture {
    ExpertMap map = ExpertMap::roundRobin({.ranks = 12, .layers = 2, .experts = 64}, 16);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ExpertMapTest, ExpertMapFixture)

BOOST_AUTO_TEST_CASE(roundRobinMap_ofEvenShape_fillsEachSlotAndIsComplete)
{
    BOOST_TEST(map.isComplete());
    for (Rank rank = 0; rank < 12; ++rank) {
        BOOST_TEST(map.expertsOf(1, rank).size() == 16U);
    }
    BOOST_TEST(map.replicas(0, 63).size() == 3U);
}

BOOST_AUTO_TEST_CASE(map_encodedAndDecoded_isTheSame)
{
    BOOST_TEST((ExpertMap::decode(map.encode()).value() == map));
    BOOST_TEST((ExpertMap::fromJson(map.toJson()).value() == map));
}

BOOST_AUTO_TEST_CASE(largeMap_encoded_staysCompact)
{
    const ExpertMap large = ExpertMap::roundRobin({.ranks = 128, .layers = 1, .experts = 64}, 4);
    BOOST_TEST(large.encode().size() < 1400U);
}

BOOST_AUTO_TEST_CASE(replica_addedTwice_isHeldOnce)
{
    ExpertMap small({.ranks = 3, .layers = 1, .experts = 1});
    BOOST_TEST(small.add(0, 0, 2));
    BOOST_TEST(!small.add(0, 0, 2));
    BOOST_TEST(small.remove(0, 0, 2));
    BOOST_TEST(!small.remove(0, 0, 2));
    BOOST_TEST(!small.isComplete());
}

BOOST_AUTO_TEST_CASE(truncatedMap_decoded_isRefusedAtEachLength)
{
    const std::string whole = map.encode();
    for (std::size_t length = 0; length < whole.size(); ++length) {
        BOOST_REQUIRE(!ExpertMap::decode(std::string_view(whole).substr(0, length)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(malformedMap_read_isRefused)
{
    const std::array<std::string_view, 14> malformed = {
        "",
        "[]",
        "7",
        R"({})",
        R"({"ranks":2})",
        R"({"layers":[[[0]]]})",
        R"({"ranks":0,"layers":[[[0]]]})",
        R"({"ranks":2,"layers":[[[2]]]})",
        R"({"ranks":2,"layers":[[[0,0]]]})",
        R"({"ranks":2,"layers":[[[0]],[[0],[1]]]})",
        R"({"ranks":2,"layers":[[[-1]]]})",
        R"({"ranks":2,"layers":[[["a"]]]})",
        R"({"ranks":5000,"layers":[[[0]]]})",
        R"({"ranks":2,"layers":[[[[0]]]]})",
    };
    for (const std::string_view text : malformed) {
        BOOST_TEST(!ExpertMap::fromJson(text).has_value(), text);
    }
}

// Symptom: an agent dies of a small payload. Sequence: a payload of nothing but opening arrays comes in. Cause: the
// library's reader calls itself for each level, so a megabyte of them exhausts the stack unless depth is checked.
BOOST_AUTO_TEST_CASE(deeplyNestedMap_decoded_isRefused)
{
    BOOST_TEST(!ExpertMap::decode(std::string(1U << 22U, '\x81')).has_value());
    BOOST_TEST(!ExpertMap::fromJson(R"({"layers":)" + std::string(1U << 22U, '[')).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
