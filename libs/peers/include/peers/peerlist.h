#ifndef MAGNOLIA_PEERS_PEERLIST_H
#define MAGNOLIA_PEERS_PEERLIST_H

#include "base/clock.h"
#include "base/failure.h"
#include "http/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

struct event_base;

/** Exchange between processes of one kind, which keeps those serving that the platform's store rejects or does not answer. */
namespace magnolia::peers
{

/** A peer's announcement. */
struct AnnouncedPeer {
    std::string name; ///< Unique name of its instance.
    std::string address; ///< "IP:PORT" on which it accepts links.
    Duration age{0}; ///< Time since its last announcement, by the store's clock.
};

/** What a read of the announcements has shown. */
struct Peers {
    std::vector<std::string> addresses{}; ///< Of all usable peers.
    bool isComplete = false; ///< This process was listed too, and so were those that started together with it.
    bool isFirstProcess = false; ///< The first list did not contain this instance: no process ran there before this one.
};

/** Store in which peers announce themselves. Each operation calls done exactly once, asynchronously on the loop's thread. */
class PeerStore
{
public:
    virtual ~PeerStore() = default;
    virtual void announce(const std::string &name, const std::string &address, std::function<void(Result<void>)> done) = 0;
    virtual void list(std::function<void(Result<std::vector<AnnouncedPeer>>)> done) = 0;

    /** Removes the announcements of peers, except those that have been renewed meanwhile. */
    virtual void removeAnnouncements(std::span<const std::string> names, std::function<void(Result<void>)> done) = 0;
};

/**
 * Announces this process to its peers and discovers their addresses.
 *
 * The known peers are kept while the store is unavailable, since that is when they are needed. Until a list is complete, it is read more often. An announcement
 * that is not renewed is no longer used and is later removed, so that the list does not grow with each replaced instance. The store charges for requests, so
 * there are few: one read every 15 s and one write every minute. Lives on one event loop; the store must outlive it.
 *
 * @code
 * PeerList peers(loop, {.name = "entry-a", .address = "10.0.0.4:7341"}, store, [&](auto peers) { exchange.setPeers(peers.addresses); });
 * peers.start();
 * @endcode
 */
class PeerList
{
public:
    struct Options {
        std::string name{};
        std::string address{}; ///< On which this process accepts links.
        /** After the start; doubled until a list is complete. Processes that start together are missing from one another's first list. */
        Duration firstRefreshDelay{1500};
        Duration refreshInterval{15000};
        Duration renewalInterval{60000};
        Duration maxUsableAge{200000}; ///< Three renewal intervals and a margin.
        Duration maxAnnouncementAge{600000}; ///< Older announcements are removed from the store.
    };

    /** @param onPeersChanged called after each read of the list. */
    PeerList(event_base *loop, Options options, PeerStore &store, std::function<void(Peers)> onPeersChanged);
    PeerList(const PeerList &) = delete;
    PeerList &operator=(const PeerList &) = delete;

    void start();

private:
    void refresh();
    void announce();
    void onPeersListed(const std::vector<AnnouncedPeer> &peers);

    Options options_;
    PeerStore &store_;
    std::function<void(Peers)> onPeersChanged_;
    http::Timer timer_;
    BootTime announcedAt_; ///< The epoch: not announced yet.
    Duration refreshDelay_;
    bool isComplete_ = false; ///< A list has been complete.
    std::optional<bool> isFirstProcess_; ///< Nothing: no list has been read.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace magnolia::peers

#endif
