#ifndef MAGNOLIA_ENTRY_MANIFESTFEED_H
#define MAGNOLIA_ENTRY_MANIFESTFEED_H

#include "entry/platformports.h"
#include "manifest/manifestfollower.h"
#include "timer.h"

#include <functional>
#include <memory>

namespace magnolia::entry
{

/** Carries out what the ManifestFollower decides: reads the store, sends to peers, keeps its time. */
class ManifestFeed
{
public:
    struct Callbacks {
        std::function<void(const manifest::PeerName &peer, const wire::Message &message)> sendToPeer;
        std::function<void(manifest::ManifestIndex::Pointer)> inForce;
    };

    ManifestFeed(event_base *loop, manifest::ManifestFollower::Options options, Random random, PlatformPorts ports, Callbacks callbacks);
    ~ManifestFeed();
    ManifestFeed(const ManifestFeed &) = delete;
    ManifestFeed &operator=(const ManifestFeed &) = delete;

    void start();
    void peerUp(const manifest::PeerName &peer);
    void peerDown(const manifest::PeerName &peer);

    /** Takes ManifestHead, ChunkRequest and ChunkData. */
    void take(const manifest::PeerName &peer, const wire::ManifestHead &head);
    void take(const manifest::PeerName &peer, const wire::ChunkRequest &request);
    void take(const manifest::PeerName &peer, const wire::ChunkData &chunk);

    manifest::FollowerStatus status() const;

private:
    void carryOut();
    void readHeadRow();
    void readObject(const manifest::Digest &hash);

    manifest::ManifestFollower follower_;
    PlatformPorts ports_;
    Callbacks callbacks_;
    Timer timer_;
    std::shared_ptr<bool> alive_; ///< Replies of the platform can come after the feed is gone.
};

} // namespace magnolia::entry

#endif
