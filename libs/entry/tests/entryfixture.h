#ifndef MAGNOLIA_ENTRY_TESTS_ENTRYFIXTURE_H
#define MAGNOLIA_ENTRY_TESTS_ENTRYFIXTURE_H

#include "entry/entrytask.h"
#include "fakeagent.h"
#include "http/httpclient.h"
#include "manifest/chunks.h"
#include "manifest/headrow.h"
#include "observe/log.h"
#include "samplemanifest.h"

#include <boost/test/unit_test.hpp>
#include <event2/event.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::entry::tests
{

/** One caller's answer as it has come so far. */
struct Answer {
    int status = 0;
    http::Headers headers;
    std::string body;
    bool ended = false;
    bool isWhole = false;
    http::HttpClient::CallId call = 0;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }
};

/** A platform in memory, whose answers come by deliver(). It takes no writes, since an entry never makes any. */
class MemoryPlatform
{
public:
    void read(const std::string & /*key*/, store::ReadCallback done)
    {
        queue_.push_back([this, done = std::move(done)] { done(std::optional(store::Row{.value = headRow, .revision = 1})); });
    }

    template<typename... Arguments>
    void insert(const Arguments &.../*unused*/)
    {
        BOOST_FAIL("an entry never writes");
    }

    template<typename... Arguments>
    void replace(const Arguments &.../*unused*/)
    {
        BOOST_FAIL("an entry never writes");
    }

    template<typename... Arguments>
    void remove(const Arguments &.../*unused*/)
    {
        BOOST_FAIL("an entry never writes");
    }

    template<typename... Arguments>
    void list(const Arguments &.../*unused*/)
    {
        BOOST_FAIL("an entry lists no rows");
    }

    template<typename... Arguments>
    void put(const Arguments &.../*unused*/)
    {
        BOOST_FAIL("an entry never writes");
    }

    void get(const std::string &name, store::GetCallback done)
    {
        queue_.push_back([this, name, done = std::move(done)] {
            const auto found = objects.find(name);
            done(found == objects.end() ? std::nullopt : std::optional(found->second));
        });
    }

    void fetch(store::InstancesCallback done)
    {
        queue_.push_back([this, done = std::move(done)] { done(instances); });
    }

    void deliver()
    {
        for (const auto &call : std::exchange(queue_, {})) {
            call();
        }
    }

    std::string headRow;
    std::map<std::string, std::string> objects;
    std::vector<store::Instance> instances;

private:
    std::vector<std::function<void()>> queue_;
};

/** An entry, two fake agents of model "guide", one of service "booking", and a platform held in memory; all on one loop. */
struct EntryFixture {
    struct FreeLoop {
        void operator()(event_base *base) const
        {
            event_base_free(base);
        }
    };

    EntryFixture()
        : loop(event_base_new())
        , first(loop.get(), "engine-1", 10)
        , second(loop.get(), "engine-2", 20)
        , booking(loop.get(), "booking-1", 30)
        , tracer({}, Random(1))
    {
        observe::LogOptions silent;
        silent.level = spdlog::level::off;
        observe::configureLogging(silent);
        setManifest(sampleManifest());
        for (const FakeAgent *agent : {&first, &second, &booking}) {
            store::Instance instance;
            instance.name = "agent-of-" + agent->endpoint();
            instance.role = "agent";
            instance.endpoint = agent->endpoint();
            instance.address = agent->address();
            instance.dataCentre = "north";
            stores.instances.push_back(instance);
        }
        EntryOptions options;
        options.instance = "entry-a";
        options.dataCentre = "north";
        options.callers.address = "127.0.0.1:0";
        options.operators.address = "127.0.0.1:0";
        options.operatorsKey = observe::Secret("operators-key");
        options.links = linkOptions({.role = wire::Role::Entry, .instance = "entry-a", .dataCentre = "north", .endpoint = {}, .incarnation = 0});
        options.pollInterval = Duration(200);
        options.stopLag = Duration(300);
        options.maxPendingBytes = 1U << 20U;
        auto started = EntryTask::start(loop.get(), options, portsOf(stores, stores, stores), metrics, tracer, [this] { stopped = true; });
        BOOST_REQUIRE(started);
        entry = std::move(*started);
        caller = std::make_unique<http::HttpClient>(loop.get(), http::HttpClient::Options{.address = entry->callersAddress()});
        operatorClient = std::make_unique<http::HttpClient>(loop.get(), http::HttpClient::Options{.address = entry->operatorsAddress()});
        runUntil([this] { return first.links() == 1 && second.links() == 1 && booking.links() == 1 && ask("GET", "/readyz")->status == 200; });
        reportAll();
    }

