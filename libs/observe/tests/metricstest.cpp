#include "observe/metrics.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace magnolia;
using namespace magnolia::observe;
using namespace std::chrono_literals;

namespace
{

struct MetricsFixture {
    MonoTime time{};
    Metrics metrics{{.maxSeriesPerName = 2, .window = 60s, .now = [this] { return time; }}};

    bool renders(const std::string &line) const
    {
        return metrics.render().find(line + "\n") != std::string::npos;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MetricsTest, MetricsFixture)

BOOST_AUTO_TEST_CASE(counterAndGauge_rendered_arePrometheusText)
{
    metrics.counter("refused_total", "Requests refused.", {{"code", "leaving"}}).add(3);
    metrics.gauge("links", "Open links.").set(7);
    BOOST_TEST(renders("# HELP refused_total Requests refused."));
    BOOST_TEST(renders("# TYPE refused_total counter"));
    BOOST_TEST(renders("refused_total{code=\"leaving\"} 3"));
    BOOST_TEST(renders("# TYPE links gauge"));
    BOOST_TEST(renders("links 7"));
}

BOOST_AUTO_TEST_CASE(counter_askedTwice_isTheSameSeries)
{
    metrics.counter("refused_total", "").add();
    metrics.counter("refused_total", "").add();
    BOOST_TEST(metrics.counter("refused_total", "").value() == 2);
}

BOOST_AUTO_TEST_CASE(labelValues_beyondTheBound_shareOneSeries)
{
    for (const char *organisation : {"a", "b", "c", "d"}) {
        metrics.counter("requests_total", "", {{"organisation", organisation}}).add();
    }
    BOOST_TEST(renders("requests_total{organisation=\"a\"} 1"));
    BOOST_TEST(renders("requests_total{organisation=\"b\"} 1"));
    BOOST_TEST(renders("requests_total{organisation=\"other\"} 2"));
    BOOST_TEST(metrics.render().find("\"c\"") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(timing_withFewSamples_givesExactQuantiles)
{
    Timing &timing = metrics.timing("wait_seconds", "");
    for (int i = 1; i <= 20; ++i) {
        timing.record(std::chrono::milliseconds(i * 10));
    }
    BOOST_TEST(timing.quantile(0.5).count() == 0.1, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(timing.quantile(0.95).count() == 0.19, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(renders("wait_seconds_count 20"));
    BOOST_TEST(renders("wait_seconds{quantile=\"0.5\"} 0.1"));
}

BOOST_AUTO_TEST_CASE(timing_withManySamples_estimatesWithinTwoPercent)
{
    Timing &timing = metrics.timing("wait_seconds", "");
    // Each of 1..10000 ms once, in a mixed order: 3989 and 10000 have no common divisor.
    for (int i = 0; i < 10000; ++i) {
        timing.record(std::chrono::milliseconds(i * 3989 % 10000 + 1));
    }
    BOOST_TEST(timing.quantile(0.5).count() == 5.0, boost::test_tools::tolerance(0.02));
    BOOST_TEST(timing.quantile(0.95).count() == 9.5, boost::test_tools::tolerance(0.02));
    BOOST_TEST(timing.quantile(0.99).count() == 9.9, boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_CASE(timing_afterTwoWindows_forgetsOldSamplesButKeepsCount)
{
    Timing &timing = metrics.timing("wait_seconds", "");
    timing.record(9s);
    time += 61s;
    timing.record(1s);
    BOOST_TEST(timing.quantile(0.99).count() == 9);
    time += 61s;
    timing.record(2s);
    BOOST_TEST(timing.quantile(0.99).count() == 2);
    BOOST_TEST(timing.quantile(0.5).count() == 1);
    time += 200s;
    BOOST_TEST(timing.quantile(0.99).count() == 0);
    BOOST_TEST(timing.count() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
