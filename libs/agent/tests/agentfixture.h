#ifndef MAGNOLIA_AGENT_TESTS_AGENTFIXTURE_H
#define MAGNOLIA_AGENT_TESTS_AGENTFIXTURE_H

#include "agent/agenttask.h"
#include "http/eventhandles.h"
#include "manifest/chunks.h"
#include "manifest/headrow.h"
#include "smallendpoint.h"
#include "store/testing/memorytable.h"
#include "wire/loadedlist.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace magnolia::agent
{

/** An entry's end of one link, with all that came over it. */
struct EntryLink {
    std::unique_ptr<wire::Link> link;
    std::vector<wire::Message> received;
    bool closed = false;

    template<typename M>
    std::vector<M> all() const
    {
        std::vector<M> found;
        for (const wire::Message &message : received) {
            if (const auto *match = std::get_if<M>(&message)) {
                found.push_back(*match);
            }
        }
        return found;
    }
};

/** An agent beside a small endpoint, with a table in memory and links from an entry. */
class AgentFixture
{
public:
    explicit AgentFixture(bool isService = false)
    {
        publish(isService);
        task = start("127.0.0.1:0").value();
        entry = connect();
        BOOST_REQUIRE(runUntil([this] { return entry->link->isReady() && !reports().empty() && reports().back().serving; }));
    }

    Result<std::unique_ptr<AgentTask>> start(const std::string &linkAddress)
    {
        return AgentTask::start(loop.get(), options(linkAddress), ports(), metrics, tracer, [this] { stopped = true; });
    }

    std::unique_ptr<EntryLink> connect()
    {
        auto made = std::make_unique<EntryLink>();
        EntryLink *end = made.get();
        wire::LinkOptions linkOptions = {.self = {.role = wire::Role::Entry, .instance = "entry-a", .dataCentre = "north", .endpoint = {}},
                                         .keys = {{.id = "k", .secret = "s"}}};
        made->link = wire::connectLink(loop.get(),
                                       task->linkAddress(),
                                       linkOptions,
                                       {.onReady = [](const wire::PeerInfo &) {},
                                        .onMessage = [end](wire::Message &&message) { end->received.push_back(std::move(message)); },
                                        .onClosed = [end](const Failure &) { end->closed = true; }});
        BOOST_REQUIRE(runUntil([end] { return end->link->isReady(); }));
        return made;
    }

    wire::Dispatch dispatch(std::uint64_t number) const
    {
        wire::Dispatch message;
        message.id = {.request = {.high = 1, .low = number}, .attempt = 1};
        message.incarnation = task->incarnation();
        message.organisation = "karoo";
        message.priorityClass = wire::PriorityClass::Paying;
        message.model = "chat";
        message.method = "POST";
        message.path = "/v1/chat/completions";
        message.body = R"({"messages":[]})";
        message.stream = true;
        message.timeLeft = Duration(20000);
        return message;
    }

    wire::Dispatch booking(std::uint64_t number, const std::string &key, const std::string &body = "{}") const
    {
        wire::Dispatch message = dispatch(number);
        message.model.clear();
        message.service = "bookings";
        message.path = "/book";
        message.body = body;
        message.stream = false;
        message.idempotent = false;
        message.idempotencyKey = key;
        return message;
    }

    /** Sends over the entry's link and waits for the end. */
    wire::Finish finishOf(const wire::Dispatch &message)
    {
        BOOST_REQUIRE(entry->link->send(message));
        std::optional<wire::Finish> finish;
        BOOST_REQUIRE(runUntil([&] {
            finish = finishIn(*entry, message.id);
            return finish.has_value();
        }));
        return *finish;
    }

    static std::optional<wire::Finish> finishIn(const EntryLink &link, const wire::AttemptId &id)
    {
        for (const wire::Finish &finish : link.all<wire::Finish>()) {
            if (finish.id == id) {
                return finish;
            }
        }
        return std::nullopt;
    }

    /** The reports that came over the entry's link, with the lists put back that were left out. */
    std::vector<wire::LoadReport> reports() const
    {
        return reportsOver(*entry);
    }

    static std::vector<wire::LoadReport> reportsOver(const EntryLink &link)
    {
        std::vector<wire::LoadReport> reports = link.all<wire::LoadReport>();
        wire::LoadedList list;
        for (wire::LoadReport &report : reports) {
            list.restore(report);
        }
        return reports;
    }

    bool runUntil(const std::function<bool()> &happened)
    {
        const MonoTime limit = MonoClock::now() + std::chrono::seconds(10);
        while (!happened() && MonoClock::now() < limit) {
            const timeval pause = http::toTimeval(Duration(5));
            event_base_loopexit(loop.get(), &pause);
            event_base_loop(loop.get(), EVLOOP_ONCE);
            table.deliver();
            for (const auto &answer : std::exchange(objectAnswers, {})) {
                answer();
            }
        }
        return happened();
    }

    http::EventBasePtr loop{event_base_new()};
    SmallEndpoint endpoint{loop.get()};
    store::testing::MemoryTable table;
    std::map<std::string, std::string> objects;
    std::vector<std::function<void()>> objectAnswers;
    observe::Metrics metrics;
    observe::Tracer tracer{observe::Tracer::Options{}, Random(1)};
    bool stopped = false;
    std::unique_ptr<AgentTask> task;
    std::unique_ptr<EntryLink> entry;

private:
    void publish(bool isService)
    {
        manifest::Manifest document;
        document.version = 1;
        document.models = {{.name = "chat", .version = "7", .adapters = {}}};
        document.services = {{.name = "bookings", .idempotent = false, .safeMethods = {"GET"}}};
        manifest::Endpoint self{.name = "engine-1", .dataCentre = "north", .models = {"chat"}, .service = {}, .role = "any", .concurrency = 2, .group = {}};
        if (isService) {
            self.kind = manifest::EndpointKind::Service;
            self.models.clear();
            document.models.clear();
            self.service = "bookings";
        }
        document.endpoints = {self};
        const manifest::ChunkSet chunks = manifest::split(document);
        for (const auto &[hash, data] : chunks.chunks) {
            objects[manifest::objectName(hash)] = data;
        }
        manifest::HeadRow head;
        head.head = {.version = 1, .root = chunks.root, .applyId = "apply"};
        table.overwrite(std::string(manifest::HeadRowKey), head.encode());
    }

    AgentOptions options(const std::string &linkAddress) const
    {
        AgentOptions options;
        options.instance = "agent-1";
        options.dataCentre = "north";
        options.endpoint = "engine-1";
        options.linkAddress = linkAddress;
        options.links.keys = {{.id = "k", .secret = "s"}};
        options.engine.address = endpoint.address();
        options.operators.address = "127.0.0.1:0";
        options.operatorsKey = observe::Secret("operator");
        options.pollInterval = Duration(200);
        options.enginePollInterval = Duration(30);
        options.stopLag = Duration(0);
        return options;
    }

    PlatformPorts ports()
    {
        PlatformPorts made;
        made.read = [this](const std::string &key, store::ReadCallback done) { table.read(key, std::move(done)); };
        made.insert = [this](const std::string &key, std::string value, store::WriteCallback done) { table.insert(key, std::move(value), std::move(done)); };
        made.replace = [this](const std::string &key, std::uint64_t revision, std::string value, store::WriteCallback done) {
            table.replace(key, revision, std::move(value), std::move(done));
        };
        made.list = [this](const std::string &prefix, store::RowsCallback done) { table.list(prefix, std::move(done)); };
        made.readObject = [this](const std::string &name, store::GetCallback done) {
            const auto found = objects.find(name);
            auto data = found == objects.end() ? std::nullopt : std::optional(found->second);
            objectAnswers.emplace_back([done = std::move(done), data = std::move(data)] { done(data); });
        };
        made.fetchInstances = [this](store::InstancesCallback done) {
            objectAnswers.emplace_back([done = std::move(done)] { done(std::vector<store::Instance>{}); });
        };
        return made;
    }
};

struct ServiceAgentFixture : AgentFixture {
    ServiceAgentFixture() : AgentFixture(true) {}
};

} // namespace magnolia::agent

#endif
