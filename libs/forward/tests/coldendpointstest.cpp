#include "forwardfixture.h"

#include <algorithm>
#include <deque>

namespace magnolia::forward
{

namespace
{

constexpr std::size_t Entries = 4;
constexpr std::size_t ReturnedEndpoints = 3;
constexpr Duration ColdTime{2500};
constexpr double ColdPerSecond = 6;
constexpr routing::ColdBound Bound{.overshoot = 1.5, .slack = 5};
constexpr std::size_t MaxArrivalsInSecond = 14; ///< By ColdPerSecond and Bound.
constexpr Duration Second{1000};
constexpr Duration RequestInterval{50};

struct ScriptedEndpoint {
    std::unique_ptr<RawPeer> peer;
    std::vector<MonoTime> arrivals;

    std::size_t maxArrivalsInSecond() const
    {
        std::size_t maxArrivals = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            maxArrivals = std::max<std::size_t>(maxArrivals, std::count_if(first, arrivals.end(), [&](MonoTime at) { return at < *first + Second; }));
        }
        return maxArrivals;
    }
};

/** Several entries in front of endpoints in two data centres. */
struct ColdFixture : http::LoopFixture {
    ColdFixture()
    {
        std::vector<std::string> names;
        for (std::size_t entry = 0; entry < Entries; ++entry) {
            names.push_back("entry-" + std::to_string(entry));
        }
        for (const std::string &own : names) {
            startEntry();
            std::vector<std::string> others = names;
            std::erase(others, own);
            tasks.back()->setInstances({.own = own, .others = others});
        }
    }

    void startEntry()
    {
        ForwardOptions options;
        options.dataCentre = "north";
        options.callersAddress = "127.0.0.1:0";
        options.readyAddress = "127.0.0.1:0";
        options.coldBound = Bound;
        auto started = ForwardTask::start(loop.get(), options, metrics, [] {});
        BOOST_REQUIRE(started.has_value());
        ForwardTask &task = **started;
        routing::RoutingConfig config;
        config.version = 1;
        config.routes = {ForwardFixture::route("repeatable", routing::RouteKind::Idempotent, 2)};
        config.services = {{.name = "s", .steps = {}, .coldStart = {.time = ColdTime, .perSecond = ColdPerSecond}}};
        task.putRoutes(std::make_shared<const routing::RouteTable>(std::move(config)));
        task.confirmRoutes(BootClock::now());
        tasks.push_back(std::move(*started));
    }

    /** Lists an endpoint at all entries. */
    ScriptedEndpoint &addEndpoint(const std::string &id, const std::string &dataCentre)
    {
        ScriptedEndpoint &endpoint = endpoints.emplace_back();
        endpoint.peer = std::make_unique<RawPeer>(loop.get(), [&endpoint](int) {
            endpoint.arrivals.push_back(MonoClock::now());
            return RawPeer::Answer{.bytes = wholeAnswer(200, "r1", "body")};
        });
        for (const auto &task : tasks) {
            task->putEndpoint({.id = id, .service = "s", .address = endpoint.peer->address(), .dataCentre = dataCentre, .slots = 4});
        }
        return endpoint;
    }

    void completeFirstList()
    {
        for (const auto &task : tasks) {
            task->onFirstListComplete();
        }
    }

    /** Sends a request to each entry every RequestInterval. */
    void runLoad(Duration time)
    {
        for (Duration left = time; left.count() > 0; left -= RequestInterval) {
            for (const auto &task : tasks) {
                callers.push_back(std::make_unique<RawCaller>(loop.get(), task->callersAddress()));
                callers.back()->send(ForwardFixture::request("repeatable", "GET", "Connection: close\r\n"));
            }
            runFor(RequestInterval);
        }
    }

    std::size_t answeredCallers(std::string_view statusLine) const
    {
        return static_cast<std::size_t>(
            std::count_if(callers.begin(), callers.end(), [&](const auto &caller) { return caller->received().starts_with(statusLine); }));
    }

