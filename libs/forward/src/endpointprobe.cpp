#include "endpointprobe.h"

#include "observe/log.h"

#include <utility>

namespace magnolia::forward
{

namespace
{

// A lost SYN is retransmitted after a second; a successor at the same address takes about as long to start.
constexpr Duration ProbeTimeout{1500};

// Endpoints keep idle connections for some seconds, so this is on the safe side.
constexpr Duration IdleTime{2000};

} // namespace

std::string_view toString(ProbeResult result)
{
    switch (result) {
    case ProbeResult::Down:
        return "ended";
    case ProbeResult::Up:
        return "lives";
    case ProbeResult::Unknown:
        return "unknown";
    }
    return "unknown";
}

EndpointProbe::EndpointProbe(event_base *loop, EndpointConnectionPool &connections) : loop_(loop), connections_(connections) {}

void EndpointProbe::probe(const routing::EndpointPointer &endpoint, std::function<void(ProbeResult)> onDone)
{
    const std::string &id = endpoint->record.id;
    if (const auto found = pending_.find(id); found != pending_.end()) {
        found->second->callbacks.push_back(std::move(onDone));
        return;
    }
    auto pending = std::make_unique<PendingProbe>(loop_, [this, id] { onTimeout(std::string(id)); });
    pending->endpoint = endpoint;
    pending->callbacks.push_back(std::move(onDone));
    dial(id, *pending);
    pending_.emplace(id, std::move(pending));
}

void EndpointProbe::dial(const std::string &id, PendingProbe &pending)
{
    const auto address = http::SocketAddress::parse(pending.endpoint->record.address);
    bool isRefused = false;
    pending.connection = address ? http::Connection::dial(loop_, *address, &isRefused) : nullptr;
    if (pending.connection == nullptr || pending.connection->isConnected()) {
        const ProbeResult otherwise = isRefused ? ProbeResult::Down : ProbeResult::Unknown;
        pending.result = pending.connection != nullptr ? ProbeResult::Up : otherwise;
        pending.timer.start(Duration(0));
        return;
    }
    pending.timer.start(ProbeTimeout);
    // The id is copied, since finish() destroys the callback that is running.
    pending.connection->setCallbacks({
        .onConnected = [this, id] { finish(std::string(id), ProbeResult::Up); },
        .onEnd = [this, id](http::ConnectionEnd) { finish(std::string(id), ProbeResult::Down); },
    });
}

void EndpointProbe::onTimeout(const std::string &id)
{
    const auto found = pending_.find(id);
    if (found != pending_.end()) {
        finish(id, found->second->result);
    }
}

void EndpointProbe::finish(const std::string &id, ProbeResult result)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    const std::unique_ptr<PendingProbe> pending = std::move(found->second);
    pending_.erase(found);
    const std::shared_ptr<http::Connection> connection = pending->connection;
    if (result == ProbeResult::Up && pending->endpoint->acceptsRequests()) {
        connections_.put(id, connection, IdleTime);
    } else if (connection != nullptr) {
        connection->setCallbacks({});
        connection->close();
    }
    observe::logger("endpoints")
        ->info("Endpoint probed after a connection broke id={} address={} fate={}", id, pending->endpoint->record.address, toString(result));
    for (const auto &onDone : pending->callbacks) {
        onDone(result);
    }
}

} // namespace magnolia::forward
