#include "eventsplitter.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace magnolia::forward
{

BOOST_AUTO_TEST_SUITE(EventSplitterTest)

BOOST_AUTO_TEST_CASE(bytes_splitAnywhere_yieldTheSameEvents)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\ndata: d\n\n";
    for (std::size_t size = 1; size < stream.size(); ++size) {
        EventSplitter cutter;
        std::string forwarded;
        for (std::size_t offset = 0; offset < stream.size(); offset += size) {
            forwarded += cutter.feed(std::string_view(stream).substr(offset, size));
        }
        BOOST_TEST(forwarded == stream);
        BOOST_TEST(cutter.lastId().value() == 3U);
        BOOST_TEST(cutter.isAtBoundary());
    }
}

BOOST_AUTO_TEST_CASE(event_incomplete_isHeldBack)
{
    EventSplitter cutter;
    BOOST_TEST(cutter.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    BOOST_TEST(!cutter.isAtBoundary());
    cutter.resume();
    BOOST_TEST(cutter.isAtBoundary());
}

BOOST_AUTO_TEST_CASE(nextRun_repeatsEvents_repeatedEventsAreDropped)
{
    EventSplitter cutter;
    cutter.feed("id: 1\n\nid: 2\n\n");
    cutter.resume();
    BOOST_TEST(cutter.feed("id: 2\n\nid: 3\n\n") == "id: 3\n\n");
}

BOOST_AUTO_TEST_CASE(events_oneMissing_gapIsDetected)
{
    EventSplitter cutter;
    BOOST_TEST(cutter.feed("id: 1\n\nid: 3\n\n") == "id: 1\n\n");
    BOOST_TEST(cutter.hasGap());
}

BOOST_AUTO_TEST_CASE(caller_hasEventsAlready_streamContinuesAfterThem)
{
    EventSplitter cutter;
    cutter.startAfter(12);
    BOOST_TEST(cutter.feed("id: 13\n\n") == "id: 13\n\n");
}

BOOST_AUTO_TEST_CASE(events_withoutNumericId_areForwarded)
{
    EventSplitter cutter;
    BOOST_TEST(cutter.feed("data: a\n\n: comment\n\nid: x\n\n") == "data: a\n\n: comment\n\nid: x\n\n");
    BOOST_TEST(!cutter.lastId().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
