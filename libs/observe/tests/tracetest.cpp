#include "observe/trace.h"

#include <boost/filesystem.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::observe;

namespace
{

const std::string Sampled = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

struct TraceFixture {
    boost::filesystem::path file = boost::filesystem::temp_directory_path() / boost::filesystem::unique_path("magnolia-trace-%%%%%%%%");

    ~TraceFixture()
    {
        boost::filesystem::remove(file);
    }

    Tracer::Options options() const
    {
        return {.file = file.string(), .service = "magnolia-entry", .instance = "entry-a", .dataCentre = "north"};
    }

    /** @return all spans written, of all lines. */
    std::vector<nlohmann::json> written() const
    {
        std::vector<nlohmann::json> spans;
        std::ifstream in(file.string());
        for (std::string line; std::getline(in, line);) {
            const auto json = nlohmann::json::parse(line);
            for (const auto &span : json["resourceSpans"][0]["scopeSpans"][0]["spans"]) {
                spans.push_back(span);
            }
        }
        return spans;
    }
};

const std::vector<std::string> Malformed = {
    "",
    "00",
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0",
    "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
    "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
    "00-00000000000000000000000000000000-b7ad6b7169203331-01",
    "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more",
    "00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0g",
    "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01.more",
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TraceTest, TraceFixture)

BOOST_AUTO_TEST_CASE(traceparent_parsedAndFormatted_isUnchanged)
{
    const auto context = TraceContext::parse(Sampled);
    BOOST_REQUIRE(context.has_value());
    BOOST_TEST(context->sampled);
    BOOST_TEST(context->toString() == Sampled);
}

BOOST_AUTO_TEST_CASE(laterVersion_withMoreFields_isRead)
{
    BOOST_TEST(TraceContext::parse("01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-03-more").has_value());
}

BOOST_DATA_TEST_CASE(malformedTraceparent_parsed_givesNothing, boost::unit_test::data::make(Malformed), text)
{
    BOOST_TEST(!TraceContext::parse(text).has_value());
}

BOOST_AUTO_TEST_CASE(childSpan_ofReceivedContext_keepsTraceAndNamesParent)
{
    {
        Tracer tracer(options(), Random(1));
        Span span = tracer.start("entry.request", TraceContext::parse(Sampled), SpanKind::Server);
        span.set("model", "guide");
        span.set("chunks", 12);
        span.fail("overloaded");
        BOOST_TEST(span.traceparent().substr(0, 36) == Sampled.substr(0, 36));
        BOOST_TEST(span.traceparent() != Sampled);
    }
    const auto spans = written();
    BOOST_REQUIRE(spans.size() == 1U);
    const auto &span = spans.front();
    BOOST_TEST(span["traceId"].get<std::string>() == "0af7651916cd43dd8448eb211c80319c");
    BOOST_TEST(span["parentSpanId"].get<std::string>() == "b7ad6b7169203331");
    BOOST_TEST(span["name"].get<std::string>() == "entry.request");
    BOOST_TEST(span["kind"].get<int>() == 2);
    BOOST_TEST(span["attributes"][1]["value"]["intValue"].get<std::string>() == "12");
    BOOST_TEST(span["status"]["message"].get<std::string>() == "overloaded");
    BOOST_TEST(std::stoull(span["endTimeUnixNano"].get<std::string>()) >= std::stoull(span["startTimeUnixNano"].get<std::string>()));
}

BOOST_AUTO_TEST_CASE(parentNotSampled_atFullRatio_writesNothingButHandsOnContext)
{
    std::string traceparent;
    {
        Tracer tracer(options(), Random(1));
        const Span span = tracer.start("entry.request", TraceContext::parse(Sampled.substr(0, 53) + "00"));
        traceparent = span.traceparent();
    }
    BOOST_TEST(written().empty());
    BOOST_TEST(traceparent.substr(53) == "00");
}

BOOST_AUTO_TEST_CASE(ratioOfOneQuarter_overManyTraces_samplesAboutAQuarter)
{
    Tracer::Options quarter = options();
    quarter.samplingRatio = 0.25;
    {
        Tracer tracer(quarter, Random(7));
        for (int i = 0; i < 4000; ++i) {
            tracer.start("request").end();
        }
    }
    BOOST_TEST(static_cast<double>(written().size()) == 1000.0, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(unwritableFile_spansEnded_areCountedAsDropped)
{
    Tracer::Options unwritable = options();
    unwritable.file = "/nonexistent-folder/traces";
    Tracer tracer(unwritable, Random(1));
    tracer.start("request").end();
    BOOST_TEST(!tracer.isWritable());
    BOOST_TEST(tracer.dropped() == 1U);
}

BOOST_AUTO_TEST_CASE(movedSpan_ended_isWrittenOnce)
{
    {
        Tracer tracer(options(), Random(1));
        Span first = tracer.start("request");
        Span second = std::move(first);
        second.end();
        second.end();
    }
    BOOST_TEST(written().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
