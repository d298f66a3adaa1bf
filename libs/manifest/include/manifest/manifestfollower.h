#ifndef MAGNOLIA_MANIFEST_MANIFESTFOLLOWER_H
#define MAGNOLIA_MANIFEST_MANIFESTFOLLOWER_H

#include "base/clock.h"
#include "base/failure.h"
#include "base/random.h"
#include "manifest/headrow.h"
#include "manifest/manifestindex.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace magnolia::manifest
{

/** Names a peer for the follower; the daemon's own choice, e.g. the instance's name. */
using PeerName = std::string;

/** Read the row HeadRowKey and answer by onHeadRow. */
struct ReadHeadRow {
};

/** Read the object objectName(hash) and answer by onObject. */
struct ReadObject {
    Digest hash;
};

/** Send a ManifestHead, ChunkRequest or ChunkData. */
struct SendToPeer {
    PeerName peer;
    wire::Message message;
};

/** A new version is in force. */
struct PutInForce {
    ManifestIndex::Pointer index;
};

/** Something that an operator should know of; log it as a warning. */
struct Warn {
    std::string text;
};

using FollowerAction = std::variant<ReadHeadRow, ReadObject, SendToPeer, PutInForce, Warn>;

/** What a daemon tells about its manifest. */
struct FollowerStatus {
    std::uint64_t version = 0; ///< In force; 0: none yet.
    std::string root;
    std::uint64_t wantedVersion = 0; ///< Being fetched; 0: none.
    std::size_t missingChunks = 0; ///< Known to be lacking of the wanted version.
    bool isolated = false; ///< Neither the store nor any peer has been heard for Options::isolationAfter.
    bool storeReachable = false; ///< The last read of the head row was answered.
    std::uint64_t refusedLower = 0; ///< Heads refused for a version lower than the one in force.
    std::uint64_t refusedConflicts = 0; ///< Heads refused for the same version with another root.
    std::uint64_t refusedChunks = 0; ///< Chunks refused for a wrong hash or form.
};

/**
 * Decides how a daemon keeps its manifest current.
 *
 * Pure: time, randomness and messages come in, actions go out; the daemon carries them out and reports back. One for
 * each daemon, for its whole life; calls come from one thread. After each call take the actions, and call onTime at
 * nextTime().
 *
 * The version in force never falls while the daemon lives: a lower one is refused whatever its source, and so is the same
 * version with another root. At the start nothing is put in force before the store has answered or, if it is out of reach,
 * several peers (or all that could be found in Options::startWait).
 *
 * @code
 * ManifestFollower follower({}, random);
 * follower.start(now);
 * for (FollowerAction &action : follower.takeActions()) { ... }
 * @endcode
 */
class ManifestFollower
{
public:
    struct Options {
        Duration pollInterval{10000}; ///< Mean time between reads of the head row at most; each is drawn from half to one and a half.
        Duration leastPollInterval{1000}; ///< The mean at least, unless pollInterval is less.
        std::size_t pollsPerSecond = 170; ///< Reads of the head row by all daemons together.
        Duration replyTimeout{2000}; ///< A read or a request with no reply for so long has failed.
        Duration minBackoff{500}; ///< After a failure; doubles up to maxBackoff, with jitter.
        Duration maxBackoff{30000};
        Duration startWait{3000}; ///< How long a start without the store waits for startPeers peers.
        std::size_t startPeers = 3; ///< Heads from so many peers are enough for a start without the store.
        std::size_t maxFetches = 32; ///< Chunks asked for at once.
        std::size_t maxSources = 4; ///< Peers that are asked for a chunk before the store.
        Duration isolationAfter{30000};
    };

    ManifestFollower(Options options, Random random);
    ~ManifestFollower();
    ManifestFollower(const ManifestFollower &) = delete;
    ManifestFollower &operator=(const ManifestFollower &) = delete;

    void start(MonoTime now);
    void onTime(MonoTime now);
    /** @return when onTime is due. */
    MonoTime nextTime() const;

    void onPeerUp(MonoTime now, const PeerName &peer);
    void onPeerDown(MonoTime now, const PeerName &peer);
    void onPeerHead(MonoTime now, const PeerName &peer, const wire::ManifestHead &head);
    void onChunkRequest(MonoTime now, const PeerName &peer, const wire::ChunkRequest &request);
    void onChunkData(MonoTime now, const PeerName &peer, const wire::ChunkData &chunk);

    /**
     * Call whenever the platform's list has been read; without it the head row is read each Options::pollInterval.
     * @param daemons all in the list, leaving ones included, since these read too. An empty list changes nothing.
     */
    void onDaemonCount(MonoTime now, std::size_t daemons);

    /** @param value the row's value; nothing if there is no row. */
    void onHeadRow(MonoTime now, const Result<std::optional<std::string>> &value);
    /** @param data the object; nothing if there is none. */
    void onObject(MonoTime now, const Digest &hash, const Result<std::optional<std::string>> &data);

    /** @return what is to be done since the last call, in order. */
    std::vector<FollowerAction> takeActions();

    /** @return the version in force; null before the first. */
    ManifestIndex::Pointer current() const;
    FollowerStatus status(MonoTime now) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnolia::manifest

#endif
