#include "settings/settings.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::settings;

namespace
{

const std::string Examples = MAGNOLIA_EXAMPLES_FOLDER;
const std::string LinkSecret = "change-me-shared-link-key";

std::string exampleText(const std::string &name)
{
    std::ifstream in(Examples + "/" + name);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/** The entry's example, with one piece of its text replaced, and what is said about the outcome. */
struct EntryFixture {
    std::string text = exampleText("entry.toml");

    void replace(const std::string &from, const std::string &to)
    {
        const std::size_t at = text.find(from);
        BOOST_REQUIRE_MESSAGE(at != std::string::npos, "the example lacks: " << from);
        text.replace(at, from.size(), to);
    }

    std::vector<std::string> problems() const
    {
        std::vector<std::string> texts;
        const auto settings = parse<EntrySettings>(text, "entry.toml");
        if (!settings) {
            for (const Problem &problem : settings.error()) {
                texts.push_back(toString(problem));
            }
        }
        return texts;
    }
};

struct BadSetting {
    std::string from;
    std::string to;
    std::string expected; ///< The whole message.
};

std::ostream &operator<<(std::ostream &out, const BadSetting &setting)
{
    return out << setting.to;
}

const std::vector<BadSetting> BadSettings = {
    {"max_connections",
     "max_connection",
     "entry.toml:11:1: unknown key 'callers.max_connection'; expected one of 'address', 'default_timeout_ms', "
     "'max_body_bytes', 'max_connections', 'max_header_bytes'"},
    {"[stop]",
     "[halt]",
     "entry.toml:41:2: unknown key 'halt'; expected one of [callers], [instance], [links], [log], [operators], [platform], "
     "[stop], [traces]"},
    {"name = \"entry-a\"", "name = 7", "entry.toml:4:8: 'instance.name' must be a text that is not empty"},
    {"name = \"entry-a\"", "name = \"\"", "entry.toml:4:8: 'instance.name' must be a text that is not empty"},
    {"name = \"entry-a\"", "", "entry.toml:3:1: missing key 'instance.name'"},
    {"address = \"127.0.0.1:8080\"",
     "address = \"localhost:8080\"",
     "entry.toml:8:11: 'callers.address' must be an IP number and a port, such as \"127.0.0.1:8080\"; port 0 picks a free one"},
    {"table = \"127.0.0.1:9000\"", "table = \"127.0.0.1:0\"", "entry.toml:28:9: 'platform.table' must be an IP number and a port, such as \"127.0.0.1:8080\""},
    {"table = \"127.0.0.1:9000\"",
     "table = \"127.0.0.1:65536\"",
     "entry.toml:28:9: 'platform.table' must be an IP number and a port, such as \"127.0.0.1:8080\""},
    {"table = \"127.0.0.1:9000\"", "table = \"127.0.0.1\"", "entry.toml:28:9: 'platform.table' must be an IP number and a port, such as \"127.0.0.1:8080\""},
    {"default_timeout_ms = 60000",
     "default_timeout_ms = 99",
     "entry.toml:12:22: 'callers.default_timeout_ms' must be a whole number from 100 to 600000 milliseconds"},
    {"default_timeout_ms = 60000",
     "default_timeout_ms = 1e3",
     "entry.toml:12:22: 'callers.default_timeout_ms' must be a whole number from 100 to 600000 milliseconds"},
    {"max_connections = 4096", "max_connections = 0", "entry.toml:11:19: 'callers.max_connections' must be a whole number from 1 to 1000000"},
    {"key = \"change-me-operators\"", "key = \"\"", "entry.toml:16:7: 'operators.key' must be a text of at least 16 characters"},
    {"secret = \"change-me-shared-link-key\"", "secret = \"short\"", "entry.toml:20:36: 'links.keys.secret' must be a text of at least 16 characters"},
    {"keys = [{ id = \"2026-12\", secret = \"change-me-shared-link-key\" }]", "keys = []", "entry.toml:20:8: 'links.keys' must have at least one key"},
    {"silence_timeout_ms = 2000",
     "silence_timeout_ms = 900",
     "entry.toml:22:22: 'links.silence_timeout_ms' must be at least twice 'links.heartbeat_interval_ms'"},
    {"control_bytes_per_second = 22000",
     "control_bytes_per_second = 999",
     "entry.toml:24:28: 'links.control_bytes_per_second' must be a whole number from 1000 to 104857600"},
    {"level = \"info\"", "level = \"loud\"", "entry.toml:34:9: 'log.level' must be one of 'debug', 'error', 'info', 'trace', 'warn'"},
    {"sampling_ratio = 1.0", "sampling_ratio = nan", "entry.toml:39:18: 'traces.sampling_ratio' must be a number from 0 to 1"},
    {"[log]", "[log", "entry.toml:33:5: not valid TOML: "},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SettingsTest, EntryFixture)

BOOST_AUTO_TEST_CASE(entryExample_loaded_isComplete)
{
    const auto settings = load<EntrySettings>(Examples + "/entry.toml");
    BOOST_REQUIRE_MESSAGE(settings.has_value(), problems().front());
    BOOST_TEST(settings->instance.dataCentre == "north");
    BOOST_TEST(settings->callers.address == "127.0.0.1:8080");
    BOOST_TEST(settings->platform.pollInterval.count() == 10000);
}

BOOST_AUTO_TEST_CASE(agentExample_loaded_isComplete)
{
    const auto settings = load<AgentSettings>(Examples + "/agent.toml");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->links.address == "127.0.0.1:8180");
    BOOST_TEST(settings->endpoint.name == "engine-1");
    BOOST_TEST(settings->stop.lag.count() == 0);
}

BOOST_AUTO_TEST_CASE(ctlExample_loaded_isComplete)
{
    const auto settings = load<CtlSettings>(Examples + "/magnoliactl.toml");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->operators.addresses.size() == 2U);
    BOOST_TEST((settings->log.level == spdlog::level::warn));
}

