#include "peers/peerlist.h"
#include "loopfixture.h"

#include <boost/test/unit_test.hpp>

#include <utility>

namespace magnolia::peers
{

namespace
{

/** In-memory store that calls back asynchronously from the loop. */
class FakeStore final : public PeerStore
{
public:
    explicit FakeStore(event_base *loop) : timer_(loop, [this] { answer(); }) {}

    void announce(const std::string &name, const std::string &address, std::function<void(Result<void>)> done) override
    {
        announced.push_back(name + " " + address);
        callLater([this, done = std::move(done)] { done(isUnavailable ? Result<void>(away()) : Result<void>()); });
    }

    void list(std::function<void(Result<std::vector<AnnouncedPeer>>)> done) override
    {
        ++lists;
        callLater([this, done = std::move(done)] { done(isUnavailable ? Result<std::vector<AnnouncedPeer>>(away()) : peers); });
    }

    void removeAnnouncements(std::span<const std::string> names, std::function<void(Result<void>)> done) override
    {
        removed.insert(removed.end(), names.begin(), names.end());
        callLater([done = std::move(done)] { done({}); });
    }

    std::vector<AnnouncedPeer> peers;
    std::vector<std::string> announced;
    std::vector<std::string> removed;
    int lists = 0;
    bool isUnavailable = false;

private:
    static tl::unexpected<Failure> away()
    {
        return fail(ErrorCode::Unavailable, Verdict::NotRun, "away");
    }

    void callLater(std::function<void()> call)
    {
        calls_.push_back(std::move(call));
        timer_.start(Duration(0));
    }

    void answer()
    {
        for (const auto &call : std::exchange(calls_, {})) {
            call();
        }
    }

    http::Timer timer_;
    std::vector<std::function<void()>> calls_;
};

struct PeerListFixture : http::LoopFixture {
    PeerListFixture()
    {
        list.start();
    }

    FakeStore store{loop.get()};
    std::vector<std::vector<std::string>> reportedAddresses;
    std::vector<Peers> reported;
    PeerList list{loop.get(),
                  {.name = "a", .address = "10.0.0.1:1", .firstRefreshDelay = Duration(20), .refreshInterval = Duration(40), .renewalInterval = Duration(200)},
                  store,
                  [this](Peers peers) {
                      reportedAddresses.push_back(peers.addresses);
                      reported.push_back(std::move(peers));
                  }};
};

AnnouncedPeer peer(const std::string &name, Duration age)
{
    return {.name = name, .address = name + ":1", .age = age};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerListTest, PeerListFixture)

BOOST_AUTO_TEST_CASE(list_containsItself_onlyOthersAreReported)
{
    store.peers = {peer("a", Duration(0)), peer("b", Duration(100)), peer("c", Duration(100))};
    BOOST_REQUIRE(runUntil([this] { return !reportedAddresses.empty() && reportedAddresses.back().size() == 2; }));
    BOOST_TEST(reportedAddresses.back() == (std::vector<std::string>{"b:1", "c:1"}), boost::test_tools::per_element());
    BOOST_TEST(store.announced.front() == "a 10.0.0.1:1");
}

BOOST_AUTO_TEST_CASE(list_announcementsNotRenewed_areUnusedAndLaterRemoved)
{
    store.peers = {peer("b", Duration(300'000)), peer("c", Duration(700'000))};
    BOOST_REQUIRE(runUntil([this] { return !store.removed.empty(); }));
    BOOST_TEST(reportedAddresses.back().empty());
    BOOST_TEST(store.removed.front() == "c");
}

BOOST_AUTO_TEST_CASE(storeUnavailable_knownPeers_areKept)
{
    store.peers = {peer("b", Duration(0))};
    BOOST_REQUIRE(runUntil([this] { return !reportedAddresses.empty(); }));
    store.isUnavailable = true;
    const std::size_t before = reportedAddresses.size();
    const int lists = store.lists;
    BOOST_REQUIRE(runUntil([&] { return store.lists > lists + 2; }));
    BOOST_TEST(reportedAddresses.size() <= before + 1); // One answer may have been in transit.
    BOOST_TEST(reportedAddresses.back().size() == 1U);
}

BOOST_AUTO_TEST_CASE(announcement_failed_isRetriedAtTheNextRefreshAndOtherwiseRare)
{
    store.isUnavailable = true;
    BOOST_REQUIRE(runUntil([this] { return store.announced.size() >= 3; }));
    store.isUnavailable = false;
    const int lists = store.lists;
    const std::size_t announced = store.announced.size();
    BOOST_REQUIRE(runUntil([&] { return store.lists >= lists + 4; }));
    BOOST_TEST(store.announced.size() <= announced + 2);
}

// Guards against a process taking itself for the only one, because the others that started with it are not announced yet.
BOOST_AUTO_TEST_CASE(list_withoutThisProcess_isNotComplete)
{
    BOOST_REQUIRE(runUntil([this] { return !reported.empty(); }));
    BOOST_TEST(!reported.back().isComplete);
    BOOST_TEST(reported.back().isFirstProcess);
    store.peers = {peer("a", Duration(0)), peer("b", Duration(0))};
    BOOST_REQUIRE(runUntil([this] { return reported.back().isComplete; }));
    BOOST_TEST(reported.back().isFirstProcess);
    BOOST_TEST(reported.back().addresses.size() == 1U);
}

// Guards against a restarted process being taken for the first one of its instance.
BOOST_AUTO_TEST_CASE(firstList_containsThisInstance_anotherProcessWasBefore)
{
    store.peers = {peer("a", Duration(100)), peer("b", Duration(100))};
    BOOST_REQUIRE(runUntil([this] { return !reported.empty(); }));
    BOOST_TEST(reported.back().isComplete);
    BOOST_TEST(!reported.back().isFirstProcess);
}

// Guards against the same after an outage of the store in which the announcement could not be renewed.
BOOST_AUTO_TEST_CASE(firstList_containsAnOldAnnouncementOfThisInstance_anotherProcessWasBefore)
{
    store.peers = {peer("a", Duration(300'000))};
    BOOST_REQUIRE(runUntil([this] { return !reported.empty(); }));
    BOOST_TEST(!reported.back().isComplete);
    BOOST_TEST(!reported.back().isFirstProcess);
}

// Guards against a wrong number of instances being kept for a whole refresh interval, because one read failed just after the start.
BOOST_AUTO_TEST_CASE(list_notCompleteYet_isReadAgainSoon)
{
    Peers last;
    PeerList slow(loop.get(),
                  {.name = "a", .address = "10.0.0.1:1", .firstRefreshDelay = Duration(20), .refreshInterval = Duration(60'000)},
                  store,
                  [&last](Peers peers) { last = std::move(peers); });
    store.isUnavailable = true;
    slow.start();
    runFor(Duration(50));
    store.isUnavailable = false;
    store.peers = {peer("a", Duration(0)), peer("b", Duration(0))};
    BOOST_REQUIRE(runUntil([&last] { return last.isComplete; }, Duration(2000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace magnolia::peers
