#include "ctl/commandline.h"
#include "ctl/platformcommands.h"
#include "experts/expertmap.h"
#include "http/httpserver.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

using namespace magnolia;
using namespace magnolia::ctl;

namespace
{

constexpr const char *Example = MAGNOLIA_EXAMPLES "/manifest.toml";

/** A platform in memory that answers from the loop, as the real clients do. */
struct FakePlatform {
    event_base *loop = nullptr;
    std::map<std::string, store::Row> rows;
    std::map<std::string, std::string> objects;
    std::vector<store::Instance> instances;
    bool isDown = false;
    bool losesNextHeadReply = false;
    std::function<void()> onHeadWrite;
    std::vector<std::unique_ptr<std::function<void()>>> pending;

    void later(std::function<void()> reply)
    {
        pending.push_back(std::make_unique<std::function<void()>>(std::move(reply)));
        const timeval now{};
        event_base_once(
            loop,
            -1,
            EV_TIMEOUT,
            [](evutil_socket_t, short, void *context) { (*static_cast<std::function<void()> *>(context))(); },
            pending.back().get(),
            &now);
    }

    template<typename T>
    void answer(std::function<void(Result<T>)> done, T value)
    {
        Result<T> result = std::move(value);
        if (isDown) {
            result = fail(ErrorCode::Unavailable, Verdict::NotRun, "outage");
        }
        later([done = std::move(done), result = std::move(result)] { done(result); });
    }

    std::optional<store::Row> find(const std::string &key) const
    {
        const auto row = rows.find(key);
        return row == rows.end() ? std::nullopt : std::optional(row->second);
    }

    void read(const std::string &key, store::ReadCallback done)
    {
        answer<std::optional<store::Row>>(std::move(done), find(key));
    }

    void write(const std::string &key, std::uint64_t revision, const std::string &value, store::WriteCallback done)
    {
        if (onHeadWrite) {
            std::exchange(onHeadWrite, nullptr)();
        }
        const auto row = find(key);
        const bool applied = !isDown && (row ? row->revision : 0) == revision;
        if (applied) {
            rows[key] = {.value = value, .revision = revision + 1};
        }
        if (std::exchange(losesNextHeadReply, false)) {
            later([done = std::move(done)] { done(fail(ErrorCode::ConnectionLost, Verdict::MayHaveRun, "lost")); });
            return;
        }
        answer<store::WriteOutcome>(std::move(done), {.applied = applied, .current = find(key)});
    }
    void insert(const std::string &key, const std::string &value, store::WriteCallback done)
    {
        write(key, 0, value, std::move(done));
    }
    void replace(const std::string &key, std::uint64_t revision, const std::string &value, store::WriteCallback done)
    {
        write(key, revision, value, std::move(done));
    }
    void remove(const std::string &, std::uint64_t, const store::WriteCallback &) {}
    void list(const std::string &, const store::RowsCallback &) {}
    void put(const std::string &name, const std::string &data, store::PutCallback done)
    {
        objects[name] = data;
        later([done = std::move(done)] { done({}); });
    }
    void get(const std::string &name, store::GetCallback done)
    {
        answer<std::optional<std::string>>(std::move(done), objects.contains(name) ? std::optional(objects.at(name)) : std::nullopt);
    }
    void fetch(store::InstancesCallback done)
    {
        answer<std::vector<store::Instance>>(std::move(done), instances);
    }
};

store::Instance listed(const std::string &name, bool leaving = false)
{
    store::Instance instance;
    instance.name = name;
    instance.leaving = leaving;
    return instance;
}

/** A daemon that reports whatever version the test gives it. */
struct FakeDaemon {
    std::uint64_t version = 0;
    std::string drainedWith;
    std::unique_ptr<http::HttpServer> server;

    FakeDaemon(event_base *loop, const std::string &name)
    {
        auto listening = http::HttpServer::listen(loop, {.address = "127.0.0.1:0"}, [this, name](const std::shared_ptr<http::Exchange> &exchange) {
            if (exchange->path() == "/drain") {
                drainedWith = exchange->headers().at("authorization");
            }
            const std::string manifest = R"({"version": )" + std::to_string(version) + R"(, "root": "ab"})";
            exchange->reply(200, {}, R"({"program": "magnolia-entry", "instance": ")" + name + R"(", "manifest": )" + manifest + "}");
        });
        BOOST_REQUIRE(listening.has_value());
        server = std::move(*listening);
    }
};

struct Fixture {
    http::EventBasePtr loop{event_base_new()};
    FakePlatform platform;
    FakeDaemon first{loop.get(), "entry-a"};
    FakeDaemon second{loop.get(), "entry-b"};
    Daemons daemons{loop.get(), {.addresses = {first.server->address(), second.server->address()}, .key = observe::Secret("k"), .timeout = Duration(2000)}};
    std::ostringstream out;
    std::ostringstream err;
    Output output{out, err, false};
    PlatformCommands<FakePlatform, FakePlatform, FakePlatform> commands{loop.get(), platform, platform, platform, daemons, output};

