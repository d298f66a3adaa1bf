#include "endpointconnectionpool.h"

#include <algorithm>
#include <utility>

namespace magnolia::forward
{

namespace
{

constexpr Duration SweepInterval{500};

bool contains(std::span<const std::weak_ptr<http::Connection>> connections, const std::shared_ptr<http::Connection> &wanted)
{
    return std::any_of(connections.begin(), connections.end(), [&](const auto &connection) { return connection.lock() == wanted; });
}

} // namespace

EndpointConnectionPool::EndpointConnectionPool(event_base *loop) : sweepTimer_(loop, [this] { sweep(); })
{
    sweepTimer_.start(SweepInterval);
}

std::shared_ptr<http::Connection>
EndpointConnectionPool::take(std::string_view endpoint, Duration maxIdle, std::span<const std::weak_ptr<http::Connection>> excluded)
{
    const auto found = idle_.find(endpoint);
    if (found == idle_.end()) {
        return nullptr;
    }
    const BootTime now = BootClock::now();
    std::vector<Idle> &idle = found->second;
    for (std::size_t left = idle.size(); left > 0; --left) {
        const auto at = idle.begin() + static_cast<std::ptrdiff_t>(left - 1);
        if (contains(excluded, at->connection)) {
            continue;
        }
        const Idle last = std::move(*at);
        idle.erase(at);
        last.connection->setCallbacks({});
        if (last.connection->isQuiet() && now < last.until && now - last.since <= maxIdle) {
            return last.connection;
        }
        last.connection->close();
    }
    return nullptr;
}

void EndpointConnectionPool::put(const std::string &endpoint, std::shared_ptr<http::Connection> connection, Duration keepFor)
{
    const BootTime now = BootClock::now();
    http::Connection *kept = connection.get();
    kept->setCallbacks({.onData = [kept](std::string_view) { kept->close(); }});
    kept->setReading(true);
    idle_[endpoint].push_back({.connection = std::move(connection), .since = now, .until = now + keepFor});
}

void EndpointConnectionPool::closeAll(std::string_view endpoint)
{
    const auto found = idle_.find(endpoint);
    if (found == idle_.end()) {
        return;
    }
    for (const Idle &idle : found->second) {
        idle.connection->close();
    }
    idle_.erase(found);
}

void EndpointConnectionPool::sweep()
{
    const BootTime now = BootClock::now();
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::erase_if(entry->second, [now](const Idle &idle) {
            if (idle.connection->isOpen() && now < idle.until) {
                return false;
            }
            idle.connection->close();
            return true;
        });
        entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
    }
    sweepTimer_.start(SweepInterval);
}

} // namespace magnolia::forward