BOOST_AUTO_TEST_CASE(forwardExample_loaded_isComplete)
{
    const auto settings = load<ForwardSettings>(Examples + "/forward.toml");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->callers.address == "127.0.0.1:8080");
    BOOST_TEST(settings->readiness.address == "127.0.0.1:8081");
    BOOST_TEST(settings->keys.revocationBound.count() == 5000);
    BOOST_TEST(settings->keys.failClosed);
    BOOST_TEST(settings->retries.share == 0.2);
    BOOST_TEST(settings->cold.isEnabled);
    BOOST_TEST(settings->cold.overshoot == 1.5);
    BOOST_TEST(settings->retries.window.count() == 10000);
    BOOST_TEST(settings->quarantine.limit == 2U);
    BOOST_TEST(settings->quarantine.time.count() == 600000);
    BOOST_TEST(settings->endpoints.renewalInterval.count() == 1200);
    BOOST_TEST(settings->memory.limitMebibytes == 256);
    BOOST_TEST(settings->grace.time.count() == 8000);
}

BOOST_AUTO_TEST_CASE(groupExample_loaded_isComplete)
{
    const auto settings = load<GroupSettings>(Examples + "/group.toml");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->engine.service == "changeover");
    const wire::LinkOptions options = linkOptions(*settings);
    BOOST_TEST((options.self.role == wire::Role::Agent));
    BOOST_TEST(options.keys.size() == 1U);
}

