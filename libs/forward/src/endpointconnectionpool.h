#ifndef MAGNOLIA_FORWARD_ENDPOINTCONNECTIONPOOL_H
#define MAGNOLIA_FORWARD_ENDPOINTCONNECTIONPOOL_H

#include "base/clock.h"
#include "http/connection.h"
#include "http/timer.h"
#include "routing/routetable.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::forward
{

/**
 * Idle connections to endpoints, kept for the next request.
 *
 * One that says anything while idle is closed: the bytes belong to no request. Owned by the task, on its loop.
 */
class EndpointConnectionPool
{
public:
    explicit EndpointConnectionPool(event_base *loop);
    EndpointConnectionPool(const EndpointConnectionPool &) = delete;
    EndpointConnectionPool &operator=(const EndpointConnectionPool &) = delete;

    /** @param longestIdle one that has been idle for longer is not taken. @return null if there is none. */
    std::shared_ptr<http::Connection> take(std::string_view endpoint, Duration maxIdle);

    /** @param keepFor how long the endpoint keeps it, by its own word. */
    void put(const std::string &endpoint, std::shared_ptr<http::Connection> connection, Duration keepFor);

    /** Closes all idle ones to that endpoint, e.g. after one was found silent. */
    void closeAll(std::string_view endpoint);

private:
    struct Idle {
        std::shared_ptr<http::Connection> connection;
        BootTime since;
        BootTime until;
    };

    void sweep();

    routing::TextMap<std::vector<Idle>> idle_;
    http::Timer sweepTimer_;
};

} // namespace magnolia::forward

#endif
