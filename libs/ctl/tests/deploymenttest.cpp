#include "ctl/deploymentcommands.h"
#include "http/eventhandles.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

#include <map>
#include <sstream>

namespace magnolia::ctl
{

namespace
{

routing::Route route(const std::string &name, const std::string &prefix)
{
    routing::Route route;
    route.name = name;
    route.host = "h";
    route.pathPrefix = prefix;
    route.targets = {{.service = "s", .weight = 3}};
    route.maxEndpoints = 2;
    return route;
}

routing::RoutingConfig routingOf(std::uint64_t version)
{
    routing::RoutingConfig config;
    config.version = version;
    config.routes = {route("orders", "/orders/")};
    config.services = {{.name = "s", .experts = {.sets = 1, .experts = 2}}};
    config.organisations = {{.name = "south", .keys = {"a-secret-key"}, .priority = {}}};
    return config;
}

/** A deployment in memory; answers within the call, which await() takes as well. */
class FakeView
{
public:
    template<typename T>
    using Callback = std::function<void(Result<T>)>;

    static Result<routing::RoutingConfig> parseRouting(std::string_view text)
    {
        if (text == "bad") {
            return fail(ErrorCode::BadInput, Verdict::NotRun, "routes[3]: no host");
        }
        routing::RoutingConfig config = routingOf(8);
        config.routes.push_back(route(std::string(text), "/new/"));
        config.organisations.front().keys = {"another-secret"};
        return config;
    }

    void readRouting(const Callback<routing::RoutingConfig> &done)
    {
        answer(routingOf(7), done);
    }
    void listEndpoints(const Callback<std::vector<routing::EndpointRecord>> &done)
    {
        using Records = std::vector<routing::EndpointRecord>;
        answer(Records{{.id = "i-1", .service = "s", .address = "10.0.0.1:80", .dataCentre = "north", .slots = 4},
                       {.id = "i-2", .service = "s", .address = "10.0.0.2:80", .dataCentre = "west", .slots = 4, .isLeaving = true}},
               done);
    }
    void listEntries(const Callback<std::vector<EntryRecord>> &done)
    {
        answer(std::vector<EntryRecord>{{.name = "entry-a", .address = "10.0.0.9:7341", .age = Duration(1500)}}, done);
    }
    void listGroups(const Callback<std::vector<GroupRecord>> &done)
    {
        answer(std::vector<GroupRecord>{{.group = "g0", .coordinator = "side-a", .term = 29}}, done);
    }
    void readRank(const std::string &address, const Callback<group::RankState> &done)
    {
        const std::uint32_t rank = address == "10.0.0.1:80" ? 1 : 0;
        if (rank == 0 && isSecondSilent) {
            done(fail(ErrorCode::ConnectionLost, Verdict::MayHaveRun, "silent"));
            return;
        }
        answer(group::RankState{.group = "g0", .epoch = 1, .rank = rank, .size = 2, .isOpen = true, .step = 812, .mapVersion = 4}, done);
    }
    void readHeld(const std::string & /*address*/, const Callback<group::HeldExperts> &done)
    {
        answer(group::HeldExperts{.epoch = 1, .version = 4, .experts = {{0, 1}}}, done);
    }

    bool isAway = false;
    bool isSecondSilent = false;

private:
    template<typename T>
    void answer(T value, const Callback<T> &done)
    {
        done(isAway ? Result<T>(fail(ErrorCode::Unavailable, Verdict::NotRun, "the store answered 503")) : Result<T>(std::move(value)));
    }
};

struct DeploymentFixture {
    ExitCode run(const std::vector<std::string> &arguments)
    {
        const auto line = parseCommandLine(arguments);
        BOOST_REQUIRE_MESSAGE(line.has_value(), (line ? "" : line.error()));
        return DeploymentCommands(loop.get(), view, "10.0.0.9:1", output).run(*line);
    }

    bool says(const std::string &text) const
    {
        return out.str().find(text) != std::string::npos;
    }

    http::EventBasePtr loop{event_base_new()};
    FakeView view;
    std::ostringstream out;
    std::ostringstream err;
    Output output{out, err, false};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DeploymentTest, DeploymentFixture)

BOOST_AUTO_TEST_CASE(status_deploymentThere_tellsOfServicesEntriesAndGroups)
{
    BOOST_TEST((run({"status", "-s", "x"}) == ExitCode::Ok));
    BOOST_TEST(says("\"routes_version\": 7"));
    BOOST_TEST(says("\"leaving\": 1"));
    BOOST_TEST(says("entry-a"));
    BOOST_TEST(says("\"coordinator\": \"side-a\""));
}

BOOST_AUTO_TEST_CASE(commands_storeAway_endAsUnavailableWithTheCause)
{
    view.isAway = true;
    for (const std::vector<std::string> &arguments : {std::vector<std::string>{"status", "-s", "x"},
                                                      {"explain", "-s", "x", "--host", "h", "--path", "/orders/1"},
                                                      {"map", "-s", "x", "g0"},
                                                      {"diff", "-s", "x", "/dev/null"}}) {
        BOOST_TEST((run(arguments) == ExitCode::Unavailable));
    }
    BOOST_TEST(err.str().find("the store at 10.0.0.9:1: ") != std::string::npos);
    BOOST_TEST(err.str().find("the store answered 503") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(explain_pathOfARoute_tellsWhereItGoes)
{
    BOOST_TEST((run({"explain", "-s", "x", "--host", "h", "--path", "/orders/1"}) == ExitCode::Ok));
    BOOST_TEST(says("\"route\": \"orders\""));
    BOOST_TEST(says("\"needs_key\": true"));
    BOOST_TEST(says("10.0.0.2:80"));
    BOOST_TEST(!says("a-secret-key"));
    BOOST_TEST((run({"explain", "-s", "x", "--host", "h", "--path", "/nowhere/"}) == ExitCode::Failed));
}

BOOST_AUTO_TEST_CASE(map_oneEngineSilent_showsTheOthersAndNamesIt)
{
    view.isSecondSilent = true;
    BOOST_TEST((run({"map", "-s", "x", "g0"}) == ExitCode::Ok));
    BOOST_TEST(says("\"map\": 4"));
    BOOST_TEST(says("\"engines_without_an_answer\""));
    BOOST_TEST(says("10.0.0.2:80"));
    BOOST_TEST((run({"map", "-s", "x", "other"}) == ExitCode::Failed));
}

BOOST_AUTO_TEST_CASE(diff_fileAgainstForce_showsChangesWithoutKeys)
{
    BOOST_TEST((run({"diff", "-s", "x", "/dev/null"}) == ExitCode::Ok));
    BOOST_TEST(says("routes/"));
    BOOST_TEST(says("organisations/south keys"));
    BOOST_TEST(!says("secret"));
    BOOST_TEST((run({"diff", "-s", "x", "/nonexistent"}) == ExitCode::BadInput));
}

BOOST_AUTO_TEST_CASE(apply_storeKeepsRoutes_isRefusedWithTheReason)
{
    BOOST_TEST((run({"apply", "-s", "x", "f"}) == ExitCode::BadInput));
    BOOST_TEST(err.str().find("operators write them there") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::ctl
