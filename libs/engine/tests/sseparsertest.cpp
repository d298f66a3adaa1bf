#include "engine/sseparser.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using magnolia::engine::SseParser;

namespace
{

struct ParserFixture {
    std::vector<std::string> events;
    SseParser parser{64};

    bool feed(std::string_view bytes)
    {
        return parser.feed(bytes, [this](std::string_view data) { events.emplace_back(data); });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SseParserTest, ParserFixture)

BOOST_AUTO_TEST_CASE(stream_cutAtEachByte_givesTheSameEvents)
{
    const std::string stream = ": comment\ndata: one\r\n\r\nevent: x\ndata: two\ndata:three\n\n\ndata: [DONE]\n\n";
    const std::vector<std::string> expected = {"one", "two\nthree", "[DONE]"};
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        events.clear();
        parser = SseParser(64);
        BOOST_TEST(feed(std::string_view(stream).substr(0, cut)));
        BOOST_TEST(feed(std::string_view(stream).substr(cut)));
        BOOST_TEST(events == expected, boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_CASE(eventWithoutItsBlankLine_atTheEnd_isNotGiven)
{
    BOOST_TEST(feed("data: half\n"));
    BOOST_TEST(events.empty());
}

BOOST_AUTO_TEST_CASE(oversizeEvent_inOneLineOrMany_isRefused)
{
    BOOST_TEST(!feed("data: " + std::string(100, 'x')));
    parser = SseParser(64);
    BOOST_TEST(!feed("data: " + std::string(40, 'x') + "\ndata: " + std::string(40, 'x') + "\n"));
}

BOOST_AUTO_TEST_SUITE_END()
