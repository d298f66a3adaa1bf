#include "manifest/chunks.h"
#include "manifest/manifestfollower.h"
#include "samplemanifest.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

using namespace magnolia;
using namespace magnolia::manifest;
using namespace std::chrono_literals;

namespace
{

/** One version as the store and peers hold it. */
struct Version {
    HeadRow row;
    ChunkSet set;

    wire::ManifestHead head() const
    {
        return {.version = row.head.version, .root = set.root.toString()};
    }
};

Version makeVersion(std::uint64_t number, std::size_t organisations = 3)
{
    const ChunkSet set = split(sampleManifest(organisations, number));
    return {.row = {.head = {.version = number, .root = set.root, .applyId = "a" + std::to_string(number)}, .history = {}}, .set = set};
}

/** A daemon's follower, with a store and peers that answer as each test says. */
struct Follower {
    ManifestFollower follower{{.pollInterval = 10s, .replyTimeout = 2s, .minBackoff = 500ms, .maxBackoff = 30s, .startWait = 3s, .startPeers = 3}, Random(1)};
    MonoTime now{1h};
    std::vector<FollowerAction> actions;
    std::vector<std::uint64_t> inForce; ///< Every version that was put in force, in order.

    Follower()
    {
        follower.start(now);
        collect();
    }

    void collect()
    {
        for (FollowerAction &action : follower.takeActions()) {
            if (const auto *put = std::get_if<PutInForce>(&action)) {
                inForce.push_back(put->index->version());
            }
            actions.push_back(std::move(action));
        }
    }

    template<typename T>
    std::vector<T> take()
    {
        collect();
        std::vector<T> taken;
        std::erase_if(actions, [&taken](FollowerAction &action) {
            if (auto *wanted = std::get_if<T>(&action)) {
                taken.push_back(std::move(*wanted));
                return true;
            }
            return false;
        });
        return taken;
    }

    /** @return the messages of one type, with the peer that each is for. */
    template<typename M>
    std::vector<std::pair<PeerName, M>> takeMessages()
    {
        collect();
        std::vector<std::pair<PeerName, M>> taken;
        std::erase_if(actions, [&taken](FollowerAction &action) {
            const auto *send = std::get_if<SendToPeer>(&action);
            if (send == nullptr || !std::holds_alternative<M>(send->message)) {
                return false;
            }
            taken.emplace_back(send->peer, std::get<M>(send->message));
            return true;
        });
        return taken;
    }

    void advance(Duration by)
    {
        const MonoTime end = now + by;
        while (follower.nextTime() <= end) {
            now = std::max(now, follower.nextTime());
            follower.onTime(now);
            collect();
            if (follower.nextTime() <= now) {
                now += 1ms;
            }
        }
        now = end;
    }

    void showStore(const Version &version)
    {
        follower.onHeadRow(now, std::optional(version.row.encode()));
    }

    void failStore()
    {
        follower.onHeadRow(now, fail(ErrorCode::Unavailable, Verdict::NotRun));
    }

    void showPeer(const PeerName &peer, const Version &version)
    {
        follower.onPeerUp(now, peer);
        follower.onPeerHead(now, peer, version.head());
    }

    /** Answers all that is asked of the store until nothing more is. */
    void serveStore(const Version &version)
    {
        for (auto reads = take<ReadObject>(); !reads.empty(); reads = take<ReadObject>()) {
            for (const ReadObject &read : reads) {
                const auto chunk = version.set.chunks.find(read.hash);
                follower.onObject(now, read.hash, chunk == version.set.chunks.end() ? std::nullopt : std::optional(chunk->second));
            }
        }
    }

    /** Answers all that is asked of peers. @return the peers that were asked. */
    std::vector<PeerName> servePeers(const Version &version)
    {
        std::vector<PeerName> asked;
        for (auto requests = takeMessages<wire::ChunkRequest>(); !requests.empty(); requests = takeMessages<wire::ChunkRequest>()) {
            for (const auto &[peer, request] : requests) {
                asked.push_back(peer);
                const auto chunk = version.set.chunks.find(*Digest::parse(request.hash));
                follower.onChunkData(now, peer, {.hash = request.hash, .data = chunk == version.set.chunks.end() ? "" : chunk->second});
            }
        }
        return asked;
    }

    void startWith(const Version &version)
    {
        showStore(version);
        serveStore(version);
        take<Warn>();
    }

