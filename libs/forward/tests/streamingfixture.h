#ifndef MAGNOLIA_FORWARD_TESTS_STREAMINGFIXTURE_H
#define MAGNOLIA_FORWARD_TESTS_STREAMINGFIXTURE_H

#include "forwardfixture.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace magnolia::forward
{

// Callers close a stream after this time without an event.
constexpr Duration CallerPatience{2000};

constexpr Duration EventInterval{100}; ///< Between two events of each stream.

inline std::string streamRequest(std::string_view id)
{
    return "GET /long/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + std::string(id) + "\r\nX-Request-Timeout-Ms: 9000\r\n\r\n";
}

/** An entry with endpoints that send the events of all their streams in lockstep, and that a test can make unresponsive. */
struct StreamingFixture : ForwardFixture {
    struct StreamingEndpoint {
        RawPeer *peer = nullptr;
        bool isAtCapacity = false; ///< New streams do not start.
        bool isUnresponsive = false; ///< Sends nothing, whatever arrives.
        int streamRequests = 0; ///< Requests for streams that have arrived.
    };

    StreamingFixture() : ForwardFixture("/live")
    {
        putStreamRoute(1, 2);
    }

    void putStreamRoute(std::uint64_t version, std::uint32_t maxEndpoints)
    {
        routing::RoutingConfig config;
        config.version = version;
        config.routes = {route("long", routing::RouteKind::Stream, maxEndpoints)};
        config.routes.back().isResumable = true;
        config.routes.back().timeout = Duration(9000);
        config.routes.back().pauseObjective = Duration(200);
        config.services = {{.name = "s", .steps = {}}};
        task->putRoutes(std::make_shared<const routing::RouteTable>(std::move(config)));
        task->confirmRoutes(BootClock::now());
    }

    StreamingEndpoint &addStreamingEndpoint()
    {
        streamingEndpoints.push_back(std::make_unique<StreamingEndpoint>());
        StreamingEndpoint &endpoint = *streamingEndpoints.back();
        endpoint.peer = &addEndpoint([this, &endpoint](int) { return scriptedAnswer(endpoint); });
        return endpoint;
    }

    RawPeer::Answer scriptedAnswer(StreamingEndpoint &endpoint)
    {
        const std::string &request = endpoint.peer->lastRequest();
        const bool isStream = request.starts_with("GET /long/");
        endpoint.streamRequests += isStream ? 1 : 0;
        if (endpoint.isUnresponsive) {
            return {};
        }
        if (!isStream) {
            return {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
        }
        if (endpoint.isAtCapacity) {
            return {};
        }
        const std::size_t at = request.find("X-Request-Id: ") + 14;
        std::string bytes = streamHead(request.substr(at, request.find('\r', at) - at));
        for (int id = 1; id <= latestEvent; ++id) {
            bytes += eventChunk(id); // All streams are at the same event, so that one chunk continues each of them.
        }
        return {.bytes = bytes};
    }

    /** Sends the next event of each started stream, except at unresponsive endpoints. */
    void emitEvents()
    {
        const std::string chunk = eventChunk(++latestEvent);
        for (const auto &endpoint : streamingEndpoints) {
            if (!endpoint->isUnresponsive) {
                endpoint->peer->sendOnAnswered(chunk);
            }
        }
    }

    /** Runs the loop for this time, with an event of each stream every EventInterval. */
    void runStreams(Duration time)
    {
        for (Duration left = time; left.count() > 0; left -= EventInterval) {
            runFor(EventInterval);
            emitEvents();
        }
    }

    /** Adds two endpoints and starts a stream at each. */
    void startStreamsAtTwoEndpoints()
    {
        addStreamingEndpoint();
        addStreamingEndpoint();
        addCaller(streamRequest("r1"));
        runStreams(EventInterval);
        addCaller(streamRequest("r2"));
        runStreams(3 * EventInterval);
    }

    int streamRequestsAt(std::size_t endpoint) const
    {
        return streamingEndpoints.at(endpoint)->streamRequests;
    }

    int latestEvent = 1;
    std::vector<std::unique_ptr<StreamingEndpoint>> streamingEndpoints;
};

} // namespace magnolia::forward

#endif
