#include "peers/peerlist.h"

#include "observe/log.h"

#include <algorithm>
#include <utility>

namespace magnolia::peers
{

namespace
{

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("peers");
    return instance;
}

} // namespace

PeerList::PeerList(event_base *loop, Options options, PeerStore &store, std::function<void(Peers)> onPeersChanged)
    : options_(std::move(options))
    , store_(store)
    , onPeersChanged_(std::move(onPeersChanged))
    , timer_(loop, [this] { refresh(); })
    , refreshDelay_(options_.firstRefreshDelay)
{
}

void PeerList::start()
{
    refresh();
}

void PeerList::refresh()
{
    timer_.start(isComplete_ ? options_.refreshInterval : refreshDelay_);
    refreshDelay_ = std::min(refreshDelay_ * 2, options_.refreshInterval);
    const BootTime now = BootClock::now();
    if (announcedAt_ == BootTime() || now - announcedAt_ >= options_.renewalInterval) {
        announce();
    }
    store_.list([this, alive = std::weak_ptr<bool>(alive_)](Result<std::vector<AnnouncedPeer>> peers) {
        if (alive.expired()) {
            return;
        }
        if (peers) {
            onPeersListed(*peers);
        } else {
            log()->warn("Reading the peers failed, keeping the known ones cause={}", peers.error().detail);
        }
    });
}

void PeerList::announce()
{
    store_.announce(options_.name, options_.address, [this, at = BootClock::now(), alive = std::weak_ptr<bool>(alive_)](const Result<void> &done) {
        if (alive.expired()) {
            return;
        }
        if (done) {
            announcedAt_ = at;
        } else {
            log()->warn("Announcement failed, will be retried cause={}", done.error().detail);
        }
    });
}

void PeerList::onPeersListed(const std::vector<AnnouncedPeer> &peers)
{
    Peers usable;
    bool isListed = false;
    std::vector<std::string> expired;
    for (const AnnouncedPeer &peer : peers) {
        const bool isOwn = peer.name == options_.name;
        isListed = isListed || isOwn;
        if (peer.age > options_.maxAnnouncementAge) {
            expired.push_back(peer.name);
        } else if (peer.age <= options_.maxUsableAge && isOwn) {
            usable.isComplete = true;
        } else if (peer.age <= options_.maxUsableAge) {
            usable.addresses.push_back(peer.address);
        }
    }
    // The first list is requested before this process is announced, so what it contains of this instance is from a process before it.
    isFirstProcess_ = isFirstProcess_.value_or(!isListed);
    usable.isFirstProcess = *isFirstProcess_;
    isComplete_ = isComplete_ || usable.isComplete;
    if (!expired.empty()) {
        store_.removeAnnouncements(expired, [count = expired.size()](const Result<void> &done) {
            log()->info("Expired announcements removed count={} outcome={}", count, done ? "done" : done.error().detail);
        });
    }
    onPeersChanged_(std::move(usable));
}

} // namespace magnolia::peers
