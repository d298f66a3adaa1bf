#include "manifestdriver.h"

#include "manifest/chunks.h"
#include "manifest/headrow.h"
#include "observe/log.h"

#include <utility>

namespace magnolia::agent
{

ManifestDriver::ManifestDriver(event_base *loop, const manifest::ManifestFollower::Options &options, const PlatformPorts &platform, Ports ports)
    : follower_(options, seededRandom())
    , platform_(platform)
    , ports_(std::move(ports))
    , timer_(loop,
             [this] {
                 follower_.onTime(MonoClock::now());
                 carryOut();
             })
    , self_(std::make_shared<ManifestDriver *>(this))
{
}

void ManifestDriver::start()
{
    follower_.start(MonoClock::now());
    carryOut();
}

void ManifestDriver::peerUp(const manifest::PeerName &peer)
{
    follower_.onPeerUp(MonoClock::now(), peer);
    carryOut();
}

void ManifestDriver::peerDown(const manifest::PeerName &peer)
{
    follower_.onPeerDown(MonoClock::now(), peer);
    carryOut();
}

bool ManifestDriver::take(const manifest::PeerName &peer, const wire::Message &message)
{
    const MonoTime now = MonoClock::now();
    if (const auto *head = std::get_if<wire::ManifestHead>(&message)) {
        follower_.onPeerHead(now, peer, *head);
    } else if (const auto *request = std::get_if<wire::ChunkRequest>(&message)) {
        follower_.onChunkRequest(now, peer, *request);
    } else if (const auto *chunk = std::get_if<wire::ChunkData>(&message)) {
        follower_.onChunkData(now, peer, *chunk);
    } else {
        return false;
    }
    carryOut();
    return true;
}

manifest::FollowerStatus ManifestDriver::status() const
{
    return follower_.status(MonoClock::now());
}

void ManifestDriver::carryOut()
{
    for (manifest::FollowerAction &action : follower_.takeActions()) {
        carryOut(action);
    }
    timer_.start(std::chrono::ceil<Duration>(follower_.nextTime() - MonoClock::now()));
}

void ManifestDriver::carryOut(manifest::FollowerAction &action)
{
    if (std::holds_alternative<manifest::ReadHeadRow>(action)) {
        readHead();
    } else if (const auto *object = std::get_if<manifest::ReadObject>(&action)) {
        readObject(object->hash);
    } else if (const auto *send = std::get_if<manifest::SendToPeer>(&action)) {
        ports_.send(send->peer, send->message);
    } else if (auto *version = std::get_if<manifest::PutInForce>(&action)) {
        ports_.putInForce(std::move(version->index));
    } else if (const auto *warning = std::get_if<manifest::Warn>(&action)) {
        observe::logger("manifest")->warn("{}", warning->text);
    }
}

void ManifestDriver::readHead()
{
    platform_.read(std::string(manifest::HeadRowKey), [weak = std::weak_ptr(self_)](const Result<std::optional<store::Row>> &row) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!row) {
            (*self)->follower_.onHeadRow(MonoClock::now(), tl::unexpected(row.error()));
        } else {
            (*self)->follower_.onHeadRow(MonoClock::now(), row->has_value() ? std::optional((*row)->value) : std::nullopt);
        }
        (*self)->carryOut();
    });
}

void ManifestDriver::readObject(const manifest::Digest &hash)
{
    platform_.readObject(manifest::objectName(hash), [weak = std::weak_ptr(self_), hash](const Result<std::optional<std::string>> &data) {
        if (const auto self = weak.lock()) {
            (*self)->follower_.onObject(MonoClock::now(), hash, data);
            (*self)->carryOut();
        }
    });
}

} // namespace magnolia::agent
