#include "manifest/manifestfollower.h"

#include "manifest/assembly.h"
#include "manifest/pollbudget.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace magnolia::manifest
{

namespace
{

constexpr std::size_t MaxBrokenRoots = 64;
constexpr unsigned MaxBackoffDoublings = 10;
constexpr unsigned MaxRounds = 3;

/** A head that somebody has shown us. */
struct KnownHead {
    std::uint64_t version = 0;
    Digest root;

    bool operator==(const KnownHead &) const = default;
};

struct Peer {
    KnownHead head;
    std::uint64_t order = 0; ///< Of its announcement among all; the first to announce is the first to be asked.
};

/** One chunk on its way. */
struct Fetch {
    std::vector<PeerName> tried; ///< In this round.
    bool triedStore = false;
    bool isAsked = false; ///< A request is out; else it waits for its turn.
    MonoTime until; ///< When the request fails, or the wait ends.
    unsigned rounds = 0; ///< Rounds in which nobody had it.
};

} // namespace

class ManifestFollower::Impl
{
public:
    Impl(Options options, Random random) : options_(options), random_(random) {}

    void start(MonoTime now)
    {
        startDeadline_ = now + options_.startWait;
        lastStoreAnswer_ = now;
        readHeadRow(now);
    }

    void onTime(MonoTime now)
    {
        if (headReadOut_ && now >= nextHeadRead_) {
            // The reply is lost. Should it still come it does no harm, since the version never falls.
            onHeadReadFailed(now);
        } else if (!headReadOut_ && now >= nextHeadRead_) {
            readHeadRow(now);
        }
        expireFetches(now);
        settleStart(now);
        retarget(now);
    }

    MonoTime nextTime() const
    {
        MonoTime next = nextHeadRead_;
        if (!isSettled_ && startDeadline_ > lastNow_) {
            next = std::min(next, startDeadline_);
        }
        for (const auto &[hash, fetch] : fetches_) {
            next = std::min(next, fetch.until);
        }
        for (const auto &[root, until] : postponedRoots_) {
            next = std::min(next, until);
        }
        return next;
    }

    void onPeerUp(MonoTime now, const PeerName &peer)
    {
        lastNow_ = now;
        peers_[peer] = Peer{};
        if (current_ != nullptr) {
            announceTo(peer);
        }
    }

    void onPeerDown(MonoTime now, const PeerName &peer)
    {
        lastNow_ = now;
        peers_.erase(peer);
        for (auto &[hash, fetch] : fetches_) {
            if (fetch.isAsked && !fetch.triedStore && !fetch.tried.empty() && fetch.tried.back() == peer) {
                endRequest(fetch, now);
            }
        }
        retarget(now);
    }

    void onPeerHead(MonoTime now, const PeerName &peer, const wire::ManifestHead &head)
    {
        lastNow_ = now;
        const auto root = Digest::parse(head.root);
        const auto entry = peers_.find(peer);
        if (head.version == 0 || !root || entry == peers_.end()) {
            return;
        }
        const KnownHead known{.version = head.version, .root = *root};
        if (entry->second.head != known) {
            entry->second = {.head = known, .order = ++announcements_};
        }
        if (!isWorthKnowing(known, "peer " + peer)) {
            if (current_ != nullptr && known.version < current_->version()) {
                announceTo(peer);
            }
            return;
        }
        settleStart(now);
        retarget(now);
    }

    void onChunkRequest(MonoTime now, const PeerName &peer, const wire::ChunkRequest &request)
    {
        lastNow_ = now;
        std::string data;
        if (const auto hash = Digest::parse(request.hash)) {
            data = findChunk(*hash);
        }
        actions_.emplace_back(SendToPeer{.peer = peer, .message = wire::ChunkData{.hash = request.hash, .data = std::move(data)}});
    }

    void onChunkData(MonoTime now, const PeerName &peer, const wire::ChunkData &chunk)
    {
        lastNow_ = now;
        const auto hash = Digest::parse(chunk.hash);
        const auto entry = hash ? fetches_.find(*hash) : fetches_.end();
        if (entry == fetches_.end()) {
            return; // Late, doubled or never asked for.
        }
        Fetch &fetch = entry->second;
        const bool isFromAsked = fetch.isAsked && !fetch.triedStore && !fetch.tried.empty() && fetch.tried.back() == peer;
        if (chunk.data.empty()) {
            if (isFromAsked) {
                endRequest(fetch, now);
            }
        } else if (!take(*hash, chunk.data, "peer " + peer, now) && isFromAsked) {
            endRequest(fetch, now);
        }
        pump(now);
    }

    // With a fixed interval of 10 s a handful of daemons would hear of a new version late: nobody reads the head row for
    // seconds, though the store could bear far more reads. So few daemons read often, and many share the budget.
    void onDaemonCount(MonoTime now, std::size_t daemons)
    {
        lastNow_ = now;
        if (daemons == 0) {
            return; // We run, so a list without daemons is wrong; all of them reading fast would hurt the store.
        }
        daemons_ = daemons;
        const bool isBackingOff = headReadFailures_ != 0;
        if (!headReadOut_ && !isBackingOff && nextHeadRead_ > now + pollInterval() * 3 / 2) {
            nextHeadRead_ = now + jittered(pollInterval());
        }
    }

    void onHeadRow(MonoTime now, const Result<std::optional<std::string>> &value)
    {
        lastNow_ = now;
        if (!value) {
            onHeadReadFailed(now);
            return;
        }
        if (!isStoreReachable_) {
            endWaits(now);
        }
        headReadOut_ = false;
        headReadFailures_ = 0;
        isStoreReachable_ = true;
        lastStoreAnswer_ = now;
        nextHeadRead_ = now + jittered(pollInterval());
        if (*value) {
            takeStoreHead(**value);
        } else if (current_ != nullptr) {
            warnOnce("the store has lost the manifest's head row; the version in force stays");
        }
        hasStoreAnswered_ = true;
        settleStart(now);
        retarget(now);
    }

    void onObject(MonoTime now, const Digest &hash, const Result<std::optional<std::string>> &data)
    {
        lastNow_ = now;
        const auto entry = fetches_.find(hash);
        if (entry == fetches_.end()) {
            return;
        }
        const bool hasData = data && *data;
        const bool isTaken = hasData && take(hash, **data, "the store", now);
        if (!isTaken) {
            const auto still = fetches_.find(hash);
            if (still != fetches_.end() && still->second.triedStore) {
                endRequest(still->second, now);
            }
        }
        pump(now);
    }

    std::vector<FollowerAction> takeActions()
    {
        return std::exchange(actions_, {});
    }

    ManifestIndex::Pointer current() const
    {
        return current_;
    }

    FollowerStatus status(MonoTime now) const
    {
        FollowerStatus status;
        if (current_ != nullptr) {
            status.version = current_->version();
            status.root = current_->root();
        }
        if (assembly_) {
            status.wantedVersion = assembly_->target().version;
            status.missingChunks = fetches_.size();
        }
        status.isolated = peers_.empty() && now - lastStoreAnswer_ > options_.isolationAfter;
        status.storeReachable = isStoreReachable_;
        status.refusedLower = refusedLower_;
        status.refusedConflicts = refusedConflicts_;
        status.refusedChunks = refusedChunks_;
        return status;
    }

private:
    // ---- The head row -------------------------------------------------------------------------------------------

    void readHeadRow(MonoTime now)
    {
        lastNow_ = now;
        headReadOut_ = true;
        nextHeadRead_ = now + options_.replyTimeout;
        actions_.emplace_back(ReadHeadRow{});
    }

    void onHeadReadFailed(MonoTime now)
    {
        if (!headReadOut_) {
            return; // Counted as failed already when its time ran out.
        }
        headReadOut_ = false;
        isStoreReachable_ = false;
        nextHeadRead_ = now + backoff(headReadFailures_++);
    }

    void takeStoreHead(std::string_view text)
    {
        const auto row = HeadRow::decode(text);
        if (!row) {
            warnOnce(row.error().detail);
            return;
        }
        const KnownHead known{.version = row->head.version, .root = row->head.root};
        if (isWorthKnowing(known, "the store")) {
            storeHead_ = known;
            postponedRoots_.erase(known.root); // The chunks were stored before the row was moved.
        } else if (current_ != nullptr && known.version < current_->version()) {
            // E.g. restored from a backup. An operator must know, as the daemons will not follow it down.
            warnOnce(fmt::format("the store shows version {}, lower than {} in force", known.version, current_->version()));
        }
    }

    Duration pollInterval() const
    {
        return pollIntervalFor(daemons_, {.readsPerSecond = options_.pollsPerSecond, .least = options_.leastPollInterval, .most = options_.pollInterval});
    }

    Duration backoff(unsigned failures)
    {
        const Duration full = std::min(options_.maxBackoff, options_.minBackoff * (1U << std::min(failures, MaxBackoffDoublings)));
        return jittered(full);
    }

    // From half to one and a half, so that daemons that started or failed together do not stay together.
    Duration jittered(Duration mean)
    {
        std::uniform_int_distribution<Duration::rep> spread(mean.count() / 2, mean.count() + mean.count() / 2);
        return Duration(spread(random_));
    }

    // ---- Which version to want ----------------------------------------------------------------------------------

    // False for a head that must not be followed: a lower version would take back what is in force, and a second root
    // under the same version means that two writers each believe they own it.
    bool isWorthKnowing(const KnownHead &head, const std::string &source)
    {
        if (current_ == nullptr) {
            return true;
        }
        if (head.version < current_->version()) {
            ++refusedLower_;
            return false;
        }
        if (head.version == current_->version() && head.root.toString() != current_->root()) {
            ++refusedConflicts_;
            warnOnce(fmt::format("{} shows another root for version {}; refused", source, head.version));
            return false;
        }
        return true;
    }

    // A start must not accept a version lower than one that it could have seen, or a restarted daemon would act on what
    // it had already left behind. The store's row is the truth; without it, several peers stand in for it.
    void settleStart(MonoTime now)
    {
        lastNow_ = std::max(lastNow_, now);
        if (isSettled_) {
            return;
        }
        const auto heard = std::count_if(peers_.begin(), peers_.end(), [](const auto &peer) { return peer.second.head.version != 0; });
        const bool hasEnoughPeers = static_cast<std::size_t>(heard) >= options_.startPeers;
        const bool hasWaited = heard > 0 && now >= startDeadline_;
        if (!hasStoreAnswered_ && !hasEnoughPeers && !hasWaited) {
            return;
        }
        isSettled_ = true;
    }

    // The highest head that can be followed; among equal versions the store's, else the one announced first.
    KnownHead bestHead() const
    {
        KnownHead best = storeHead_ && canFollow(storeHead_->root) ? *storeHead_ : KnownHead{};
        std::uint64_t bestOrder = 0;
        for (const auto &[name, peer] : peers_) {
            const bool isHigher = peer.head.version > best.version;
            const bool isEarlier = peer.head.version == best.version && bestOrder != 0 && peer.order < bestOrder;
            if ((isHigher || isEarlier) && canFollow(peer.head.root)) {
                best = peer.head;
                bestOrder = peer.order;
            }
        }
        return best;
    }

    bool canFollow(const Digest &root) const
    {
        return !brokenRoots_.contains(root) && !postponedRoots_.contains(root);
    }

    void retarget(MonoTime now)
    {
        std::erase_if(postponedRoots_, [now](const auto &entry) { return now >= entry.second; });
        const KnownHead best = bestHead();
        if (isSettled_ && waiting_ != nullptr && waiting_->version() >= best.version) {
            putInForce(waiting_);
        }
        const std::uint64_t have = std::max(current_ != nullptr ? current_->version() : 0, waiting_ != nullptr ? waiting_->version() : 0);
        if (best.version <= have) {
            assembly_.reset();
            fetches_.clear();
            return;
        }
        const bool isSame = assembly_ && assembly_->target().version == best.version && assembly_->target().root == best.root;
        if (!isSame) {
            if (assembly_ && assembly_->target().version == best.version) {
                ++refusedConflicts_;
                warnOnce(fmt::format("two roots are shown for version {}; the store's goes first", best.version));
            }
            const Assembly *unfinished = assembly_ ? &*assembly_ : nullptr;
            Assembly next({.version = best.version, .root = best.root}, waiting_ != nullptr ? waiting_ : current_, unfinished);
            assembly_ = std::move(next);
            fetches_.clear();
            noteDiscovered(now);
        }
        pump(now);
    }

    // ---- Fetching chunks ----------------------------------------------------------------------------------------

    void noteDiscovered(MonoTime now)
    {
        for (const Digest &hash : assembly_->takeDiscovered()) {
            Fetch fetch;
            fetch.until = now;
            fetches_.emplace(hash, std::move(fetch));
        }
    }

    void expireFetches(MonoTime now)
    {
        for (auto &[hash, fetch] : fetches_) {
            if (fetch.isAsked && now >= fetch.until) {
                endRequest(fetch, now);
            }
        }
        const bool isHopeless = std::any_of(fetches_.begin(), fetches_.end(), [](const auto &entry) { return entry.second.rounds >= MaxRounds; });
        if (isHopeless) {
            postponeTarget(now);
        }
    }

    // A head whose chunks nobody has must not keep us from following a lower one that can be had.
    void postponeTarget(MonoTime now)
    {
        const Assembly::Target target = assembly_->target();
        warnOnce(fmt::format("version {} is announced, but nobody has its chunks", target.version));
        postponedRoots_.emplace(target.root, now + options_.maxBackoff);
        const std::uint64_t have = std::max(current_ != nullptr ? current_->version() : 0, waiting_ != nullptr ? waiting_->version() : 0);
        if (bestHead().version <= have) {
            postponedRoots_.erase(target.root); // Nothing better to do than to go on trying.
        }
    }

    // The store answers again: what waits for it need not wait longer.
    void endWaits(MonoTime now)
    {
        for (auto &[hash, fetch] : fetches_) {
            if (!fetch.isAsked) {
                fetch.until = now;
            }
        }
    }

    // The request failed: the next source is asked, or if all were, after a wait.
    void endRequest(Fetch &fetch, MonoTime now)
    {
        fetch.isAsked = false;
        fetch.until = now;
        if (fetch.triedStore) {
            fetch.tried.clear();
            fetch.triedStore = false;
            fetch.until = now + backoff(fetch.rounds++);
        }
    }

    void pump(MonoTime now)
    {
        auto asked = static_cast<std::size_t>(std::count_if(fetches_.begin(), fetches_.end(), [](const auto &entry) { return entry.second.isAsked; }));
        for (auto entry = fetches_.begin(); entry != fetches_.end() && asked < options_.maxFetches; ++entry) {
            Fetch &fetch = entry->second;
            if (!fetch.isAsked && now >= fetch.until) {
                ask(entry->first, fetch, now);
                ++asked;
            }
        }
    }

    void ask(const Digest &hash, Fetch &fetch, MonoTime now)
    {
        fetch.isAsked = true;
        fetch.until = now + options_.replyTimeout;
        const PeerName *peer = fetch.tried.size() < options_.maxSources ? nextSource(fetch) : nullptr;
        if (peer != nullptr) {
            fetch.tried.push_back(*peer);
            actions_.emplace_back(SendToPeer{.peer = *peer, .message = wire::ChunkRequest{.hash = hash.toString()}});
        } else {
            fetch.triedStore = true;
            actions_.emplace_back(ReadObject{.hash = hash});
        }
    }

    // Peers that have the wanted version in force hold all its chunks; the first to announce it goes first.
    const PeerName *nextSource(const Fetch &fetch) const
    {
        const PeerName *first = nullptr;
        std::uint64_t firstOrder = 0;
        for (const auto &[name, peer] : peers_) {
            const bool isTried = std::find(fetch.tried.begin(), fetch.tried.end(), name) != fetch.tried.end();
            const bool hasIt = peer.head.root == assembly_->target().root && peer.head.version != 0;
            if (hasIt && !isTried && (first == nullptr || peer.order < firstOrder)) {
                first = &name;
                firstOrder = peer.order;
            }
        }
        return first;
    }

    // @return false if the chunk does not fit its hash, so that another source may be asked.
    bool take(const Digest &hash, std::string_view data, const std::string &source, MonoTime now)
    {
        const auto added = assembly_->add(hash, data);
        if (!added && added.error().code == ErrorCode::ProtocolError) {
            ++refusedChunks_;
            warnOnce(fmt::format("a chunk from {} does not fit its hash; refused", source));
            return false;
        }
        if (!added) {
            refuseTarget(added.error().detail, now);
            return true;
        }
        fetches_.erase(hash);
        noteDiscovered(now);
        if (assembly_->isComplete()) {
            finish(now);
        }
        return true;
    }

    // The bytes are what the hash says, so no other source can do better.
    void refuseTarget(const std::string &reason, MonoTime now)
    {
        const Assembly::Target target = assembly_->target();
        ++refusedChunks_;
        warnOnce(fmt::format("version {} is refused: {}", target.version, reason));
        if (brokenRoots_.size() >= MaxBrokenRoots) {
            brokenRoots_.clear();
        }
        brokenRoots_.insert(target.root);
        assembly_.reset();
        fetches_.clear();
        retarget(now);
    }

    void finish(MonoTime now)
    {
        auto index = assembly_->finish();
        if (!index) {
            refuseTarget(index.error().detail, now);
            return;
        }
        assembly_.reset();
        fetches_.clear();
        waiting_ = std::move(*index);
        retarget(now);
    }

    void putInForce(ManifestIndex::Pointer index)
    {
        current_ = std::move(index);
        waiting_.reset();
        actions_.emplace_back(PutInForce{.index = current_});
        for (const auto &[name, peer] : peers_) {
            if (peer.head.version < current_->version()) {
                announceTo(name);
            }
        }
    }

    // ---- What others ask of us ----------------------------------------------------------------------------------

    void announceTo(const PeerName &peer)
    {
        actions_.emplace_back(SendToPeer{.peer = peer, .message = wire::ManifestHead{.version = current_->version(), .root = current_->root()}});
    }

    std::string findChunk(const Digest &hash) const
    {
        if (current_ != nullptr) {
            if (auto data = current_->chunk(hash)) {
                return std::move(*data);
            }
        }
        return {};
    }

    // The same fault repeats with each poll or message; one line is enough until another comes between.
    void warnOnce(std::string text)
    {
        if (text != lastWarning_) {
            lastWarning_ = text;
            actions_.emplace_back(Warn{.text = std::move(text)});
        }
    }

    Options options_;
    Random random_;
    std::vector<FollowerAction> actions_;
    std::string lastWarning_;

    ManifestIndex::Pointer current_; ///< In force.
    ManifestIndex::Pointer waiting_; ///< Whole, but the start is not settled.
    bool isSettled_ = false;
    MonoTime startDeadline_;
    MonoTime lastNow_;

    bool headReadOut_ = false;
    bool hasStoreAnswered_ = false;
    bool isStoreReachable_ = false;
    unsigned headReadFailures_ = 0;
    std::size_t daemons_ = 0; ///< That share the budget of reads; 0: not known.
    MonoTime nextHeadRead_; ///< When the next one is due, or the one that is out has failed.
    MonoTime lastStoreAnswer_;
    std::optional<KnownHead> storeHead_;

    std::map<PeerName, Peer> peers_;
    std::uint64_t announcements_ = 0;
    std::optional<Assembly> assembly_;
    std::map<Digest, Fetch> fetches_;
    std::set<Digest> brokenRoots_; ///< Their content is no manifest.
    std::map<Digest, MonoTime> postponedRoots_; ///< Nobody has their chunks; left alone until then.

    std::uint64_t refusedLower_ = 0;
    std::uint64_t refusedConflicts_ = 0;
    std::uint64_t refusedChunks_ = 0;
};

ManifestFollower::ManifestFollower(Options options, Random random) : impl_(std::make_unique<Impl>(options, random)) {}

ManifestFollower::~ManifestFollower() = default;

void ManifestFollower::start(MonoTime now)
{
    impl_->start(now);
}

void ManifestFollower::onTime(MonoTime now)
{
    impl_->onTime(now);
}

MonoTime ManifestFollower::nextTime() const
{
    return impl_->nextTime();
}

void ManifestFollower::onPeerUp(MonoTime now, const PeerName &peer)
{
    impl_->onPeerUp(now, peer);
}

void ManifestFollower::onPeerDown(MonoTime now, const PeerName &peer)
{
    impl_->onPeerDown(now, peer);
}

void ManifestFollower::onPeerHead(MonoTime now, const PeerName &peer, const wire::ManifestHead &head)
{
    impl_->onPeerHead(now, peer, head);
}

void ManifestFollower::onChunkRequest(MonoTime now, const PeerName &peer, const wire::ChunkRequest &request)
{
    impl_->onChunkRequest(now, peer, request);
}

void ManifestFollower::onChunkData(MonoTime now, const PeerName &peer, const wire::ChunkData &chunk)
{
    impl_->onChunkData(now, peer, chunk);
}

void ManifestFollower::onDaemonCount(MonoTime now, std::size_t daemons)
{
    impl_->onDaemonCount(now, daemons);
}

void ManifestFollower::onHeadRow(MonoTime now, const Result<std::optional<std::string>> &value)
{
    impl_->onHeadRow(now, value);
}

void ManifestFollower::onObject(MonoTime now, const Digest &hash, const Result<std::optional<std::string>> &data)
{
    impl_->onObject(now, hash, data);
}

std::vector<FollowerAction> ManifestFollower::takeActions()
{
    return impl_->takeActions();
}

ManifestIndex::Pointer ManifestFollower::current() const
{
    return impl_->current();
}

FollowerStatus ManifestFollower::status(MonoTime now) const
{
    return impl_->status(now);
}

} // namespace magnolia::manifest
