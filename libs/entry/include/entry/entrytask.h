#ifndef MAGNOLIA_ENTRY_ENTRYTASK_H
#define MAGNOLIA_ENTRY_ENTRYTASK_H

#include "base/failure.h"
#include "entry/platformports.h"
#include "http/httpserver.h"
#include "observe/metrics.h"
#include "observe/secret.h"
#include "observe/trace.h"
#include "policy/endpointsubset.h"
#include "wire/link.h"

#include <functional>
#include <memory>
#include <string>

struct event_base;

namespace magnolia::entry
{

/** What an entry is told by its settings. */
struct EntryOptions {
    std::string instance;
    std::string dataCentre;
    http::HttpServer::Options callers;
    Duration defaultTimeout{60000}; ///< Of model requests that state none.
    http::HttpServer::Options operators;
    observe::Secret operatorsKey; ///< Bearer key of POST /drain.
    wire::LinkOptions links;
    Duration pollInterval{10000}; ///< Mean time between reads of the instance list; that between reads of the head row at most.
    Duration stopLag{3000}; ///< New work is still taken for so long after "not ready".
    Duration stopWarnAfter{60000}; ///< Work in progress so long after the stop is named in the log.
    policy::EndpointSubset::Options subset;
    std::size_t maxWholeBytes = 16U << 20U; ///< Of an answer that is gathered before it is given out.
    std::size_t maxPendingBytes = 4U << 20U; ///< Of a stream that its caller doesn't take.
};

/**
 * The entry daemon: takes callers' requests, dispatches them over links to agents, and hands their answers back.
 *
 * Owns its sockets and all requests in progress, and keeps nothing that must last. Lives on one event loop; construction,
 * calls and callbacks are on that loop's thread. Destroying it cuts off what is in progress; drain() does not.
 *
 * @code
 * auto task = EntryTask::start(loop, options, portsOf(table, objects, instances), metrics, tracer, [loop] {
 *     event_base_loopbreak(loop);
 * });
 * event_base_dispatch(loop);
 * @endcode
 */
class EntryTask
{
public:
    /** @param onStopped called once, after drain(), when no work is in progress any more. */
    static Result<std::unique_ptr<EntryTask>>
    start(event_base *loop, EntryOptions options, PlatformPorts ports, observe::Metrics &metrics, observe::Tracer &tracer, std::function<void()> onStopped);

    virtual ~EntryTask() = default;

    /** Planned stop, as on SIGTERM: not ready at once, no new work after the lag, work in progress ends. */
    virtual void drain() = 0;

    virtual std::string callersAddress() const = 0; ///< The bound "IP:PORT".
    virtual std::string operatorsAddress() const = 0;
};

} // namespace magnolia::entry

#endif
