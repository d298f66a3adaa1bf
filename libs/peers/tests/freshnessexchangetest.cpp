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

/** A process with what it knows. */
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

    void knowsList(std::uint64_t number, BootTime asOf)
    {
        listVersion = number;
        listProvedAt = asOf;
        listDocument = std::to_string(number);
    }

    void knows(std::uint64_t number, BootTime asOf)
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
        cutOff.exchange->setPeers({helper.exchange->address()});
        keepStoreOf(helper);
    }

    /** The store answers that process all the time. */
    void keepStoreOf(Process &process)
    {
        answered_ = &process;
        timer_.start(Duration(20));
    }

    Process cutOff{loop.get(), "cut-off"};
    Process helper{loop.get(), "helper"};

private:
    void tick()
    {
        answered_->exchange->onStoreAnswered();
        timer_.start(Duration(20));
    }

    Process *answered_ = nullptr;
    http::Timer timer_{loop.get(), [this] { tick(); }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FreshnessExchangeTest, ExchangeFixture)

BOOST_AUTO_TEST_CASE(storeSilent_peerHasProof_isTakenAsOldAsItIs)
{
    const BootTime before = BootClock::now();
    const BootTime provedAt = before - std::chrono::milliseconds(400);
    cutOff.knows(7, BootTime());
    helper.knows(7, provedAt);
    BOOST_REQUIRE(runUntil([this] { return cutOff.proof.has_value(); }));
    // The age counts from the question, so that it may look older by the way of the question, never younger.
    BOOST_TEST((*cutOff.proof <= provedAt));
    BOOST_TEST((*cutOff.proof > provedAt - std::chrono::milliseconds(200)));
    BOOST_TEST(cutOff.received.empty());
}

BOOST_AUTO_TEST_CASE(storeSilent_peerHasNewerVersion_isPassedOnBeforeTheProof)
{
    cutOff.knows(7, BootTime());
    helper.knows(9, BootClock::now());
    BOOST_REQUIRE(runUntil([this] { return cutOff.proof.has_value(); }));
    BOOST_TEST(cutOff.version == 9U);
    BOOST_TEST(cutOff.received == "9");
}

BOOST_AUTO_TEST_CASE(storeSilent_newerVersionUnusable_provesNothing)
{
    // It may be the version that took a key away.
    cutOff.knows(7, BootTime());
    cutOff.canRead = false;
    helper.knows(9, BootClock::now());
    BOOST_REQUIRE(runUntil([this] { return !cutOff.received.empty(); }));
    runFor(Duration(100));
    BOOST_TEST(!cutOff.proof.has_value());
}

BOOST_AUTO_TEST_CASE(storeSilent_peerKnowsNothing_provesNothing)
{
    cutOff.knows(7, BootTime());
    BOOST_REQUIRE(runUntil([this] { return helper.lookups >= 2; }));
    BOOST_TEST(!cutOff.proof.has_value());
}

BOOST_AUTO_TEST_CASE(storeAnswers_nobodyNeedsHelp_noPeerIsAsked)
{
    keepStoreOf(cutOff);
    helper.exchange->setPeers({}); // The helper's own store is silent now.
    runFor(Duration(300));
    BOOST_TEST(helper.lookups <= 10); // Its own rounds, but no question of the other's: those would be answered by proofs.
    BOOST_TEST(!cutOff.proof.has_value());
}

BOOST_AUTO_TEST_CASE(storeSilent_severalDocuments_eachIsProvedByItself)
{
    // An older list of endpoints must not be vouched for by newer routes.
    const BootTime listProvedAt = BootClock::now() - std::chrono::milliseconds(700);
    cutOff.knows(7, BootTime());
    cutOff.knowsList(100, BootTime());
    helper.knows(7, BootClock::now());
    helper.knowsList(110, listProvedAt);
    BOOST_REQUIRE(runUntil([this] { return cutOff.proof.has_value() && cutOff.listProof.has_value(); }));
    BOOST_TEST(cutOff.received.empty());
    BOOST_TEST(cutOff.listDocument == "110");
    BOOST_TEST((*cutOff.listProof <= listProvedAt));
    BOOST_TEST((*cutOff.proof > listProvedAt));
}

BOOST_AUTO_TEST_CASE(storeSilent_peerFollowsOneDocumentOnly_thatOneIsProved)
{
    // Peers are not replaced all at once.
    Process older(loop.get(), "older", 1);
    older.knows(7, BootClock::now());
    cutOff.knows(7, BootTime());
    cutOff.knowsList(100, BootTime());
    cutOff.exchange->setPeers({older.exchange->address()});
    BOOST_REQUIRE(runUntil([this] { return cutOff.proof.has_value(); }));
    runFor(Duration(100));
    BOOST_TEST(!cutOff.listProof.has_value());
}

// Symptom: an instance that the store turned away refused keys, though others could have proved them.
// Sequence: the peers that it asked first had gone; it went on asking them.
// Cause: peers that do not help are kept.
BOOST_AUTO_TEST_CASE(storeSilent_firstPeersGone_othersAreAsked)
{
    cutOff.knows(7, BootTime());
    helper.knows(7, BootClock::now());
    cutOff.exchange->setPeers({"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", helper.exchange->address()});
    BOOST_TEST(runUntil([this] { return cutOff.proof.has_value(); }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::peers
