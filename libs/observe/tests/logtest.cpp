#include "observe/log.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/ostream_sink.h>

#include <sstream>
#include <string>

using namespace magnolia::observe;

namespace
{

struct LogFixture {
    std::ostringstream out;

    void configure(LogFormat format, spdlog::level::level_enum level = spdlog::level::info)
    {
        configureLogging({.level = level, .format = format, .sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(out)});
    }

    ~LogFixture()
    {
        configureLogging({});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LogTest, LogFixture)

BOOST_AUTO_TEST_CASE(textLine_logged_hasLevelPartAndSentence)
{
    const auto link = logger("link");
    configure(LogFormat::Text);
    link->info("peer {} is up", "agent-1");
    const std::string line = out.str();
    BOOST_TEST(line.substr(line.find('Z')) == "Z info    link: peer agent-1 is up\n");
}

BOOST_AUTO_TEST_CASE(jsonLine_loggedWithQuotesAndBadUtf8_isOneValidObject)
{
    configure(LogFormat::Json);
    logger("http")->warn("said \"{}\"", "\xff\n");
    const auto line = nlohmann::json::parse(out.str());
    BOOST_TEST(line["level"].get<std::string>() == "warning");
    BOOST_TEST(line["part"].get<std::string>() == "http");
    BOOST_TEST(line["message"].get<std::string>() == "said \"\xEF\xBF\xBD\n\"");
}

BOOST_AUTO_TEST_CASE(lineBreakFromPeer_loggedAsText_forgesNoSecondLine)
{
    configure(LogFormat::Text);
    logger("link")->info("peer said {}", "x\n2026 info admin: all is well");
    const std::string text = out.str();
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 1);
}

BOOST_AUTO_TEST_CASE(levelInfo_debugLogged_isDropped)
{
    configure(LogFormat::Text);
    logger("link")->debug("detail");
    BOOST_TEST(out.str().empty());
}

BOOST_AUTO_TEST_CASE(secret_formattedOrQuotedByOthers_isHidden)
{
    const Secret key("s3cr3t-key-value");
    hideFromLogs(key);
    configure(LogFormat::Text);
    logger("operators")->info("key is {}", key);
    logger("operators")->info("peer answered: bad header 'Bearer {}'", key.expose());
    BOOST_TEST(out.str().find(key.expose()) == std::string::npos);
    BOOST_TEST(out.str().find("key is [secret]") != std::string::npos);
    BOOST_TEST(out.str().find("'Bearer [secret]'") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(secret_compared_matchesOnlyItself)
{
    BOOST_TEST(Secret("abc").matches("abc"));
    BOOST_TEST(!Secret("abc").matches("abd"));
    BOOST_TEST(!Secret("abc").matches("abcd"));
    BOOST_TEST(!Secret().matches(""));
}

BOOST_AUTO_TEST_SUITE_END()
