#ifndef MAGNOLIA_PEERS_PEERLIST_H
#define MAGNOLIA_PEERS_PEERLIST_H

#include "base/clock.h"
#include "base/failure.h"
#include "http/timer.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

struct event_base;

/** Processes of one kind that help one another while the platform's store turns some of them away. */
namespace magnolia::peers
{

/** A peer as it announced itself. */
struct AnnouncedPeer {
    std::string name; ///< Of its instance; unique.
    std::string address; ///< "IP:PORT" where it takes links.
    Duration age{0}; ///< Since it last announced itself, by the store's clock.
};

/** Where peers announce themselves. Calls call back exactly once, on the loop's thread, never from within. */
class PeerStore
{
public:
    virtual ~PeerStore() = default;
    virtual void announce(const std::string &name, const std::string &address, std::function<void(Result<void>)> done) = 0;
    virtual void list(std::function<void(Result<std::vector<AnnouncedPeer>>)> done) = 0;

    /** Removes the announcements of peers, unless they have announced themselves again meanwhile. */
    virtual void removeAnnouncements(std::span<const std::string> names, std::function<void(Result<void>)> done) = 0;
};

/**
 * Announces this process among its peers and knows where the others are.
 *
 * What was learnt stays while the store is away: that is when peers are needed. An announcement that is not renewed is not
 * used, and after a while removed, so that the list does not grow with each instance that is replaced. Calls to the store
 * are few, as they are priced: one to read every 15 s and one to write every minute. Lives on one event loop; the store
 * outlives it.
 *
 * @code
 * PeerList peers(loop, {.name = "entry-a", .address = "10.0.0.4:7341"}, store, [&](auto addresses) { exchange.setPeers(addresses); });
 * peers.start();
 * @endcode
 */
class PeerList
{
public:
    struct Options {
        std::string name{};
        std::string address{}; ///< Where this process takes links.
        Duration firstRefreshDelay{1500}; ///< After the start: processes of a deployment start together, and miss one another in the first list.
        Duration refreshInterval{15000};
        Duration renewalInterval{60000};
        Duration maxUsableAge{200000}; ///< Three renewals and some.
        Duration maxAnnouncementAge{600000}; ///< Then its announcement is removed.
    };

    /** @param changed is told the addresses of all usable peers after each list. */
    PeerList(event_base *loop, Options options, PeerStore &store, std::function<void(std::vector<std::string>)> onPeersChanged);
    PeerList(const PeerList &) = delete;
    PeerList &operator=(const PeerList &) = delete;

    void start();

private:
    void refresh();
    void announce();
    void listed(const std::vector<AnnouncedPeer> &peers);

    Options options_;
    PeerStore &store_;
    std::function<void(std::vector<std::string>)> onPeersChanged_;
    http::Timer timer_;
    BootTime announcedAt_; ///< The epoch: not yet.
    bool isFirst_ = true;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace magnolia::peers

#endif
