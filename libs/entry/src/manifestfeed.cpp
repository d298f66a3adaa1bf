#include "manifestfeed.h"

#include "manifest/chunks.h"
#include "observe/log.h"

#include <utility>

namespace magnolia::entry
{

namespace
{

template<typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template<typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

ManifestFeed::ManifestFeed(event_base *loop, manifest::ManifestFollower::Options options, Random random, PlatformPorts ports, Callbacks callbacks)
    : follower_(options, random)
    , ports_(std::move(ports))
    , callbacks_(std::move(callbacks))
    , timer_(loop,
             [this] {
                 follower_.onTime(MonoClock::now());
                 carryOut();
             })
    , alive_(std::make_shared<bool>(true))
{
}

ManifestFeed::~ManifestFeed()
{
    *alive_ = false;
}

void ManifestFeed::start()
{
    follower_.start(MonoClock::now());
    carryOut();
}

void ManifestFeed::peerUp(const manifest::PeerName &peer)
{
    follower_.onPeerUp(MonoClock::now(), peer);
    carryOut();
}

void ManifestFeed::peerDown(const manifest::PeerName &peer)
{
    follower_.onPeerDown(MonoClock::now(), peer);
    carryOut();
}

void ManifestFeed::take(const manifest::PeerName &peer, const wire::ManifestHead &head)
{
    follower_.onPeerHead(MonoClock::now(), peer, head);
    carryOut();
}

void ManifestFeed::take(const manifest::PeerName &peer, const wire::ChunkRequest &request)
{
    follower_.onChunkRequest(MonoClock::now(), peer, request);
    carryOut();
}

void ManifestFeed::take(const manifest::PeerName &peer, const wire::ChunkData &chunk)
{
    follower_.onChunkData(MonoClock::now(), peer, chunk);
    carryOut();
}

manifest::FollowerStatus ManifestFeed::status() const
{
    return follower_.status(MonoClock::now());
}

void ManifestFeed::carryOut()
{
    for (manifest::FollowerAction &action : follower_.takeActions()) {
        std::visit(Overloaded{
                       [this](const manifest::ReadHeadRow &) { readHeadRow(); },
                       [this](const manifest::ReadObject &read) { readObject(read.hash); },
                       [this](const manifest::SendToPeer &send) { callbacks_.sendToPeer(send.peer, send.message); },
                       [this](manifest::PutInForce &version) { callbacks_.inForce(std::move(version.index)); },
                       [](const manifest::Warn &warning) { observe::logger("manifest")->warn("{}", warning.text); },
                   },
                   action);
    }
    timer_.start(std::chrono::ceil<Duration>(follower_.nextTime() - MonoClock::now()));
}

void ManifestFeed::readHeadRow()
{
    ports_.readHeadRow([this, alive = alive_](const Result<std::optional<platform::Row>> &row) {
        if (!*alive) {
            return;
        }
        const auto value = row.map([](const std::optional<platform::Row> &found) { return found ? std::optional(found->value) : std::nullopt; });
        follower_.onHeadRow(MonoClock::now(), value);
        carryOut();
    });
}

void ManifestFeed::readObject(const manifest::Digest &hash)
{
    ports_.readObject(manifest::objectName(hash), [this, alive = alive_, hash](const Result<std::optional<std::string>> &data) {
        if (!*alive) {
            return;
        }
        follower_.onObject(MonoClock::now(), hash, data);
        carryOut();
    });
}

} // namespace magnolia::entry
