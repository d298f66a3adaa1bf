#include "http/eventhandles.h"
#include "http/httpserver.h"
#include "platformservice.h"
#include "relay.h"
#include "store/httpinstancelist.h"
#include "store/httpobjectstore.h"
#include "store/httptable.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace magnolia;
using namespace magnolia::store;
using magnolia::standins::PlatformService;

namespace
{

constexpr Duration ShortTimeout{100};

struct LoopFixture {
    template<typename T>
    T await(const std::optional<T> &result)
    {
        const MonoTime end = MonoClock::now() + std::chrono::seconds(10);
        while (!result && MonoClock::now() < end) {
            const timeval pause = http::toTimeval(Duration{50});
            event_base_loopexit(loop.get(), &pause);
            event_base_loop(loop.get(), EVLOOP_ONCE);
        }
        BOOST_REQUIRE(result.has_value());
        return *result;
    }

    http::EventBasePtr loop{event_base_new()};
};

/** The platform's clients for one address, with blocking calls. */
struct Clients {
    Clients(LoopFixture &owner, const std::string &address, Duration timeout = ShortTimeout)
        : fixture(owner)
        , table(owner.loop.get(), {.address = address, .timeout = timeout})
        , objects(owner.loop.get(), {.address = address, .timeout = timeout})
        , instances(owner.loop.get(), {.address = address, .timeout = timeout})
    {
    }

    template<typename T>
    Result<T> call(const std::function<void(std::function<void(Result<T>)>)> &start)
    {
        std::optional<Result<T>> result;
        start([&result](Result<T> value) { result = std::move(value); });
        return fixture.await(result);
    }

    Result<WriteOutcome> insert(const std::string &key, const std::string &value)
    {
        return call<WriteOutcome>([&](auto done) { table.insert(key, value, done); });
    }
    Result<WriteOutcome> replace(const std::string &key, std::uint64_t revision, const std::string &value)
    {
        return call<WriteOutcome>([&](auto done) { table.replace(key, revision, value, done); });
    }
    Result<WriteOutcome> remove(const std::string &key, std::uint64_t revision)
    {
        return call<WriteOutcome>([&](auto done) { table.remove(key, revision, done); });
    }
    Result<std::optional<Row>> read(const std::string &key)
    {
        return call<std::optional<Row>>([&](auto done) { table.read(key, done); });
    }
    Result<std::map<std::string, Row>> list(const std::string &prefix)
    {
        return call<std::map<std::string, Row>>([&](auto done) { table.list(prefix, done); });
    }
    Result<void> put(const std::string &name, const std::string &data)
    {
        return call<void>([&](auto done) { objects.put(name, data, done); });
    }
    Result<std::optional<std::string>> get(const std::string &name)
    {
        return call<std::optional<std::string>>([&](auto done) { objects.get(name, done); });
    }
    Result<std::vector<Instance>> fetch()
    {
        return call<std::vector<Instance>>([&](auto done) { instances.fetch(done); });
    }

    LoopFixture &fixture;
    HttpTable table;
    HttpObjectStore objects;
    HttpInstanceList instances;
};

struct PlatformFixture : LoopFixture {
    PlatformService platform{loop.get(), {}};
    Clients clients{*this, platform.address()};
};

/** A server that gives every request the same answer. */
struct BadPlatformFixture : LoopFixture {
    void answerAllWith(int status, const std::string &body)
    {
        server = http::HttpServer::listen(loop.get(), {.address = "127.0.0.1:0"}, [status, body](const std::shared_ptr<http::Exchange> &exchange) {
                     exchange->reply(status, {}, body);
                 }).value();
        clients = std::make_unique<Clients>(*this, server->address());
    }