    observe::Metrics metrics;
    std::deque<ScriptedEndpoint> endpoints;
    std::vector<std::unique_ptr<ForwardTask>> tasks;
    std::vector<std::unique_ptr<RawCaller>> callers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ColdEndpointsOfEntriesTest, ColdFixture)

// Guards against a data centre that comes back cold being overrun by all entries together.
// Load: 80 requests a second, four and a half times what the returned endpoints take while they are cold; the other data centre takes the rest.
BOOST_AUTO_TEST_CASE(dataCentre_returnsColdUnderLoad_getsItsRateAndNobodyIsRejected)
{
    addEndpoint("stayed", "south");
    completeFirstList();
    runLoad(Duration(300));
    for (std::size_t number = 0; number < ReturnedEndpoints; ++number) {
        addEndpoint("returned-" + std::to_string(number), "north"); // Where the entries are, so that they prefer these.
    }
    runLoad(ColdTime - Duration(200));
    for (std::size_t number = 1; number <= ReturnedEndpoints; ++number) {
        BOOST_TEST(endpoints[number].maxArrivalsInSecond() <= MaxArrivalsInSecond);
        BOOST_TEST(endpoints[number].arrivals.size() >= static_cast<std::size_t>(ColdPerSecond)); // It gets its share, so that it warms.
    }
    runFor(Duration(300));
    BOOST_TEST(answeredCallers("HTTP/1.1 200") == callers.size());
}

// Guards against requests that wait for turns which others take, and against cold endpoints being overrun where there is no other.
// Load: 80 requests a second, four and a half times what all endpoints of the service take while they are cold.
BOOST_AUTO_TEST_CASE(service_allEndpointsCold_getTheirRateAndTheRestIsRejectedWithATime)
{
    completeFirstList();
    for (std::size_t number = 0; number < ReturnedEndpoints; ++number) {
        addEndpoint("returned-" + std::to_string(number), "north");
    }
    runLoad(ColdTime - Duration(200));
    for (const ScriptedEndpoint &endpoint : endpoints) {
        BOOST_TEST(endpoint.maxArrivalsInSecond() <= MaxArrivalsInSecond);
    }
    const std::size_t rejected = answeredCallers("HTTP/1.1 503");
    const auto hasTime = [](const auto &caller) { return caller->received().find("etry-") != std::string::npos; };
    BOOST_TEST(rejected > callers.size() / 2);
    BOOST_TEST(static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), hasTime)) == rejected);
    BOOST_TEST(answeredCallers("HTTP/1.1 200") > callers.size() / 8);
}

// Guards against a data centre being overrun after its evacuation, if its endpoints became cold unheard while they had no requests.
BOOST_AUTO_TEST_CASE(dataCentre_evacuationEnds_getsTheRateOfColdEndpoints)
{
    addEndpoint("stayed", "north");
    ScriptedEndpoint &returned = addEndpoint("returned", "south");
    completeFirstList();
    for (const auto &task : tasks) {
        task->putEvacuations({.version = 1, .dataCentres = {"south"}});
    }
    runLoad(Duration(300));
    BOOST_TEST(returned.arrivals.empty());
    for (const auto &task : tasks) {
        task->putEvacuations({.version = 2});
    }
    runLoad(Duration(2000));
    BOOST_TEST(returned.maxArrivalsInSecond() <= MaxArrivalsInSecond);
    BOOST_TEST(returned.arrivals.size() >= static_cast<std::size_t>(ColdPerSecond));
}

// Guards against what an endpoint says of itself in its answers being ignored.
BOOST_AUTO_TEST_CASE(endpoint_becomesColdAtAnyMoment_countsFromItsAnswer)
{
    addEndpoint("stayed", "north");
    ScriptedEndpoint &changed = endpoints.emplace_back();
    std::string header;
    changed.peer = std::make_unique<RawPeer>(loop.get(), [&](int) {
        changed.arrivals.push_back(MonoClock::now());
        return RawPeer::Answer{.bytes = wholeAnswer(200, "r1", "body", header)};
    });
    for (const auto &task : tasks) {
        task->putEndpoint({.id = "changed", .service = "s", .address = changed.peer->address(), .dataCentre = "north", .slots = 4});
    }
    completeFirstList();
    runLoad(Duration(500));
    BOOST_TEST(changed.arrivals.size() > 10U);
    header = "X-Cold-Ms: 2000\r\n";
    runLoad(Duration(500)); // Each entry hears it.
    changed.arrivals.clear();
    runLoad(Duration(1200));
    BOOST_TEST(changed.maxArrivalsInSecond() <= MaxArrivalsInSecond);
}

// Guards against a value that can't be read slowing an endpoint down.
BOOST_AUTO_TEST_CASE(endpoint_statesAnUnreadableTime_isServedAsBefore)
{
    for (const char *value : {"-5", "99999999999999", "soon", "1.5", ""}) {
        ScriptedEndpoint &endpoint = endpoints.emplace_back();
        endpoint.peer = std::make_unique<RawPeer>(loop.get(), [&endpoint, value](int) {
            endpoint.arrivals.push_back(MonoClock::now());
            return RawPeer::Answer{.bytes = wholeAnswer(200, "r1", "body", std::string("X-Cold-Ms: ") + value + "\r\n")};
        });
        tasks.front()->putEndpoint({.id = "e", .service = "s", .address = endpoint.peer->address(), .dataCentre = "north", .slots = 4});
        callers.clear();
        for (int request = 0; request < 20; ++request) {
            callers.push_back(std::make_unique<RawCaller>(loop.get(), tasks.front()->callersAddress()));
            callers.back()->send(ForwardFixture::request("repeatable", "GET", "Connection: close\r\n"));
            runFor(Duration(10));
        }
        runFor(Duration(50));
        BOOST_TEST(answeredCallers("HTTP/1.1 200") == callers.size(), value);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