    Fixture()
    {
        platform.loop = loop.get();
    }

    std::uint64_t seed = 0; // Each run has an apply id of its own.

    int apply(const std::vector<std::string> &arguments)
    {
        return static_cast<int>(commands.apply(parseCommandLine(arguments).value(), Random(++seed)));
    }

    /** A copy of the example with one piece replaced. */
    static std::string changedExample(const std::string &from, const std::string &to)
    {
        std::ifstream in(Example);
        std::string text(std::istreambuf_iterator<char>(in), {});
        text.replace(text.find(from), from.size(), to);
        const std::string file = "ctltest-" + std::to_string(std::hash<std::string>{}(to)) + ".toml";
        std::string name = std::filesystem::temp_directory_path() / file;
        std::ofstream(name) << text;
        return name;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CtlTest, Fixture)

BOOST_AUTO_TEST_CASE(commandLine_parsed_isUnderstoodOrExplained)
{
    struct Case {
        std::vector<std::string> arguments;
        std::string problem; ///< Part of it; empty if there is none.
    };
    const std::vector<Case> cases = {
        {{"validate", "m.toml"}, ""},
        {{"--settings", "s", "apply", "--wait", "m.toml"}, ""},
        {{"apply", "m.toml", "--wait", "-s", "s", "--base", "7"}, ""},
        {{"--help"}, ""},
        {{}, "a command is needed"},
        {{"destroy"}, "unknown command"},
        {{"validate"}, "usage: magnoliactl validate FILE"},
        {{"apply", "m.toml"}, "needs --settings"},
        {{"diff", "m.toml"}, "needs --settings"},
        {{"status", "--wait", "-s", "s"}, "for apply only"},
        {{"apply", "-s", "s", "m", "--timeout", "0"}, "1 to 3600"},
        {{"apply", "-s", "s", "m", "--base", "-1"}, "version number"},
        {{"validate", "--colour", "m"}, "unknown option"},
        {{"validate", "m", "--settings"}, "a value is missing"},
        {{"explain", "-s", "s", "--organisation", "o"}, "usage: magnoliactl explain"},
        {{"explain", "-s", "s", "--organisation", "o", "--model", "m", "--service", "s"}, "usage: magnoliactl explain"},
    };
    for (const Case &one : cases) {
        const auto line = parseCommandLine(one.arguments);
        BOOST_TEST_CONTEXT(one.problem)
        {
            BOOST_TEST(line.has_value() == one.problem.empty());
            if (!line) {
                BOOST_TEST(line.error().find(one.problem) != std::string::npos, line.error());
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(manifestFile_validated_exitsZeroOrTwo)
{
    BOOST_TEST(static_cast<int>(validate(parseCommandLine({"validate", Example}).value(), output)) == 0);
    BOOST_TEST(static_cast<int>(validate(parseCommandLine({"validate", "no-such-file"}).value(), output)) == 2);
    const std::string broken = changedExample("weight = 10", "weight = 0");
    BOOST_TEST(static_cast<int>(validate(parseCommandLine({"validate", broken}).value(), output)) == 2);
    BOOST_TEST(err.str().find(broken + ": line 9, column 10: 0 is out of range") != std::string::npos, err.str());
}

BOOST_AUTO_TEST_CASE(manifest_appliedThenCompared_hasNoDifference)
{
    BOOST_TEST(apply({"apply", "-s", "s", Example}) == 0);
    BOOST_TEST(static_cast<int>(commands.diffWithForce(parseCommandLine({"diff", "-s", "s", Example}).value())) == 0);
    BOOST_TEST(out.str().find("no difference") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(replyOfHeadWrite_lost_stillExitsZero)
{
    platform.losesNextHeadReply = true;
    BOOST_TEST(apply({"apply", "-s", "s", Example}) == 0);
    BOOST_TEST(platform.rows.at("manifest/head").revision == 1U);
}

BOOST_AUTO_TEST_CASE(rival_inBetween_exitsThreeAndShowsItsChange)
{
    BOOST_TEST(apply({"apply", "-s", "s", Example}) == 0);
    const std::string rivals = changedExample("concurrency = 16", "concurrency = 17");
    platform.onHeadWrite = [this, &rivals] { BOOST_TEST(apply({"apply", "-s", "s", rivals}) == 0); };
    BOOST_TEST(apply({"apply", "-s", "s", changedExample("weight = 10", "weight = 11")}) == 3);
    BOOST_TEST(err.str().find("~ endpoints/bookings-1 concurrency: 16 -> 17") != std::string::npos, err.str());
}

BOOST_AUTO_TEST_CASE(daemons_allReachVersion_waitEndsWithZero)
{
    first.version = 1;
    second.version = 2; // A later one counts as well.
    platform.instances = {listed("entry-a"), listed("entry-b"), listed("gone", true)};
    BOOST_TEST(apply({"apply", "-s", "s", "--wait", Example}) == 0);
    BOOST_TEST(out.str().find("version 1 is in force at all 2 daemons") != std::string::npos, out.str());
}

BOOST_AUTO_TEST_CASE(daemonThatLags_waitedFor_isNamedAndExitsFive)
{
    first.version = 1;
    platform.instances = {listed("entry-a"), listed("entry-b"), listed("agent-x")};
    BOOST_TEST(apply({"apply", "-s", "s", "--wait", "--timeout", "1", Example}) == 5);
    BOOST_TEST(err.str().find("not yet: entry-b has version 0") != std::string::npos, err.str());
    BOOST_TEST(err.str().find("not yet: agent-x is listed as live") != std::string::npos, err.str());
}

BOOST_AUTO_TEST_CASE(noDaemonAtAll_waitedFor_isNotSuccess)
{
    // Symptom: a pipeline goes on although nothing runs the new version. Sequence: all daemons are down and have dropped
    // off the list. Cause: "every live daemon" is true of none.
    first.server.reset();
    second.server.reset();
    BOOST_TEST(apply({"apply", "-s", "s", "--wait", "--timeout", "1", Example}) == 5);
    BOOST_TEST(err.str().find("no daemon answers") != std::string::npos, err.str());
}

BOOST_AUTO_TEST_CASE(operatorsAddressOfList_notInSettings_isAskedToo)
{
    FakeDaemon third(loop.get(), "agent-x");
    third.version = first.version = second.version = 1;
    platform.instances = {listed("agent-x")};
    platform.instances[0].operatorsAddress = third.server->address();
    BOOST_TEST(apply({"apply", "-s", "s", "--wait", Example}) == 0);
    BOOST_TEST(out.str().find("all 3 daemons") != std::string::npos, out.str());
}

BOOST_AUTO_TEST_CASE(daemons_drainedByName_getTheKey)
{
    BOOST_TEST(static_cast<int>(drain(parseCommandLine({"drain", "-s", "s", "entry-b"}).value(), daemons, output)) == 0);
    BOOST_TEST(second.drainedWith == "Bearer k");
    BOOST_TEST(first.drainedWith.empty());
    BOOST_TEST(static_cast<int>(drain(parseCommandLine({"drain", "-s", "s", "nobody"}).value(), daemons, output)) == 1);
}

BOOST_AUTO_TEST_CASE(status_withOneDaemonGone_showsTheOtherAndFails)
{
    second.server.reset();
    BOOST_TEST(static_cast<int>(status(daemons, output)) == 1);
    BOOST_TEST(out.str().find("entry-a") != std::string::npos);
    BOOST_TEST(out.str().find("no answer") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(groupWithoutRecordedMap_shown_isTheStartMap)
{
    const manifest::Group group{.name = "g", .ranks = 4, .layers = 1, .experts = 8, .slotsPerRank = 4};
    const auto report = mapReport(group, std::nullopt);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->find("\"predicted_skew_if_even\":1.0") != std::string::npos, *report);
    BOOST_TEST(!mapReport(group, "nonsense").has_value());
    BOOST_TEST(!mapReport({.name = "g", .ranks = 2, .layers = 1, .experts = 8, .slotsPerRank = 4},
                          experts::ExpertMap::roundRobin({.ranks = 4, .layers = 1, .experts = 8}, 4).toJson())
                    .has_value());
}

BOOST_AUTO_TEST_SUITE_END()