    std::unique_ptr<http::HttpServer> server;
    std::unique_ptr<Clients> clients;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlatformClientsTest, PlatformFixture)

BOOST_AUTO_TEST_CASE(rowWithSpecialCharactersInKey_writtenAndRemoved_isReadBack)
{
    const std::string key = "claim/org a/\"x\"?&#%25/é";
    BOOST_TEST(!clients.read(key)->has_value());
    const auto inserted = clients.insert(key, "first");
    BOOST_REQUIRE(inserted && inserted->applied);
    const auto again = clients.insert(key, "second");
    BOOST_REQUIRE(again && !again->applied);
    BOOST_TEST(again->current->value == "first");
    const std::uint64_t revision = inserted->current->revision;
    const auto replaced = clients.replace(key, revision, "third");
    BOOST_REQUIRE(replaced && replaced->applied);
    BOOST_TEST(replaced->current->revision > revision);
    BOOST_TEST(!clients.replace(key, revision, "stale")->applied);
    BOOST_TEST(clients.read(key)->value().value == "third");
    BOOST_TEST(clients.list("claim/org a/")->size() == 1U);
    BOOST_TEST(clients.list("claim/org b/")->empty());
    BOOST_TEST(!clients.remove(key, revision)->applied);
    BOOST_TEST(clients.remove(key, replaced->current->revision)->applied);
    const auto gone = clients.replace(key, revision, "late");
    BOOST_REQUIRE(gone && !gone->applied);
    BOOST_TEST(!gone->current.has_value());
}

BOOST_AUTO_TEST_CASE(objectOfAnyBytes_stored_isReadUnchanged)
{
    std::string bytes(3000000, 'x');
    bytes[7] = '\0';
    bytes[8] = '\xff';
    BOOST_TEST(!clients.get("hash")->has_value());
    BOOST_TEST(clients.put("hash", bytes).has_value());
    BOOST_TEST((clients.get("hash")->value() == bytes));
}

// Guards against exceeding the table's rate limit in a burst of inserts: the limit counts transactions, so inserts share one.
// An insert that fails must not fail the others of its batch.
BOOST_AUTO_TEST_CASE(simultaneousInserts_sent_shareOneTransactionAndSucceedOrFailOnTheirOwn)
{
    BOOST_REQUIRE(clients.insert("claim/3", "rival").has_value());
    const std::uint64_t before = platform.writesCounted();
    constexpr int Inserts = 20;
    std::vector<Result<WriteOutcome>> outcomes;
    std::optional<bool> isDone;
    for (int i = 0; i < Inserts; ++i) {
        const std::string value = i == 5 ? "\xff not UTF-8" : "mine";
        clients.table.insert("claim/" + std::to_string(i), value, [&](Result<WriteOutcome> outcome) {
            outcomes.push_back(std::move(outcome));
            if (outcomes.size() == Inserts) {
                isDone = true;
            }
        });
    }
    await(isDone);
    BOOST_TEST(platform.writesCounted() - before == 1U);
    int applied = 0;
    int refused = 0;
    for (const auto &outcome : outcomes) {
        applied += outcome && outcome->applied ? 1 : 0;
        refused += !outcome && outcome.error().verdict == Verdict::NotRun ? 1 : 0;
    }
    BOOST_TEST(applied == Inserts - 2);
    BOOST_TEST(refused == 1);
    BOOST_TEST(clients.read("claim/3")->value().value == "rival");
    BOOST_TEST(clients.read("claim/19")->value().value == "mine");
}

// Guards against applying a write twice, or reporting a claimed key as free: if the reply is lost, the client can't know
// whether the write took effect, so it must report MayHaveRun and must not repeat the write.
BOOST_AUTO_TEST_CASE(writeWithoutReply_ofAnyKind_mayHaveRunAndIsNotRepeated)
{
    BOOST_REQUIRE(clients.insert("row", "old").has_value());
    for (const bool takesEffect : {true, false}) {
        for (const std::string kind : {"insert", "replace", "remove", "put"}) {
            const std::uint64_t before = platform.writesCounted();
            const std::uint64_t revision = clients.read("row")->value_or(Row{}).revision;
            (takesEffect ? platform.faults().lose_replies : platform.faults().drop_writes) = 1;
            Verdict verdict = Verdict::Ran;
            if (kind == "insert") {
                verdict = clients.insert("new" + std::to_string(before), "x").error().verdict;
            } else if (kind == "replace") {
                verdict = clients.replace("row", revision, "new").error().verdict;
            } else if (kind == "remove") {
                verdict = clients.remove("row", revision).error().verdict;
            } else {
                verdict = clients.put("hash", "data").error().verdict;
            }
            BOOST_TEST((verdict == Verdict::MayHaveRun), kind);
            BOOST_TEST(platform.writesCounted() - before == 1U, kind);
            if (kind == "insert") {
                BOOST_TEST(clients.read("new" + std::to_string(before))->has_value() == takesEffect);
            }
            if (!clients.read("row")->has_value()) {
                BOOST_REQUIRE(clients.insert("row", "old").has_value());
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(outage_ofEachService_failsItsCallsUntilItEnds)
{
    struct Case {
        std::string name;
        std::function<void(bool)> set;
        std::function<bool()> works;
    };
    standins::PlatformFaults &faults = platform.faults();
    const std::array<Case, 6> cases = {{
        {"table answers 503", [&](bool on) { faults.table_down = on; }, [&] { return clients.read("k").has_value(); }},
        {"table silent", [&](bool on) { faults.table_silent = on; }, [&] { return clients.read("k").has_value(); }},
        {"table slower than the timeout", [&](bool on) { faults.slow_ms = on ? 300 : 0; }, [&] { return clients.list("k").has_value(); }},
        {"objects answer 503", [&](bool on) { faults.objects_down = on; }, [&] { return clients.get("k").has_value(); }},
        {"objects silent", [&](bool on) { faults.objects_silent = on; }, [&] { return clients.put("k", "v").has_value(); }},
        {"instances answer 503", [&](bool on) { faults.instances_down = on; }, [&] { return clients.fetch().has_value(); }},
    }};
    for (const Case &outage : cases) {
        BOOST_TEST(outage.works(), outage.name);
        outage.set(true);
        BOOST_TEST(!outage.works(), outage.name);
        outage.set(false);
        BOOST_TEST(outage.works(), outage.name);
    }
}

BOOST_AUTO_TEST_CASE(closedPort_called_provesThatNothingRan)
{
    Clients unreachable(*this, "127.0.0.1:1");
    BOOST_TEST((unreachable.insert("k", "v").error().verdict == Verdict::NotRun));
    BOOST_TEST((unreachable.put("k", "v").error().verdict == Verdict::NotRun));
    BOOST_TEST((unreachable.read("k").error().code == ErrorCode::Unavailable));
}

BOOST_AUTO_TEST_CASE(listWithInvalidElements_fetched_holdsTheOthers)
{
    http::HttpClient operators(loop.get(), {.address = platform.address()});
    const std::array<std::string, 3> registrations = {
        R"({"role": "agent", "endpoint": "engine-1", "address": "127.0.0.1:7", "data_centre": "north", "leaving": true})",
        R"({"role": 7, "address": "127.0.0.1:7"})",
        R"({"role": "entry"})",
    };
    for (std::size_t i = 0; i < registrations.size(); ++i) {
        std::optional<bool> isDone;
        operators.send({.method = "PUT", .path = "/instances/n" + std::to_string(i), .body = registrations[i]},
                       [&isDone](const Result<http::Response> &answer) { isDone = answer.has_value(); });
        BOOST_TEST(await(isDone));
    }
    const auto instances = clients.fetch();
    BOOST_REQUIRE(instances.has_value());
    BOOST_REQUIRE(instances->size() == 1U);
    BOOST_TEST(instances->front().name == "n0");
    BOOST_TEST(instances->front().endpoint == "engine-1");
    BOOST_TEST(instances->front().dataCentre == "north");
    BOOST_TEST(instances->front().leaving);
}

// Guards against calls failing until a restart after a middlebox has dropped the state of open connections: these stay open
// without answering, while new ones work. After one call has timed out, the next must open a new connection.
BOOST_AUTO_TEST_CASE(deadConnections_whileNewOnesWork_areReplacedAfterOneTimeout)
{
    standins::Relay relay(loop.get(), {.target = platform.address()});
    Clients relayed(*this, relay.address());
    BOOST_REQUIRE(relayed.insert("a", "v").has_value());
    BOOST_REQUIRE(relayed.put("a", "v").has_value());
    relay.silence();
    BOOST_TEST((relayed.insert("b", "v").error().verdict == Verdict::MayHaveRun));
    BOOST_TEST(!relayed.get("a").has_value());
    BOOST_TEST(relayed.insert("c", "v").has_value());
    BOOST_TEST(relayed.get("a").has_value());
    // A request swallowed by a dead connection must not be delivered later.
    BOOST_TEST(!relayed.read("b")->has_value());
    BOOST_TEST(relay.counts()["accepted"] == 4);
}

BOOST_AUTO_TEST_CASE(table_destroyedInACallback_makesNoFurtherCallbacks)
{
    auto table = std::make_unique<HttpTable>(loop.get(), HttpTable::Options{.address = platform.address()});
    int calls = 0;
    std::optional<bool> isDone;
    for (int i = 0; i < 3; ++i) {
        table->insert("k" + std::to_string(i), "v", [&](const Result<WriteOutcome> &) {
            ++calls;
            table.reset();
            isDone = true;
        });
    }
    await(isDone);
    BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(PlatformBadReplyTest, BadPlatformFixture)

// Guards against crashing, hanging or accepting wrong data on a malformed reply.
BOOST_AUTO_TEST_CASE(malformedReply_toAnyCall_failsWithMayHaveRun)
{
    const std::string deep(200000, '[');
    const std::array<std::pair<std::string, std::string>, 16> bodies = {{
        {"empty", ""},
        {"not JSON", "<html>"},
        {"cut", R"({"value": "v", "revi)"},
        {"array", "[]"},
        {"number", "7"},
        {"null", "null"},
        {"wrong type of value", R"({"value": 7, "revision": 1})"},
        {"wrong type of revision", R"({"value": "v", "revision": "1"})"},
        {"negative revision", R"({"value": "v", "revision": -1})"},
        {"fractional revision", R"({"value": "v", "revision": 1.5})"},
        {"revision past 64 bits", R"({"value": "v", "revision": 99999999999999999999999})"},
        {"no UTF-8", "{\"value\": \"\xff\xfe\", \"revision\": 1}"},
        {"deep", deep},
        {"deep inside", R"({"value": )" + deep},
        {"rows of the wrong type", R"({"rows": [], "results": {}, "instances": {}})"},
        {"rows of wrong rows", R"({"rows": {"k": 7}, "results": [7], "instances": 7})"},
    }};
    for (const auto &[name, body] : bodies) {
        answerAllWith(200, body);
        const auto expectUnprovenFailure = [&name = name](const auto &result) {
            BOOST_REQUIRE_MESSAGE(!result.has_value(), name);
            BOOST_TEST((result.error().code == ErrorCode::ProtocolError), name);
            BOOST_TEST((result.error().verdict == Verdict::MayHaveRun), name);
        };
        expectUnprovenFailure(clients->read("k"));
        expectUnprovenFailure(clients->list("k"));
        expectUnprovenFailure(clients->fetch());
        answerAllWith(412, body);
        expectUnprovenFailure(clients->insert("k", "v"));
        expectUnprovenFailure(clients->replace("k", 1, "v"));
    }
}

BOOST_AUTO_TEST_CASE(malformedResults_ofATransaction_failItsWrites)
{
    const std::array<std::string, 7> bodies = {
        "{}",
        R"({"results": 7})",
        R"({"results": []})",
        R"({"results": [{"applied": true, "value": "v", "revision": 1}]})",
        R"({"results": [7, 7]})",
        R"({"results": [{"applied": "yes"}, {"applied": 1}]})",
        R"({"results": [{"applied": true}, {"applied": false, "revision": 1}]})",
    };
    for (const std::string &body : bodies) {
        answerAllWith(200, body);
        int failed = 0;
        std::optional<bool> isDone;
        for (const std::string key : {"a", "b"}) {
            clients->table.insert(key, "v", [&, key](const Result<WriteOutcome> &outcome) {
                failed += !outcome && outcome.error().verdict == Verdict::MayHaveRun ? 1 : 0;
                if (key == "b") {
                    isDone = true;
                }
            });
        }
        await(isDone);
        BOOST_TEST(failed == 2, body);
    }
}

BOOST_AUTO_TEST_CASE(unexpectedStatus_toAnyCall_failsWithMayHaveRun)
{
    for (const int status : {201, 204, 302, 400, 401, 409, 429, 500, 502, 503, 504}) {
        answerAllWith(status, "{}");
        const std::array<Verdict, 4> verdicts = {
            clients->insert("k", "v").error().verdict,
            clients->remove("k", 1).error().verdict,
            clients->read("k").error().verdict,
            clients->put("k", "v").error().verdict,
        };
        for (const Verdict verdict : verdicts) {
            BOOST_TEST((verdict == Verdict::MayHaveRun), status);
        }
    }
}

BOOST_AUTO_TEST_CASE(oversizeReply_toARead_failsWithTooLarge)
{
    answerAllWith(200, R"({"value": ")" + std::string(20U << 20U, 'x') + R"(", "revision": 1})");
    Clients slowClients(*this, server->address(), Duration{5000});
    BOOST_TEST((slowClients.read("k").error().code == ErrorCode::TooLarge));
    BOOST_TEST((slowClients.get("k").error().code == ErrorCode::TooLarge));
}

BOOST_AUTO_TEST_SUITE_END()
