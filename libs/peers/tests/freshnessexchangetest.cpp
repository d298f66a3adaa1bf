#include "peers/freshnessexchange.h"
#include "loopfixture.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::peers
{

namespace
{

/** A process with two documents and the proofs that it has received. */
struct Process {
    Process(event_base *loop, const std::string &name, std::size_t documents = 2)
    {
        FreshnessExchange::Options options;
        options.listenAddress = "127.0.0.1:0";
        options.links.self = {.role = wire::Role::Entry, .instance = name, .dataCentre = "north", .endpoint = {}};
        options.links.keys = {{.id = "k", .secret = "a secret of some length"}};
        options.storeSilenceLimit = Duration(60);
        options.askInterval = Duration(30);
        std::vector<FreshnessExchange::FollowedDocument> followed{routes(), list()};
        followed.resize(documents);
        auto started = FreshnessExchange::start(loop, options, std::move(followed));
        BOOST_REQUIRE(started.has_value());
        exchange = std::move(*started);
    }

    FreshnessExchange::FollowedDocument routes()
    {
        return {.name = "routes",
                .current =
                    [this] {
                        ++lookups;
                        return DocumentState{.version = version, .provedAt = provedAt, .document = document};
                    },
                .onNewer =
                    [this](std::string_view newer) {
                        received = newer;
                        if (canRead) {
                            version = std::stoull(std::string(newer));
                            document = newer;
                        }
                    },
                .onProved = [this](BootTime asOf) { proof = asOf; }};
    }

    FreshnessExchange::FollowedDocument list()
    {
        return {.name = "list",
                .current = [this] { return DocumentState{.version = listVersion, .provedAt = listProvedAt, .document = listDocument}; },
                .onNewer =
                    [this](std::string_view newer) {
                        listDocument = newer;
                        listVersion = std::stoull(listDocument);
                    },
                .onProved = [this](BootTime asOf) { listProof = asOf; }};
    }

    void setList(std::uint64_t number, BootTime asOf)
    {
        listVersion = number;
        listProvedAt = asOf;
        listDocument = std::to_string(number);
    }

    void setRoutes(std::uint64_t number, BootTime asOf)
    {
        version = number;
        provedAt = asOf;
        document = std::to_string(number);
    }

    std::uint64_t version = 0;
    BootTime provedAt;
    std::string document;
    bool canRead = true;
    int lookups = 0;
    std::optional<BootTime> proof;
    std::string received;
    std::uint64_t listVersion = 0;
    BootTime listProvedAt;
    std::string listDocument;
    std::optional<BootTime> listProof;
    std::unique_ptr<FreshnessExchange> exchange;
};

struct ExchangeFixture : http::LoopFixture {
    ExchangeFixture()
    {
        disconnected.exchange->setPeers({helper.exchange->address()});
        keepStoreAnswering(helper);
    }

    /** Simulates a store that answers that process continuously. */
    void keepStoreAnswering(Process &process)
    {
        answered_ = &process;
        timer_.start(Duration(20));
    }

    Process disconnected{loop.get(), "cut-off"};
    Process helper{loop.get(), "helper"};

private:
    void onTimer()
    {
        answered_->exchange->onStoreAnswered();
        timer_.start(Duration(20));
    }

    Process *answered_ = nullptr;
    http::Timer timer_{loop.get(), [this] { onTimer(); }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FreshnessExchangeTest, ExchangeFixture)

BOOST_AUTO_TEST_CASE(storeSilent_peerHasProof_isUsedWithItsAge)
{
    const BootTime before = BootClock::now();
    const BootTime provedAt = before - std::chrono::milliseconds(400);
    disconnected.setRoutes(7, BootTime());
    helper.setRoutes(7, provedAt);
    BOOST_REQUIRE(runUntil([this] { return disconnected.proof.has_value(); }));
    // The age is subtracted from the time of the question, so the proof may look older by the transmission time, but never younger.
    BOOST_TEST((*disconnected.proof <= provedAt));
    BOOST_TEST((*disconnected.proof > provedAt - std::chrono::milliseconds(200)));
    BOOST_TEST(disconnected.received.empty());
}

BOOST_AUTO_TEST_CASE(storeSilent_peerHasNewerVersion_isReceivedBeforeTheProof)
{
    disconnected.setRoutes(7, BootTime());
    helper.setRoutes(9, BootClock::now());
    BOOST_REQUIRE(runUntil([this] { return disconnected.proof.has_value(); }));
    BOOST_TEST(disconnected.version == 9U);
    BOOST_TEST(disconnected.received == "9");
}

BOOST_AUTO_TEST_CASE(storeSilent_newerVersionNotApplied_givesNoProof)
{
    // The newer version may be the one that revokes a key.
    disconnected.setRoutes(7, BootTime());
    disconnected.canRead = false;
    helper.setRoutes(9, BootClock::now());
    BOOST_REQUIRE(runUntil([this] { return !disconnected.received.empty(); }));
    runFor(Duration(100));
    BOOST_TEST(!disconnected.proof.has_value());
}

BOOST_AUTO_TEST_CASE(storeSilent_peerHasNoVersion_givesNoProof)
{
    disconnected.setRoutes(7, BootTime());
    BOOST_REQUIRE(runUntil([this] { return helper.lookups >= 2; }));
    BOOST_TEST(!disconnected.proof.has_value());
}

BOOST_AUTO_TEST_CASE(storeAnswers_proofIsFresh_noPeerIsAsked)
{
    keepStoreAnswering(disconnected);
    helper.exchange->setPeers({}); // From now on the helper's own store is silent.
    runFor(Duration(300));
    BOOST_TEST(helper.lookups <= 10); // Lookups for the helper's own questions only; each question of the other process would add one.
    BOOST_TEST(!disconnected.proof.has_value());
}

BOOST_AUTO_TEST_CASE(storeSilent_severalDocuments_eachHasItsOwnProof)
{
    // A proof of the newer routes must not count for the older list of endpoints.
    const BootTime listProvedAt = BootClock::now() - std::chrono::milliseconds(700);
    disconnected.setRoutes(7, BootTime());
    disconnected.setList(100, BootTime());
    helper.setRoutes(7, BootClock::now());
    helper.setList(110, listProvedAt);
    BOOST_REQUIRE(runUntil([this] { return disconnected.proof.has_value() && disconnected.listProof.has_value(); }));
    BOOST_TEST(disconnected.received.empty());
    BOOST_TEST(disconnected.listDocument == "110");
    BOOST_TEST((*disconnected.listProof <= listProvedAt));
    BOOST_TEST((*disconnected.proof > listProvedAt));
}

BOOST_AUTO_TEST_CASE(storeSilent_peerHasOneDocumentOnly_thatOneIsProved)
{
    // During a rolling update some peers run an earlier version.
    Process older(loop.get(), "older", 1);
    older.setRoutes(7, BootClock::now());
    disconnected.setRoutes(7, BootTime());
    disconnected.setList(100, BootTime());
    disconnected.exchange->setPeers({older.exchange->address()});
    BOOST_REQUIRE(runUntil([this] { return disconnected.proof.has_value(); }));
    runFor(Duration(100));
    BOOST_TEST(!disconnected.listProof.has_value());
}

// Guards against an instance without answers of the store rejecting keys although peers could give proofs: it must not keep asking the first peers when
// they are down.
BOOST_AUTO_TEST_CASE(storeSilent_firstPeersDown_othersAreAsked)
{
    disconnected.setRoutes(7, BootTime());
    helper.setRoutes(7, BootClock::now());
    disconnected.exchange->setPeers({"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", helper.exchange->address()});
    BOOST_TEST(runUntil([this] { return disconnected.proof.has_value(); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::peers
