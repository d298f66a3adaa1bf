#include "wire/linkpacing.h"
#include "samplemessages.h"
#include "wire/codec.h"
#include "wire/loadedlist.h"

#include <boost/test/unit_test.hpp>

namespace magnolia::wire
{

namespace
{

using namespace std::chrono_literals;

struct LinkPacingFixture {
    void open(std::size_t links)
    {
        while (pacing.links() < links) {
            pacing.noteOpened();
        }
    }

    LinkPacing pacing{LinkPacing::Options{}};
    LoadedList sender;
    LoadedList receiver;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LinkPacingTest, LinkPacingFixture)

BOOST_AUTO_TEST_CASE(todaysLinks_spacing_isBelowHalfASecond)
{
    open(27);
    BOOST_TEST((pacing.spacing() <= 500ms));
}

// Symptom: control costs an entry 68 KB/s, with nobody calling.
// Sequence: it grows from 27 links to 130.
// Cause: a heartbeat interval of each link by itself, so that the cost grows with the links.
BOOST_AUTO_TEST_CASE(moreLinks_allTogether_costTheSame)
{
    for (const std::size_t links : {50U, 130U, 420U}) {
        open(links);
        const double exchanges = 1000.0 / static_cast<double>(pacing.spacing().count());
        const double bytesPerSecond = exchanges * static_cast<double>(links * LinkPacing::ExchangeBytes);
        BOOST_TEST(bytesPerSecond > 18'000);
        BOOST_TEST(bytesPerSecond < 21'000);
    }
}

BOOST_AUTO_TEST_CASE(closedLinks_spacing_shrinksAgain)
{
    open(130);
    const Duration many = pacing.spacing();
    while (pacing.links() > 27) {
        pacing.noteClosed();
    }
    BOOST_TEST((pacing.spacing() < many / 4));
}

BOOST_AUTO_TEST_CASE(anyNumberOfLinks_spacing_isBounded)
{
    open(100'000);
    BOOST_TEST((pacing.spacing() == LinkPacing::LongestSpacing));
}

BOOST_AUTO_TEST_CASE(unchangedList_secondReport_leavesItOut)
{
    const LoadReport whole = sampleLoadReport();
    BOOST_TEST((sender.abridge(whole) == whole));
    sender.noteSent(whole.loaded);
    const LoadReport abridged = sender.abridge(whole);
    BOOST_TEST(abridged.sameLoaded);
    BOOST_TEST(abridged.loaded.empty());
    BOOST_TEST(encode(abridged).size() < encode(whole).size() * 2 / 3);
}

BOOST_AUTO_TEST_CASE(reports_sentAndRestored_areAsAtFirst)
{
    LoadReport report = sampleLoadReport();
    const std::vector<std::vector<std::string>> lists{{"chat"}, {"chat"}, {}, {}, {"chat", "code"}, {"chat", "code"}};
    for (const auto &list : lists) {
        report.loaded = list;
        auto decoded = decode(encode(sender.abridge(report)));
        sender.noteSent(report.loaded);
        auto &got = std::get<LoadReport>(*decoded);
        receiver.restore(got);
        BOOST_TEST((got == report));
    }
}

// Symptom: an entry takes an endpoint for one that serves nothing, or for one that serves what it had before.
// Sequence: a report with a new list is not taken by the link; the next one leaves the list out.
// Cause: the list noted as told before it was sent.
BOOST_AUTO_TEST_CASE(reportThatWasNotSent_nextOne_hasTheListAgain)
{
    LoadReport report = sampleLoadReport();
    sender.noteSent({"chat"});
    BOOST_TEST(!sender.abridge(report).sameLoaded);
    BOOST_TEST((sender.abridge(report) == report));
}

// Symptom: requests go to an endpoint on a guess at what it serves.
// Sequence: on a fresh link the first report leaves the list out, by a fault of the peer.
BOOST_AUTO_TEST_CASE(freshLink_firstReportWithoutList_countsAsNothingLoaded)
{
    LoadReport report = sampleLoadReport();
    report.loaded.clear();
    report.sameLoaded = true;
    receiver.restore(report);
    BOOST_TEST(report.loaded.empty());
    BOOST_TEST(!report.sameLoaded);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::wire
