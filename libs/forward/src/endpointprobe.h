#ifndef MAGNOLIA_FORWARD_ENDPOINTPROBE_H
#define MAGNOLIA_FORWARD_ENDPOINTPROBE_H

#include "endpointconnections.h"
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
enum class EndpointFate : std::uint8_t {
    Ended, ///< Nobody listens at its address any more.
    Lives, ///< It takes connections: only that one broke.
    Unknown, ///< No word either way.
};

/** @return "ended", "lives" or "unknown". */
std::string_view toString(EndpointFate fate);

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
    EndpointProbe(event_base *loop, EndpointConnections &connections);
    EndpointProbe(const EndpointProbe &) = delete;
    EndpointProbe &operator=(const EndpointProbe &) = delete;

    /** @param done called once, never from within; not any more once this is destroyed. */
    void ask(const routing::EndpointPointer &endpoint, std::function<void(EndpointFate)> done);

private:
    struct Question {
        Question(event_base *loop, std::function<void()> timeout) : timer(loop, std::move(timeout)) {}

        routing::EndpointPointer endpoint;
        std::shared_ptr<http::Connection> connection;
        http::Timer timer;
        EndpointFate fate = EndpointFate::Unknown; ///< Told when the timer fires.
        std::vector<std::function<void(EndpointFate)>> waiting;
    };

    void dial(const std::string &id, Question &question);
    void timedOut(const std::string &id);
    void settle(const std::string &id, EndpointFate fate);

    event_base *loop_;
    EndpointConnections &connections_;
    routing::TextMap<std::unique_ptr<Question>> questions_; ///< By the endpoint's id.
};

} // namespace magnolia::forward

#endif