BOOST_AUTO_TEST_CASE(forwardSettings_badValues_areTold)
{
    const std::string good = "[instance]\nname='e'\ndata_centre='n'\n[callers]\naddress='127.0.0.1:0'\n[readiness]\naddress='127.0.0.1:0'\n"
                             "[links]\naddress='127.0.0.1:0'\nkeys=[{id='k',secret='a-secret-of-16-and-more'}]\n"
                             "[store]\naddress='127.0.0.1:1'\n";
    BOOST_TEST(parse<ForwardSettings>(good, "f.toml").has_value());
    const std::vector<std::pair<std::string, std::string>> bad{
        {"[keys]\nfail_closed=1\n", "f.toml:14:13: 'keys.fail_closed' must be true or false"},
        {"[keys]\nrevocation_bound_ms=1\n", "f.toml:14:21: 'keys.revocation_bound_ms' must be a whole number from 500 to 3600000 milliseconds"},
        {"[retries]\nshare=nan\n", "f.toml:14:7: 'retries.share' must be a number from 0 to 10"},
        {"[cold]\novershoot=0.9\n", "f.toml:14:11: 'cold.overshoot' must be a number from 1 to 10"},
        {"[cold]\nslack=-1\n", "f.toml:14:7: 'cold.slack' must be a number from 0 to 10000"},
        {"[quarantine]\nlimit=0\n", "f.toml:14:7: 'quarantine.limit' must be a whole number from 1 to 100"},
        {"[quarantine]\ntime_s=0\n", "f.toml:14:8: 'quarantine.time_s' must be a number from 1 to 86400"},
        {"[retries]\nwindow_s='10'\n", "f.toml:14:10: 'retries.window_s' must be a number from 0.1 to 3600"},
        {"[endpoints]\nrenewal_interval_ms=0\n", "f.toml:14:21: 'endpoints.renewal_interval_ms' must be a whole number from 50 to 600000 milliseconds"},
        {"[grace]\ntime_s=0\n", "f.toml:14:8: 'grace.time_s' must be a number from 0.5 to 3600"},
        {"[memory]\nlimit_mb=8\n", "f.toml:14:10: 'memory.limit_mb' must be a number from 16 to 1000000"},
        {"[store2]\n", "f.toml:13:2: unknown key 'store2'"},
    };
    for (const auto &[section, expected] : bad) {
        const auto settings = parse<ForwardSettings>(good + section, "f.toml");
        BOOST_REQUIRE(!settings.has_value());
        BOOST_TEST(toString(settings.error().front()).substr(0, expected.size()) == expected);
    }
}

BOOST_AUTO_TEST_CASE(groupSettings_capacityOfTheInterface_isReadOrTold)
{
    const auto textWith = [](const std::string &capacity) {
        return "[instance]\nname='a'\ndata_centre='n'\n[engine]\naddress='127.0.0.1:1'\nservice='s'\n[links]\naddress='127.0.0.1:0'\n"
               "keys=[{id='k',secret='a-secret-of-16-and-more'}]\ncapacity_mbps="
            + capacity + "\n[store]\naddress='127.0.0.1:1'\n[metrics]\naddress='127.0.0.1:0'\n";
    };
    const auto settings = parse<GroupSettings>(textWith("6.5"), "f.toml");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->links.capacityMegabits == 6.5);
    const std::string expected = "f.toml:10:15: 'links.capacity_mbps' must be a number from 0 to 1000000";
    for (const std::string bad : {"-1", "nan", "'6'"}) {
        const auto refused = parse<GroupSettings>(textWith(bad), "f.toml");
        BOOST_REQUIRE(!refused.has_value());
        BOOST_TEST(toString(refused.error().front()).substr(0, expected.size()) == expected);
    }
}