    std::uint64_t version() const
    {
        return follower.status(now).version;
    }
};

using Versions = std::vector<std::uint64_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(FollowerTest)

BOOST_FIXTURE_TEST_CASE(headInStore_readAtStart_isPutInForce, Follower)
{
    BOOST_TEST(take<ReadHeadRow>().size() == 1U);
    startWith(makeVersion(4));
    BOOST_TEST(inForce == Versions{4}, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(idleFollower_leftAlone_pollsSlowlyWithJitter, Follower)
{
    startWith(makeVersion(1));
    take<ReadHeadRow>();
    std::vector<Duration> gaps;
    for (int i = 0; i < 20; ++i) {
        const MonoTime before = now;
        while (take<ReadHeadRow>().empty()) {
            advance(100ms);
        }
        gaps.push_back(std::chrono::duration_cast<Duration>(now - before));
        showStore(makeVersion(1));
    }
    BOOST_TEST((*std::min_element(gaps.begin(), gaps.end()) >= 5s));
    BOOST_TEST((*std::max_element(gaps.begin(), gaps.end()) <= 15100ms));
    BOOST_TEST((*std::min_element(gaps.begin(), gaps.end()) != *std::max_element(gaps.begin(), gaps.end())));
}

BOOST_FIXTURE_TEST_CASE(fewDaemons_withoutNews_areReadWithinFiveSeconds, Follower)
{
    // Symptom: a new version is in force after 10 s in a small deployment. Sequence: the head row moves just after all of a
    // handful of daemons have read it; each waits for its next read. Cause: the interval was that of 1,720 daemons.
    startWith(makeVersion(1));
    take<ReadHeadRow>();
    follower.onDaemonCount(now, 1);
    for (int i = 0; i < 50; ++i) {
        const MonoTime before = now;
        while (take<ReadHeadRow>().empty()) {
            advance(100ms);
        }
        BOOST_TEST((now - before <= 1600ms));
        BOOST_TEST((now - before >= 500ms));
        showStore(makeVersion(1));
        follower.onDaemonCount(now, 1); // Read at any time, it must neither hasten nor put off the next read.
    }
}

BOOST_FIXTURE_TEST_CASE(daemonCount_saidDuringOutage_leavesTheBackoff, Follower)
{
    // Symptom: a store that is down is asked once a second by each daemon. Sequence: reads fail and back off; the list,
    // which still answers, is read. Cause: the count replaced the wait after a failure by the interval.
    std::size_t reads = 0;
    for (int second = 0; second < 600; ++second) {
        reads += take<ReadHeadRow>().size();
        failStore();
        follower.onDaemonCount(now, 5);
        advance(1s);
    }
    BOOST_TEST(reads <= 50U);
}

BOOST_FIXTURE_TEST_CASE(emptyList_afterARightOne_changesNothing, Follower)
{
    startWith(makeVersion(1));
    take<ReadHeadRow>();
    follower.onDaemonCount(now, 1);
    for (int i = 0; i < 20; ++i) {
        follower.onDaemonCount(now, 0);
        advance(1600ms);
        BOOST_TEST(take<ReadHeadRow>().size() == 1U);
        showStore(makeVersion(1));
    }
}

BOOST_FIXTURE_TEST_CASE(higherHeadOfPeer_heard_isFetchedFromItAndPassedOn, Follower)
{
    startWith(makeVersion(1));
    const Version next = makeVersion(2);
    follower.onPeerUp(now, "late");
    showPeer("first", next);
    showPeer("second", next);
    takeMessages<wire::ManifestHead>();
    const auto asked = servePeers(next);
    BOOST_TEST(std::count(asked.begin(), asked.end(), "first") == static_cast<std::ptrdiff_t>(asked.size()));
    BOOST_TEST(take<ReadObject>().empty());
    BOOST_TEST(version() == 2U);
    const auto told = takeMessages<wire::ManifestHead>();
    BOOST_REQUIRE(told.size() == 1U); // Those who showed it need not be told.
    BOOST_TEST(told[0].first == "late");
    BOOST_TEST(told[0].second.version == 2U);
}

BOOST_FIXTURE_TEST_CASE(peerWithoutChunks_asked_othersThenStoreAreAsked, Follower)
{
    startWith(makeVersion(1));
    const Version next = makeVersion(2);
    showPeer("a", next);
    showPeer("b", next);
    const auto asked = servePeers(makeVersion(9)); // Neither has it.
    BOOST_TEST(asked == (std::vector<PeerName>{"a", "b"}), boost::test_tools::per_element());
    serveStore(next);
    BOOST_TEST(version() == 2U);
}

BOOST_FIXTURE_TEST_CASE(lostReplies_ofPeerAndStore_areAskedAgainElsewhere, Follower)
{
    // Symptom: the daemon stays on its old version. Sequence: a chunk's reply is lost on the link, then in the store.
    // Cause: nobody noticed that the request was over.
    startWith(makeVersion(1));
    const Version next = makeVersion(2);
    showPeer("a", next);
    BOOST_TEST(takeMessages<wire::ChunkRequest>().size() == 1U);
    advance(2100ms);
    BOOST_TEST(take<ReadObject>().size() == 1U);
    advance(5s);
    servePeers(next);
    BOOST_TEST(version() == 2U);
}

BOOST_FIXTURE_TEST_CASE(lostReplyOfHeadRead_afterTimeout_isReadAgain, Follower)
{
    BOOST_TEST(take<ReadHeadRow>().size() == 1U);
    advance(4s);
    BOOST_TEST(take<ReadHeadRow>().size() >= 1U);
    BOOST_TEST(!follower.status(now).storeReachable);
}

BOOST_FIXTURE_TEST_CASE(storeDown_forLong_isAskedWithBackoff, Follower)
{
    std::size_t reads = 0;
    for (int second = 0; second < 600; ++second) {
        reads += take<ReadHeadRow>().size();
        failStore();
        advance(1s);
    }
    BOOST_TEST(reads >= 15U);
    BOOST_TEST(reads <= 50U); // 30 s apart at the end.
}

BOOST_FIXTURE_TEST_CASE(lowerVersion_fromAnySource_isRefused, Follower)
{
    // Symptom: a withdrawn key works again. Sequence: a peer that was cut off for an hour, or a store restored from a
    // backup, offers an old copy. Cause: the last head heard was taken, not the highest.
    startWith(makeVersion(5));
    showPeer("old", makeVersion(4));
    servePeers(makeVersion(4));
    const auto told = takeMessages<wire::ManifestHead>();
    BOOST_REQUIRE(!told.empty());
    BOOST_TEST(told.back().second.version == 5U); // So that the peer catches up.
    BOOST_TEST(take<Warn>().empty()); // Lagging peers are ordinary.
    showStore(makeVersion(3));
    serveStore(makeVersion(3));
    BOOST_TEST(take<Warn>().size() == 1U); // A store that went back is not.
    BOOST_TEST(inForce == Versions{5}, boost::test_tools::per_element());
    BOOST_TEST(follower.status(now).refusedLower == 2U);
}

BOOST_FIXTURE_TEST_CASE(sameVersionWithAnotherRoot_shown_isRefusedAndReported, Follower)
{
    startWith(makeVersion(5));
    showPeer("odd", makeVersion(5, 4));
    BOOST_TEST(takeMessages<wire::ChunkRequest>().empty());
    BOOST_TEST(take<Warn>().size() == 1U);
    BOOST_TEST(follower.status(now).refusedConflicts == 1U);
    BOOST_TEST(follower.status(now).root == makeVersion(5).set.root.toString());
}

BOOST_FIXTURE_TEST_CASE(twoRootsForNextVersion_shown_storesGoesFirst, Follower)
{
    startWith(makeVersion(5));
    const Version ofStore = makeVersion(6);
    showPeer("odd", makeVersion(6, 4));
    showStore(ofStore);
    serveStore(ofStore);
    BOOST_TEST(version() == 6U);
    BOOST_TEST(follower.status(now).root == ofStore.set.root.toString());
    BOOST_TEST(follower.status(now).refusedConflicts == 1U);
}

BOOST_FIXTURE_TEST_CASE(startDuringOutage_withSeveralPeers_takesTheHighest, Follower)
{
    // Symptom: a restarted daemon serves an organisation that was withdrawn. Sequence: the platform is out, the daemon
    // starts, and the first peer to answer lags. Cause: the first answer was taken for the truth.
    failStore();
    showPeer("a", makeVersion(3));
    servePeers(makeVersion(3));
    showPeer("b", makeVersion(7));
    servePeers(makeVersion(7));
    BOOST_TEST(inForce.empty()); // Two of three peers heard.
    showPeer("c", makeVersion(6));
    servePeers(makeVersion(7));
    collect();
    BOOST_TEST(inForce == Versions{7}, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(startDuringOutage_withOnePeer_waitsThenTakesIt, Follower)
{
    failStore();
    showPeer("a", makeVersion(3));
    servePeers(makeVersion(3));
    BOOST_TEST(inForce.empty());
    advance(3s);
    BOOST_TEST(inForce == Versions{3}, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(startDuringOutage_withNobody_putsNothingInForce, Follower)
{
    failStore();
    advance(60s);
    BOOST_TEST(inForce.empty());
    BOOST_TEST(follower.status(now).isolated);
}

BOOST_FIXTURE_TEST_CASE(start_withStoreBehindPeer_takesThePeersVersion, Follower)
{
    showPeer("ahead", makeVersion(9));
    servePeers(makeVersion(9));
    BOOST_TEST(inForce.empty()); // Not settled yet.
    showStore(makeVersion(8));
    serveStore(makeVersion(8));
    collect();
    BOOST_TEST(inForce == Versions{9}, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(isolatedFollower_cutFromAll_keepsItsVersionAndSaysSo, Follower)
{
    startWith(makeVersion(2));
    showPeer("a", makeVersion(2));
    follower.onPeerDown(now, "a");
    failStore();
    BOOST_TEST(!follower.status(now).isolated);
    advance(31s);
    BOOST_TEST(follower.status(now).isolated);
    BOOST_TEST(version() == 2U);
    showStore(makeVersion(2));
    BOOST_TEST(!follower.status(now).isolated);
}

BOOST_FIXTURE_TEST_CASE(chunkOfWrongBytes_fromPeer_isRefusedAndFetchedElsewhere, Follower)
{
    startWith(makeVersion(1));
    const Version next = makeVersion(2);
    showPeer("bad", next);
    showPeer("good", next);
    const auto requests = takeMessages<wire::ChunkRequest>();
    follower.onChunkData(now, "bad", {.hash = requests.at(0).second.hash, .data = "{}"});
    BOOST_TEST(follower.status(now).refusedChunks == 1U);
    const auto again = takeMessages<wire::ChunkRequest>();
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].first == "good");
}

BOOST_FIXTURE_TEST_CASE(headThatNobodyCanServe_announced_doesNotKeepFromLowerOne, Follower)
{
    // Symptom: a daemon stays behind for good. Sequence: a peer announces a version whose chunks nobody has; a lower, real
    // one follows. Cause: only the highest head was ever tried.
    startWith(makeVersion(1));
    showPeer("boaster", makeVersion(1000000));
    const Version real = makeVersion(2);
    showPeer("honest", real);
    for (int i = 0; i < 60 && version() == 1; ++i) {
        servePeers(real);
        serveStore(real);
        advance(1s);
    }
    BOOST_TEST(version() == 2U);
}

BOOST_FIXTURE_TEST_CASE(manifestThatIsBroken_announced_isRefusedOnce, Follower)
{
    startWith(makeVersion(1));
    Version broken = makeVersion(2);
    std::string root = broken.set.chunks.at(broken.set.root);
    root.replace(root.find("\"organisations\":3"), 17, "\"organisations\":5");
    broken.set.root = Digest::of(root);
    broken.row.head.root = broken.set.root;
    broken.set.chunks.emplace(broken.set.root, root);
    showStore(broken);
    serveStore(broken);
    BOOST_TEST(version() == 1U);
    BOOST_TEST(take<Warn>().size() == 1U);
    showStore(broken);
    BOOST_TEST(take<ReadObject>().empty());
    const Version good = makeVersion(3);
    showStore(good);
    serveStore(good);
    BOOST_TEST(version() == 3U);
}

BOOST_FIXTURE_TEST_CASE(chunkRequests_answered_onlyWithWhatIsInForce, Follower)
{
    const Version one = makeVersion(1);
    startWith(one);
    follower.onPeerUp(now, "p");
    follower.onChunkRequest(now, "p", {.hash = one.set.root.toString()});
    follower.onChunkRequest(now, "p", {.hash = Digest::of("x").toString()});
    follower.onChunkRequest(now, "p", {.hash = "nonsense"});
    const auto answers = takeMessages<wire::ChunkData>();
    BOOST_REQUIRE(answers.size() == 3U);
    BOOST_TEST(answers[0].second.data == one.set.chunks.at(one.set.root));
    BOOST_TEST(answers[1].second.data.empty());
    BOOST_TEST(answers[2].second.data.empty());
}

BOOST_FIXTURE_TEST_CASE(largeManifest_fetched_boundsRequestsInFlight, Follower)
{
    const Version large = makeVersion(1, 20000);
    showStore(large);
    std::size_t most = 0;
    for (auto reads = take<ReadObject>(); !reads.empty(); reads = take<ReadObject>()) {
        most = std::max(most, reads.size());
        for (const ReadObject &read : reads) {
            follower.onObject(now, read.hash, std::optional(large.set.chunks.at(read.hash)));
        }
    }
    BOOST_TEST(version() == 1U);
    BOOST_TEST(most <= 32U);
}

BOOST_AUTO_TEST_SUITE_END()
