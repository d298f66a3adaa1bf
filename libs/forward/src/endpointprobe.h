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

/** What became of an endpoint to which a connection broke. */
enum class ProbeResult : std::uint8_t {
    Down, ///< Nobody listens at its address any more.
    Up, ///< It takes connections: only that one broke.
    Unknown, ///< No word either way.
};

/** @return "ended", "lives" or "unknown". */
std::string_view toString(ProbeResult result);

/**
 * Finds out by a new connection whether an endpoint ended when a connection to it broke.
 *
 * One question at a time is put to each endpoint; the connection is kept for the next request if the endpoint lives. Owned
 * by the task, on its loop.
 *
 * @code
 * probe.ask(endpoint, [](EndpointFate fate) { ... });
 * @endcode
 */
class EndpointProbe
{
public:
    /** @param connections outlive this. */
    EndpointProbe(event_base *loop, EndpointConnectionPool &connections);
    EndpointProbe(const EndpointProbe &) = delete;
    EndpointProbe &operator=(const EndpointProbe &) = delete;

    /** @param done called once, never from within; not any more once this is destroyed. */
    void probe(const routing::EndpointPointer &endpoint, std::function<void(ProbeResult)> onDone);

private:
    struct PendingProbe {
        PendingProbe(event_base *loop, std::function<void()> onTimer) : timer(loop, std::move(onTimer)) {}

        routing::EndpointPointer endpoint;
        std::shared_ptr<http::Connection> connection;
        http::Timer timer;
        ProbeResult result = ProbeResult::Unknown; ///< Told when the timer fires.
        std::vector<std::function<void(ProbeResult)>> callbacks;
    };

    void dial(const std::string &id, PendingProbe &pending);
    void onTimeout(const std::string &id);
    void finish(const std::string &id, ProbeResult result);

    event_base *loop_;
    EndpointConnectionPool &connections_;
    routing::TextMap<std::unique_ptr<PendingProbe>> pending_; ///< By the endpoint's id.
};

} // namespace magnolia::forward

#endif
