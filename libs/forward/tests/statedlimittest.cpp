#include "forwardfixture.h"

#include <algorithm>

namespace magnolia::forward
{

namespace
{

constexpr std::size_t Entries = 5;
constexpr Duration Window{4000};
constexpr std::size_t MostInWindow = 11; ///< One and a half times what the limit allows in it, and five.
constexpr Duration TimeToFollow{600}; ///< An instance that passed on such an answer so long ago is bound by it.
constexpr Duration RequestInterval{50};

/** Several entries before one endpoint that states a limit and one that does not. */
struct LimitFixture : http::LoopFixture {
    LimitFixture()
    {
        limited = addEndpoint("limited", "X-Rate-Limit: 1\r\n");
        free = addEndpoint("free", "");
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
        config.routes = {ForwardFixture::route("again", routing::RouteKind::Idempotent, 2)};
        config.services = {{.name = "s", .steps = {}}};
        task.putRoutes(std::make_shared<const routing::RouteTable>(std::move(config)));
        task.confirmRoutes(BootClock::now());
        task.setInstanceCount(Entries);
        task.putEndpoint({.id = "limited", .service = "s", .address = limited->address(), .dataCentre = "north", .slots = 4});
        task.putEndpoint({.id = "free", .service = "s", .address = free->address(), .dataCentre = "north", .slots = 4});
        tasks.push_back(std::move(*started));
    }

    /** Requests come to all entries. */
    void runLoad(Duration time)
    {
        for (Duration left = time; left.count() > 0; left -= RequestInterval) {
            for (const auto &task : tasks) {
                callers.push_back(std::make_unique<RawCaller>(loop.get(), task->callersAddress()));
                callers.back()->send(ForwardFixture::request("again", "GET", "Connection: close\r\n"));
            }
            runFor(RequestInterval);
        }
    }

    std::size_t mostInWindow(MonoTime from) const
    {
        std::size_t most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            const auto isInside = [&](MonoTime at) { return at >= *first && at < *first + Window; };
            most = *first < from ? most : std::max<std::size_t>(most, std::count_if(first, arrivals.end(), isInside));
        }
        return most;
    }

    observe::Metrics metrics;
    std::unique_ptr<RawPeer> limited;
    std::unique_ptr<RawPeer> free;
    std::vector<MonoTime> arrivals; ///< At the one with a limit.
    std::vector<std::unique_ptr<ForwardTask>> tasks;
    std::vector<std::unique_ptr<RawCaller>> callers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StatedLimitTest, LimitFixture)

// Guards against an endpoint in need being sent more by all entries together than it says that it takes.
BOOST_AUTO_TEST_CASE(endpoint_statesALimit_allEntriesTogetherKeepIt)
{
    runLoad(TimeToFollow);
    const MonoTime told = MonoClock::now();
    runLoad(2 * Window);
    BOOST_TEST(mostInWindow(told) <= MostInWindow);
    BOOST_TEST(free->requests() > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::forward
