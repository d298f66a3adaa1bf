#include "forwardfixture.h"
#include "statementfixture.h"

#include <algorithm>

namespace magnolia::forward
{

namespace
{

constexpr std::size_t Entries = 5;
constexpr Duration Window{4000};
constexpr std::size_t MaxArrivalsInWindow = 11; ///< 1.5 times what the limit of one a second allows in the window, and 5.
constexpr Duration LimitAdoptionTime{600}; ///< An instance must observe a limit this long after it forwarded an answer that states it.
constexpr Duration RequestInterval{50};

/** Several entries in front of two endpoints: one states a request limit, the other none. */
struct LimitFixture : http::LoopFixture {
    LimitFixture()
    {
        limited = addEndpoint("limited", "X-Rate-Limit: 1\r\n");
        unlimited = addEndpoint("unlimited", "");
        for (std::size_t entry = 0; entry < Entries; ++entry) {
            startEntry();
        }
    }

    std::unique_ptr<RawPeer> addEndpoint(const std::string &id, const std::string &header)
    {
        const auto script = [this, id, header](int) {
            if (id == "limited") {
                arrivals.push_back(MonoClock::now());
            }
            return RawPeer::Answer{.bytes = wholeAnswer(200, "r1", "body", header)};
        };
        return std::make_unique<RawPeer>(loop.get(), script);
    }

    void startEntry()
    {
        ForwardOptions options;
        options.dataCentre = "north";
        options.callersAddress = "127.0.0.1:0";
        options.readyAddress = "127.0.0.1:0";
        auto started = ForwardTask::start(loop.get(), options, metrics, [] {});
        BOOST_REQUIRE(started.has_value());
        ForwardTask &task = **started;
        routing::RoutingConfig config;
        config.version = 1;
        config.routes = {ForwardFixture::route("repeatable", routing::RouteKind::Idempotent, 2)};
        config.services = {{.name = "s", .steps = {}}};
        task.putRoutes(std::make_shared<const routing::RouteTable>(std::move(config)));
        task.confirmRoutes(BootClock::now());
        task.setInstanceCount(Entries);
        task.putEndpoint({.id = "limited", .service = "s", .address = limited->address(), .dataCentre = "north", .slots = 4});
        task.putEndpoint({.id = "unlimited", .service = "s", .address = unlimited->address(), .dataCentre = "north", .slots = 4});
        tasks.push_back(std::move(*started));
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

    std::size_t maxArrivalsInWindow(MonoTime from) const
    {
        std::size_t maxArrivals = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            const auto isInside = [&](MonoTime at) { return at >= *first && at < *first + Window; };
            maxArrivals = *first < from ? maxArrivals : std::max<std::size_t>(maxArrivals, std::count_if(first, arrivals.end(), isInside));
        }
        return maxArrivals;
    }

    observe::Metrics metrics;
    std::unique_ptr<RawPeer> limited;
    std::unique_ptr<RawPeer> unlimited;
    std::vector<MonoTime> arrivals; ///< Of requests at the limited endpoint.
    std::vector<std::unique_ptr<ForwardTask>> tasks;
    std::vector<std::unique_ptr<RawCaller>> callers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RateLimitTest, LimitFixture)

// Guards against an overloaded endpoint being sent more requests, by all entries together, than the limit that it states.
BOOST_AUTO_TEST_CASE(endpoint_statesALimit_allEntriesTogetherObserveIt)
{
    runLoad(LimitAdoptionTime);
    const MonoTime limitKnownAt = MonoClock::now();
    runLoad(2 * Window);
    BOOST_TEST(maxArrivalsInWindow(limitKnownAt) <= MaxArrivalsInWindow);
    BOOST_TEST(unlimited->requests() > 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RateLimitOfLastEndpointTest, StatementFixture)

// Guards against retries that go back to the only endpoint that the route still allows, without regard to the limit that it states.
BOOST_AUTO_TEST_CASE(endpointStatesALimitAndRejects_retriesMayGoThereOnly_limitIsObserved)
{
    Endpoint &limited = addStatingEndpoint();
    limited.status = 503;
    limited.headers = "X-Load: 0,0,4\r\nX-Rate-Limit: 1\r\n";
    addStatingEndpoint();
    runLoad(LimitAdoptionTime, "one-endpoint");
    const MonoTime limitKnownAt = MonoClock::now();
    runLoad(Window, "one-endpoint");
    BOOST_TEST(limited.arrivedSince(limitKnownAt) <= static_cast<int>(MaxArrivalsInWindow));
}

// Guards against a limit that is forgotten each time that the endpoint's list entry lapses and returns.
BOOST_AUTO_TEST_CASE(endpointStatesALimit_itsListEntryLapsesAndReturns_limitIsObserved)
{
    Endpoint &limited = addStatingEndpoint();
    limited.headers = "X-Rate-Limit: 1\r\n";
    addStatingEndpoint();
    runLoad(LimitAdoptionTime);
    const MonoTime limitKnownAt = MonoClock::now();
    for (int lapse = 0; lapse < 30; ++lapse) {
        task->removeEndpoint("e1");
        task->putEndpoint(record(1));
        runLoad(Duration(100));
    }
    BOOST_TEST(limited.arrivedSince(limitKnownAt) <= static_cast<int>(MaxArrivalsInWindow));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
