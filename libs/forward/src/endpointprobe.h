#ifndef MAGNOLIA_FORWARD_ENDPOINTPROBE_H
#define MAGNOLIA_FORWARD_ENDPOINTPROBE_H

#include "endpointconnectionpool.h"
#include "http/connection.h"
#include "http/timer.h"
#include "routing/endpointtable.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace magnolia::forward
{

/** State of an endpoint after a connection to it broke. */
enum class ProbeResult : std::uint8_t {
    Down, ///< The address refuses connections.
    Up, ///< The endpoint accepts connections; only the one connection broke.
    Unknown, ///< No result in time.
};

/** @return "ended", "lives" or "unknown". */
std::string_view toString(ProbeResult result);

/**
 * Finds out with a new connection whether an endpoint crashed when a connection to it broke.
 *
 * At most one probe per endpoint runs at a time. If the endpoint is up, the connection goes to the pool. Owned by the task,
 * used on its loop.
 *
 * @code
 * probe.probe(endpoint, [](ProbeResult result) { ... });
 * @endcode
 */
class EndpointProbe
{
public:
    /** @param connections outlives this. */
    EndpointProbe(event_base *loop, EndpointConnectionPool &connections);
    EndpointProbe(const EndpointProbe &) = delete;
    EndpointProbe &operator=(const EndpointProbe &) = delete;

    /**
     * Starts a probe, or joins the running one.
     *
     * @param onDone called once, never from within this call; not called if this is destroyed first.
     */
    void probe(const routing::EndpointPointer &endpoint, std::function<void(ProbeResult)> onDone);

private:
    struct PendingProbe {
        PendingProbe(event_base *loop, std::function<void()> onTimer) : timer(loop, std::move(onTimer)) {}

        routing::EndpointPointer endpoint;
        std::shared_ptr<http::Connection> connection;
        http::Timer timer;
        ProbeResult result = ProbeResult::Unknown; ///< Reported when the timer fires.
        std::vector<std::function<void(ProbeResult)>> callbacks;
    };

    void dial(const std::string &id, PendingProbe &pending);
    void onTimeout(const std::string &id);
    void finish(const std::string &id, ProbeResult result);

    event_base *loop_;
    EndpointConnectionPool &connections_;
    routing::TextMap<std::unique_ptr<PendingProbe>> pending_; ///< By endpoint id.
};

} // namespace magnolia::forward

#endif