BOOST_AUTO_TEST_CASE(ctlSettings_storeGiven_needNoOtherServices)
{
    const auto settings = parse<CtlSettings>("[store]\naddress='127.0.0.1:1'\n", "f.toml");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->store->address == "127.0.0.1:1");
    const auto both = parse<CtlSettings>("[store]\naddress='127.0.0.1:1'\n[platform]\ntable='127.0.0.1:1'\n", "f.toml");
    BOOST_REQUIRE(!both.has_value());
    BOOST_TEST(toString(both.error().front()).find("unknown key 'platform'") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(optionalKeys_leftOut_haveTheirDefaults)
{
    text = "[instance]\nname='e'\ndata_centre='n'\n[callers]\naddress='[::1]:0'\n[operators]\naddress='127.0.0.1:0'\nkey='0123456789abcdef'\n"
           "[links]\nkeys=[{id='a', secret='0123456789abcdef'}]\n[platform]\ntable='127.0.0.1:1'\nobjects='127.0.0.1:1'\ninstances='127.0.0.1:1'\n";
    const auto settings = parse<EntrySettings>(text, "entry.toml");
    BOOST_REQUIRE_MESSAGE(settings.has_value(), problems().front());
    BOOST_TEST(settings->callers.maxBodyBytes == CallersSettings().maxBodyBytes);
    BOOST_TEST(settings->links.silenceTimeout.count() == LinksSettings().silenceTimeout.count());
    BOOST_TEST(settings->traces.file.empty());
}

BOOST_DATA_TEST_CASE(badSetting_parsed_isToldWithPlaceAndExpectation, boost::unit_test::data::make(BadSettings), bad)
{
    replace(bad.from, bad.to);
    const auto told = problems();
    BOOST_REQUIRE(!told.empty());
    BOOST_TEST(told.front().substr(0, bad.expected.size()) == bad.expected);
}

BOOST_AUTO_TEST_CASE(severalBadSettings_parsed_areAllToldInOrder)
{
    replace("level = \"info\"", "level = \"loud\"");
    replace("name = \"entry-a\"", "");
    replace("max_connections = 4096", "max_connections = -1");
    const auto told = problems();
    BOOST_REQUIRE(told.size() == 3U);
    BOOST_TEST(told[0].find("instance.name") != std::string::npos);
    BOOST_TEST(told[1].find("callers.max_connections") != std::string::npos);
    BOOST_TEST(told[2].find("log.level") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(linkKeyIds_notUnique_areTold)
{
    replace("keys = [", "keys = [{ id = \"2026-12\", secret = \"another-secret-of-16\" }, ");
    const auto told = problems();
    BOOST_REQUIRE(told.size() == 1U);
    BOOST_TEST(told.front().find("'2026-12' stands twice") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(secrets_besideProblemsOrInBrokenToml_areNeverPrinted)
{
    replace("heartbeat_interval_ms", "heartbeat");
    replace("id = \"2026-12\"", "id = 1");
    for (const std::string &problem : problems()) {
        BOOST_TEST(problem.find(LinkSecret) == std::string::npos);
    }
    replace("\"" + LinkSecret + "\"", "\"" + LinkSecret);
    BOOST_REQUIRE(!problems().empty());
    BOOST_TEST(problems().front().find(LinkSecret) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(fileThatIsAbsentOrAFolder_loaded_isTold)
{
    for (const std::string &path : {Examples + "/absent.toml", Examples}) {
        const auto settings = load<CtlSettings>(path);
        BOOST_REQUIRE(!settings.has_value());
        BOOST_TEST(toString(settings.error().front()) == path + ": cannot be read; expected a TOML file");
    }
}

BOOST_AUTO_TEST_CASE(agentSettings_turnedIntoLinkOptions_keepKeysAndNames)
{
    const auto settings = load<AgentSettings>(Examples + "/agent.toml");
    BOOST_REQUIRE(settings.has_value());
    const wire::LinkOptions options = linkOptions(*settings, 7);
    BOOST_TEST((options.self.role == wire::Role::Agent));
    BOOST_TEST(options.self.endpoint == "engine-1");
    BOOST_TEST(options.self.incarnation == 7U);
    BOOST_REQUIRE(options.keys.size() == 1U);
    BOOST_TEST(options.keys.front().secret == LinkSecret);
    BOOST_TEST(options.silenceTimeout.count() == 2000);
}

BOOST_AUTO_TEST_SUITE_END()
