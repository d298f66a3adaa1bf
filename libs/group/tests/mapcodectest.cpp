#include "mapcodec.h"

#include "knownmaps.h"
#include "packednumbers.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

namespace magnolia::group
{

namespace
{

constexpr std::size_t Sets = 12;
constexpr std::size_t Experts = 256;

/** The map that a group forms with (experts assigned round-robin), with one additional expert in each list. */
ExpertMap mapOf(std::size_t ranks, std::uint16_t further)
{
    ExpertMap map(Sets, std::vector<std::vector<std::uint16_t>>(ranks));
    for (std::size_t set = 0; set < Sets; ++set) {
        for (std::size_t expert = 0; expert < Experts; ++expert) {
            map[set][expert % ranks].push_back(static_cast<std::uint16_t>(expert));
        }
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            map[set][rank].push_back(static_cast<std::uint16_t>((rank * 37 + set * 11 + further) % Experts));
        }
    }
    return map;
}

std::string packedOf(std::initializer_list<std::uint64_t> numbers)
{
    PackedWriter writer;
    for (const std::uint64_t number : numbers) {
        writer.put(number);
    }
    return writer.packed();
}

} // namespace

BOOST_AUTO_TEST_SUITE(MapCodecTest)

BOOST_AUTO_TEST_CASE(map_ofAnyShape_roundTrips)
{
    for (const ExpertMap &map : {ExpertMap{}, ExpertMap{{}}, ExpertMap{{{}}}, ExpertMap{{{1, 2}, {3}}, {{300, 65535}, {}}}}) {
        BOOST_TEST((decodeMap(encodeMap(map)).value() == map));
    }
}

BOOST_AUTO_TEST_CASE(delta_ofFirstLastAndNeighbouringLists_givesTheMap)
{
    const ExpertMap base{{{0, 1}, {2, 3}, {4}}, {{0}, {1, 2}, {3, 4}}};
    for (const ExpertMap &map : {base,
                                 ExpertMap{{{0, 1, 4}, {2, 3}, {4}}, {{0}, {1, 2}, {3, 4}}},
                                 ExpertMap{{{0, 1}, {2, 3}, {4}}, {{0}, {1, 2}, {3}}},
                                 ExpertMap{{{1}, {0, 3}, {2, 4}}, {{4}, {0, 1}, {2, 3}}}}) {
        BOOST_TEST((applyMapDelta(base, encodeMapDelta(base, map)).value() == map));
    }
}

// Guards against ranks with maps that differ in the order of experts: some got the full map, others a delta to a map whose lists were ordered differently.
BOOST_AUTO_TEST_CASE(map_sentInFullOrAsADelta_isTheSame)
{
    const ExpertMap base{{{5, 0}, {3, 2}}};
    const ExpertMap map{{{5, 0}, {2, 4}}};
    const auto whole = decodeMap(encodeMap(map)).value();
    BOOST_TEST((applyMapDelta(base, encodeMapDelta(base, map)).value() == whole));
}

BOOST_AUTO_TEST_CASE(delta_betweenDifferentShapes_isNeitherEncodedNorApplied)
{
    BOOST_TEST(encodeMapDelta({{{0}, {1}}}, {{{0, 1}}}).empty());
    const std::string change = encodeMapDelta({{{0}, {1}}}, {{{0}, {0}}});
    BOOST_TEST(!applyMapDelta({{{0}}}, change).has_value());
    BOOST_TEST(!applyMapDelta({{{0}, {1}, {2}}}, change).has_value());
}

BOOST_AUTO_TEST_CASE(bytes_truncatedOrCorrupt_areRejected)
{
    const std::string whole = encodeMap({{{1, 2}, {3}}});
    for (std::size_t size = 0; size < whole.size(); ++size) {
        BOOST_TEST(!decodeMap(whole.substr(0, size)).has_value());
    }
    BOOST_TEST(!decodeMap(packedOf({1, 1, 200, 1})).has_value()); // More experts than bytes.
    BOOST_TEST(!decodeMap(packedOf({1, 1, 1, 70000})).has_value()); // No expert has that number.
    BOOST_TEST(!decodeMap(packedOf({1, 1, 1, 7, 7})).has_value()); // Trailing data.
    BOOST_TEST(!applyMapDelta({{{1}}}, packedOf({0})).has_value()); // A distance of 0 is invalid.
    PackedWriter header;
    header.put(std::uint64_t(1) << 40U);
    BOOST_TEST(!decodeMap(header.packed().substr(0, 3) + std::string(6, '\xff')).has_value()); // Exceeds the size limit.
}

BOOST_AUTO_TEST_CASE(counts_small_roundTripExactly)
{
    const std::vector<std::uint64_t> counts{0, 1, 2, 3, 7, 9};
    BOOST_TEST(decodeCounts(encodeCounts(counts)).value() == counts, boost::test_tools::per_element());
    BOOST_TEST(decodeCounts(encodeCounts({})).value().empty());
}

// Guards against reports that grow with the load: in a group of 64 ranks, each rank reported counts of 3,072 experts. With many prompts each count took two
// bytes, all reports together used most of the coordinator's network interface, which its orders share, and map switches took seconds.
BOOST_AUTO_TEST_CASE(counts_ofBusyRanks_takeAFewBitsEach)
{
    std::vector<std::uint64_t> counts(Sets * Experts);
    std::uint64_t total = 0;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        counts[index] = 20'000 / (1 + (index * 29) % Experts) + (index * 7919) % 50;
        total += counts[index];
    }
    const std::string encoded = encodeCounts(counts);
    BOOST_TEST(encoded.size() <= counts.size() / 2);
    const auto read = decodeCounts(encoded).value();
    const std::uint64_t halfUnit = total / counts.size() / 4 / 2;
    for (std::size_t index = 0; index < counts.size(); ++index) {
        BOOST_TEST(std::max(read[index], counts[index]) - std::min(read[index], counts[index]) <= halfUnit);
    }
}

// The size of a delta depends on the number of changes, not on the number of ranks or the size of the map.
BOOST_DATA_TEST_CASE(delta_ofFewLists_isEquallySmallInAnyGroup, boost::unit_test::data::make({24, 64, 128}), ranks)
{
    constexpr std::size_t Changed = 128;
    constexpr std::size_t BytesForEach = 6;
    constexpr std::size_t Frame = 40;
    const ExpertMap base = mapOf(static_cast<std::size_t>(ranks), 0);
    const ExpertMap other = mapOf(static_cast<std::size_t>(ranks), 100);
    ExpertMap map = base;
    for (std::size_t place = 0; place < Changed; ++place) {
        const std::size_t set = place % Sets;
        const std::size_t rank = (place * 7) % static_cast<std::size_t>(ranks);
        map[set][rank] = other[set][rank];
    }
    BOOST_TEST(encodeMapDelta(base, map).size() <= Changed * BytesForEach + Frame);
}

BOOST_AUTO_TEST_CASE(knownMaps_switchAbandoned_mapInUseIsKept)
{
    KnownMaps known;
    known.add(5, ExpertMap{{{0}}}, 0);
    known.add(6, ExpertMap{{{1}}}, 5);
    known.add(7, ExpertMap{{{2}}}, 5);
    BOOST_TEST(known.find(5) != nullptr);
    BOOST_TEST(known.find(6) == nullptr);
    BOOST_TEST((*known.find(7) == ExpertMap{{{2}}}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::group
