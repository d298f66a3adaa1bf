#include "observe/pipesink.h"
#include "observe/log.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <array>
#include <chrono>
#include <string>

namespace magnolia::observe
{

namespace
{

struct PipeFixture {
    PipeFixture()
    {
        BOOST_REQUIRE(pipe(ends.data()) == 0);
        sink = std::make_shared<PipeSink>(ends[1]);
        configureLogging({.format = LogFormat::Json, .sink = sink});
    }
    ~PipeFixture()
    {
        configureLogging({});
        close(ends[0]);
        close(ends[1]);
    }
    PipeFixture(const PipeFixture &) = delete;
    PipeFixture &operator=(const PipeFixture &) = delete;

    std::string readAll() const
    {
        std::string all(1U << 20U, '\0');
        const ssize_t count = read(ends[0], all.data(), all.size());
        all.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return all;
    }

    std::array<int, 2> ends{};
    std::shared_ptr<PipeSink> sink;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PipeSinkTest, PipeFixture)

BOOST_AUTO_TEST_CASE(reader_stopped_loggingGoesOnAndTheCountIsTold)
{
    // Symptom: an instance stopped answering though nothing was wrong with it. Sequence: its log collector stood still, the
    // pipe filled up, and the next line waited for room. Cause: a write to a full pipe waits.
    const auto begun = std::chrono::steady_clock::now();
    for (int line = 0; line < 5000; ++line) {
        logger("part")->info("A line of some length that is written again and again number={}", line);
    }
    BOOST_TEST((std::chrono::steady_clock::now() - begun < std::chrono::seconds(5)));
    const std::uint64_t leftOut = sink->leftOut();
    BOOST_TEST(leftOut > 0U);
    readAll();
    logger("part")->info("Room again");
    const std::string text = readAll();
    const auto notice = nlohmann::json::parse(text.substr(0, text.find('\n')));
    BOOST_TEST(notice["count"].get<std::uint64_t>() == leftOut);
    BOOST_TEST(text.find("Room again") != std::string::npos);
    BOOST_TEST(sink->leftOut() == 0U);
}

BOOST_AUTO_TEST_CASE(line_longerThanAPipeTakesAtOnce_isCut)
{
    logger("part")->info("{}", std::string(10000, 'x'));
    const std::string text = readAll();
    BOOST_TEST(text.size() <= 4096U);
    BOOST_TEST(text.ends_with("\n"));
}

BOOST_AUTO_TEST_CASE(sentence_withFields_hasAMemberForEach)
{
    logger("request")->info("Ended id={} status={} good={} cause={}", "r1", 503, true, "no endpoint takes work status=200");
    const auto line = nlohmann::json::parse(readAll());
    BOOST_TEST(line["message"].get<std::string>() == "Ended");
    BOOST_TEST(line["id"].get<std::string>() == "r1");
    BOOST_TEST(line["status"].get<int>() == 503); // Not what stands in the last value.
    BOOST_TEST(line["good"].get<bool>());
    BOOST_TEST(line["cause"].get<std::string>() == "no endpoint takes work");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::observe
