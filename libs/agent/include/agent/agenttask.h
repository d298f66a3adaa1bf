#ifndef MAGNOLIA_AGENT_AGENTTASK_H
#define MAGNOLIA_AGENT_AGENTTASK_H

#include "agent/platformports.h"
#include "agent/reportschedule.h"
#include "base/failure.h"
#include "engine/engineclient.h"
#include "http/httpserver.h"
#include "observe/metrics.h"
#include "observe/secret.h"
#include "observe/trace.h"
#include "wire/link.h"

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace magnolia::agent
{

/** What an agent is told by its settings. */
struct AgentOptions {
    std::string instance{};
    std::string dataCentre{};
    std::string endpoint{}; ///< The manifest's name of it.
    std::string linkAddress{}; ///< Where it listens for links, "IP:PORT".
    wire::LinkOptions links{};
    engine::EngineClient::Options engine{};
    http::HttpServer::Options operators{};
    observe::Secret operatorsKey{}; ///< Bearer key of POST /drain.
    Duration pollInterval{10000}; ///< Mean time between reads of the manifest's head row.
    Duration enginePollInterval{1000}; ///< Between looks at the engine's state.
    Duration stopLag{3000}; ///< How long a leaving agent goes on listening at least, so that late work is refused and not lost.
    Duration stopWarnAfter{60000}; ///< Work in progress so long after the stop is named in the log.
    ReportSchedule::Options reports{};
};

/**
 * The agent daemon: the only path to its endpoint.
 *
 * Binds its link address before anything else, so that a second agent of the endpoint stays out. Owns its sockets and all
 * attempts, and keeps nothing that must last. Lives on one event loop; construction, calls and callbacks are on that
 * loop's thread. Destroying it cuts off what is in progress; drain() does not.
 *
 * @code
 * auto task = AgentTask::start(loop, options, portsOf(table, objects, instances), metrics, tracer, [loop] {
 *     event_base_loopbreak(loop);
 * });
 * event_base_dispatch(loop);
 * @endcode
 */
class AgentTask
{
public:
    /** @param onStopped called once, after drain(), when no work is in progress any more. */
    static Result<std::unique_ptr<AgentTask>>
    start(event_base *loop, AgentOptions options, PlatformPorts platform, observe::Metrics &metrics, observe::Tracer &tracer, std::function<void()> onStopped);

    virtual ~AgentTask() = default;

    /** Planned stop, as on SIGTERM: says "leaving" on all links, takes nothing new, ends what runs. */
    virtual void drain() = 0;

    virtual std::string linkAddress() const = 0; ///< The bound "IP:PORT".
    virtual std::string operatorsAddress() const = 0;
    virtual wire::Incarnation incarnation() const = 0;
};

} // namespace magnolia::agent

#endif
