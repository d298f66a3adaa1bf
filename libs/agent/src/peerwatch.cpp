#include "peerwatch.h"

#include <algorithm>
#include <utility>

namespace magnolia::agent
{

namespace
{

constexpr Duration LookInterval{5000};

bool serves(const wire::LoadReport &report, std::string_view model)
{
    const std::string prefix = std::string(model) + '@';
    return !report.leaving && std::any_of(report.loaded.begin(), report.loaded.end(), [&prefix](const std::string &name) { return name.starts_with(prefix); });
}

} // namespace

PeerWatch::PeerWatch(event_base *loop, wire::LinkOptions links, const PlatformPorts &platform, std::function<void()> onChange)
    : loop_(loop)
    , links_(std::move(links))
    , platform_(platform)
    , onChange_(std::move(onChange))
    , lookTimer_(loop, [this] { look(); })
    , self_(std::make_shared<PeerWatch *>(this))
{
}

void PeerWatch::watch(std::set<std::string> endpoints)
{
    if (endpoints == endpoints_) {
        return;
    }
    endpoints_ = std::move(endpoints);
    std::erase_if(peers_, [this](const auto &entry) { return !endpoints_.contains(entry.second.endpoint); });
    if (endpoints_.empty()) {
        lookTimer_.stop();
    } else {
        look();
    }
}

std::set<std::string> PeerWatch::serving(std::string_view model) const
{
    std::set<std::string> found;
    for (const auto &[address, peer] : peers_) {
        if (peer.report && serves(*peer.report, model)) {
            found.insert(peer.endpoint);
        }
    }
    return found;
}

std::set<std::string> PeerWatch::servingOther(std::string_view model, std::string_view version) const
{
    const std::string wanted = std::string(model) + '@' + std::string(version);
    std::set<std::string> found;
    for (const auto &[address, peer] : peers_) {
        if (!peer.report || !serves(*peer.report, model)) {
            continue;
        }
        const std::vector<std::string> &loaded = peer.report->loaded;
        if (std::find(loaded.begin(), loaded.end(), wanted) == loaded.end()) {
            found.insert(peer.endpoint);
        }
    }
    return found;
}

void PeerWatch::look()
{
    lookTimer_.start(LookInterval);
    platform_.fetchInstances([weak = std::weak_ptr(self_)](const Result<std::vector<store::Instance>> &instances) {
        if (const auto self = weak.lock()) {
            (*self)->onInstances(instances);
        }
    });
}

void PeerWatch::onInstances(const Result<std::vector<store::Instance>> &instances)
{
    if (!instances) {
        return;
    }
    for (const store::Instance &instance : *instances) {
        if (endpoints_.contains(instance.endpoint) && !peers_.contains(instance.address)) {
            dial(instance);
        }
    }
}

void PeerWatch::dial(const store::Instance &instance)
{
    const std::string address = instance.address;
    Peer &peer = peers_[address];
    peer.endpoint = instance.endpoint;
    const auto forget = [this, address](const Failure &) {
        if (const auto found = peers_.find(address); found != peers_.end()) {
            found->second.report.reset();
            found->second.loaded = {};
        }
    };
    const auto take = [this, address](wire::Message &&message) {
        const auto found = peers_.find(address);
        auto *report = std::get_if<wire::LoadReport>(&message);
        // An instance list that lags may name an address that another endpoint's agent has by now.
        if (found != peers_.end() && report != nullptr && report->endpoint == found->second.endpoint) {
            found->second.loaded.restore(*report);
            this->take(found->second, std::move(*report));
        }
    };
    peer.dialer =
        wire::LinkDialer::dial(loop_, address, links_, {.onUp = [](const wire::PeerInfo &) {}, .onMessage = take, .onDown = forget, .onPeerLost = forget});
}

void PeerWatch::take(Peer &peer, wire::LoadReport &&report)
{
    const bool isNews = !peer.report || peer.report->loaded != report.loaded || peer.report->leaving != report.leaving;
    peer.report = std::move(report);
    if (isNews) {
        onChange_();
    }
}

} // namespace magnolia::agent
