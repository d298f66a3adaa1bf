#ifndef MAGNOLIA_FORWARD_ENDPOINTCONNECTIONPOOL_H
#define MAGNOLIA_FORWARD_ENDPOINTCONNECTIONPOOL_H

#include "base/clock.h"
#include "http/connection.h"
#include "http/timer.h"
#include "routing/routetable.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::forward
{

/**
 * Pool of idle connections to endpoints.
 *
 * An idle connection that receives bytes is closed, since they belong to no request; also if they have not been read yet when it is taken. Owned by the task,
 * used on its loop.
 */
class EndpointConnectionPool
{
public:
    explicit EndpointConnectionPool(event_base *loop);
    EndpointConnectionPool(const EndpointConnectionPool &) = delete;
    EndpointConnectionPool &operator=(const EndpointConnectionPool &) = delete;

    /**
     * @param maxIdle connections that have been idle for longer are closed instead.
     * @param excluded connections that must not be taken; they stay in the pool.
     * @return null if none is available.
     */
    std::shared_ptr<http::Connection> take(std::string_view endpoint, Duration maxIdle, std::span<const std::weak_ptr<http::Connection>> excluded = {});

    /** @param keepFor how long the endpoint keeps an idle connection open, as it stated. */
    void put(const std::string &endpoint, std::shared_ptr<http::Connection> connection, Duration keepFor);

    /** Closes all idle connections to the endpoint, e.g. after it became unresponsive. */
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
