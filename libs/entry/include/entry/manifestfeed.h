#ifndef MAGNOLIA_ENTRY_MANIFESTFEED_H
#define MAGNOLIA_ENTRY_MANIFESTFEED_H

#include "base/random.h"
#include "manifest/followertask.h"

#include <cstddef>
#include <functional>
#include <string_view>
#include <utility>

namespace magnolia::entry
{

/** The manifest as an entry follows it, whatever stores it comes from. Same threading rule as EntryTask. */
class ManifestFeed
{
public:
    struct Callbacks {
        std::function<void(const manifest::PeerName &, const wire::Message &)> send;
        std::function<void(const manifest::ManifestIndex::Pointer &)> putInForce;
        std::function<void(std::string_view)> warn;
    };

    virtual ~ManifestFeed() = default;

    virtual void start() = 0;
    virtual void peerUp(const manifest::PeerName &peer) = 0;
    virtual void peerDown(const manifest::PeerName &peer) = 0;

    /** @param daemons in the platform's list, each time that it has been read. */
    virtual void daemonCount(std::size_t daemons) = 0;

    /** @return false if the message is not about the manifest. */
    virtual bool take(const manifest::PeerName &peer, const wire::Message &message) = 0;

    virtual manifest::FollowerStatus status() const = 0;
};

/** The feed from a table and an object store. */
template<store::TableStore Table, store::ObjectStore Objects>
class StoreFeed final : public ManifestFeed
{
public:
    StoreFeed(event_base *loop, Table &table, Objects &objects, const manifest::ManifestFollower::Options &options, Callbacks callbacks)
        : task_(loop,
                table,
                objects,
                options,
                seededRandom(),
                {.send = std::move(callbacks.send), .putInForce = std::move(callbacks.putInForce), .warn = std::move(callbacks.warn)})
    {
    }

    void start() override
    {
        task_.start();
    }

    void peerUp(const manifest::PeerName &peer) override
    {
        task_.onPeerUp(peer);
    }

    void peerDown(const manifest::PeerName &peer) override
    {
        task_.onPeerDown(peer);
    }

    void daemonCount(std::size_t daemons) override
    {
        task_.onDaemonCount(daemons);
    }

    bool take(const manifest::PeerName &peer, const wire::Message &message) override
    {
        return task_.onMessage(peer, message);
    }

    manifest::FollowerStatus status() const override
    {
        return task_.status();
    }

private:
    manifest::FollowerTask<Table, Objects> task_;
};

} // namespace magnolia::entry

#endif