    void reportAll()
    {
        for (FakeAgent *agent : {&first, &second, &booking}) {
            agent->report();
        }
        runFor(Duration(20));
    }

    /** Runs the loop until the condition holds; fails the test after a time that only a hang can take. */
    void runUntil(const std::function<bool()> &condition)
    {
        const MonoTime limit = MonoClock::now() + std::chrono::seconds(20);
        while (!condition()) {
            BOOST_REQUIRE(MonoClock::now() < limit);
            runFor(Duration(2));
        }
    }

    void runFor(Duration time)
    {
        const MonoTime end = MonoClock::now() + time;
        do {
            constexpr timeval Slice{.tv_sec = 0, .tv_usec = 2000};
            event_base_loopexit(loop.get(), &Slice);
            event_base_dispatch(loop.get());
            stores.deliver();
        } while (MonoClock::now() < end);
    }

    std::shared_ptr<Answer> send(http::HttpClient &client, http::HttpClient::Request request)
    {
        auto answer = std::make_shared<Answer>();
        answer->call = client.stream(std::move(request),
                                     {
                                         .onHeaders =
                                             [answer](int status, const http::Headers &headers) {
                                                 answer->status = status;
                                                 answer->headers = headers;
                                             },
                                         .onData = [answer](std::string_view data) { answer->body += data; },
                                         .onEnd =
                                             [answer](const Result<void> &result) {
                                                 answer->ended = true;
                                                 answer->isWhole = result.has_value();
                                             },
                                     });
        return answer;
    }

    std::shared_ptr<Answer> chat(const std::string &prompt = "torque", bool stream = true, const http::Headers &extra = {})
    {
        http::Headers headers = extra;
        headers.emplace("authorization", "Bearer " + PayingKey);
        const std::string body =
            R"({"model":"guide","stream":)" + std::string(stream ? "true" : "false") + R"(,"messages":[{"role":"user","content":")" + prompt + R"("}]})";
        return send(*caller, {.method = "POST", .path = "/v1/chat/completions", .headers = headers, .body = body, .timeout = Duration(30000)});
    }

    std::shared_ptr<Answer> book(const std::string &key)
    {
        const http::Headers headers{{"authorization", "Bearer " + PayingKey}, {"idempotency-key", key}};
        return send(*caller, {.method = "POST", .path = "/services/booking/slots", .headers = headers, .body = "{}", .timeout = Duration(30000)});
    }

    /** Asks the operators' side, and waits for the answer. */
    std::shared_ptr<Answer> ask(const std::string &method, const std::string &path, const std::string &body = {}, const http::Headers &headers = {})
    {
        auto answer = send(*operatorClient, {.method = method, .path = path, .headers = headers, .body = body, .timeout = Duration(5000)});
        while (!answer->ended) {
            runFor(Duration(2));
        }
        return answer;
    }

    void waitFor(const std::shared_ptr<Answer> &answer)
    {
        runUntil([&answer] { return answer->ended; });
    }

    /** Waits until an agent has this many dispatches, and returns the latest. */
    wire::Dispatch dispatchAt(FakeAgent &agent, std::size_t count = 1)
    {
        runUntil([&agent, count] { return agent.received<wire::Dispatch>().size() >= count; });
        return agent.received<wire::Dispatch>().back();
    }

    /** Waits for the first dispatch of a model request, wherever it went. @return the agent that has it, then the other one. */
    std::pair<FakeAgent *, FakeAgent *> whereDispatched()
    {
        runUntil([this] { return !first.received<wire::Dispatch>().empty() || !second.received<wire::Dispatch>().empty(); });
        return first.received<wire::Dispatch>().empty() ? std::pair(&second, &first) : std::pair(&first, &second);
    }

    void setManifest(const manifest::Manifest &wanted)
    {
        const manifest::ChunkSet set = manifest::split(wanted);
        for (const auto &[hash, data] : set.chunks) {
            stores.objects[manifest::objectName(hash)] = data;
        }
        manifest::HeadRow row;
        row.head = {.version = wanted.version, .root = set.root, .applyId = "test"};
        stores.headRow = row.encode();
    }

    std::unique_ptr<event_base, FreeLoop> loop;
    FakeAgent first;
    FakeAgent second;
    FakeAgent booking;
    MemoryPlatform stores;
    observe::Metrics metrics;
    observe::Tracer tracer;
    std::unique_ptr<EntryTask> entry;
    std::unique_ptr<http::HttpClient> caller;
    std::unique_ptr<http::HttpClient> operatorClient;
    bool stopped = false;
};

} // namespace magnolia::entry::tests

#endif
