#ifndef MAGNOLIA_AGENT_MANIFESTDRIVER_H
#define MAGNOLIA_AGENT_MANIFESTDRIVER_H

#include "agent/platformports.h"
#include "http/timer.h"
#include "manifest/manifestfollower.h"

#include <functional>
#include <memory>

namespace magnolia::agent
{

/** Carries out what a ManifestFollower decides: reads the store, sends to peers, keeps its time. Lives with its AgentTask. */
class ManifestDriver
{
public:
    struct Ports {
        std::function<void(const manifest::PeerName &peer, const wire::Message &message)> send{};
        std::function<void(manifest::ManifestIndex::Pointer)> putInForce{};
    };

    ManifestDriver(event_base *loop, const manifest::ManifestFollower::Options &options, const PlatformPorts &platform, Ports ports);

    void start();
    void peerUp(const manifest::PeerName &peer);
    void peerDown(const manifest::PeerName &peer);

    /** @return false if the message is none of the manifest's. */
    bool take(const manifest::PeerName &peer, const wire::Message &message);

    manifest::FollowerStatus status() const;

private:
    void carryOut();
    void carryOut(manifest::FollowerAction &action);
    void readHead();
    void readObject(const manifest::Digest &hash);

    manifest::ManifestFollower follower_;
    const PlatformPorts &platform_;
    Ports ports_;
    http::Timer timer_;
    std::shared_ptr<ManifestDriver *> self_; ///< Replies of the platform may come after this is gone.
};

} // namespace magnolia::agent

#endif
