#ifndef MAGNOLIA_FORWARD_FORWARDTASK_H
#define MAGNOLIA_FORWARD_FORWARDTASK_H

#include "base/clock.h"
#include "base/failure.h"
#include "forward/crashreportpublisher.h"
#include "forward/protocol.h"
#include "observe/metrics.h"
#include "observe/trace.h"
#include "routing/endpointtable.h"
#include "routing/quarantine.h"
#include "routing/retryallowance.h"
#include "routing/routetable.h"
#include "routing/routingproof.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct event_base;

namespace magnolia::forward
{

struct ForwardOptions {
    std::string instance{}; ///< Name of this process in logs.
    std::string dataCentre{};
    std::string callersAddress{}; ///< "IP:PORT"; port 0 picks a free one.
    std::string readyAddress{}; ///< "IP:PORT" for the balancer's question.
    Protocol protocol{};
    routing::RoutingProof::Options proof{};
    routing::RetryAllowance::Options retries{};
    routing::Quarantine::Options quarantine{};
    Duration gracePeriod{8000}; ///< From the order to stop until the process is killed.
    observe::Tracer *tracer = nullptr; ///< Outlives the task; null: no spans.
};

/**
 * The entry's path for requests that are passed on unread: callers in front, endpoints behind.
 *
 * Whoever follows the platform tells it of routes and endpoints; it accepts callers at once, and refuses them truthfully
 * while it knows too little. Lives on one event loop, all calls on its thread.
 *
 * @code
 * auto task = ForwardTask::start(loop, options, metrics, [loop] { event_base_loopbreak(loop); });
 * (*task)->putRoutes(table);
 * (*task)->confirmRoutes(askedAt);
 * @endcode
 */
class ForwardTask
{
public:
    virtual ~ForwardTask() = default;

    /** @param onStopped called once after drain(), when the process may end. */
    static Result<std::unique_ptr<ForwardTask>> start(event_base *loop, ForwardOptions options, observe::Metrics &metrics, std::function<void()> onStopped);

    /** Puts a version of the routes in force, unless a newer one is. */
    virtual void putRoutes(routing::RouteTable::Pointer table) = 0;

    /** The routes in force were the newest at that time. */
    virtual void confirmRoutes(BootTime asOf) = 0;

    /** How many instances share the retry budget, this one included. */
    virtual void setInstanceCount(std::size_t instances) = 0;

    virtual void putEndpoint(const routing::EndpointRecord &record) = 0;
    virtual void removeEndpoint(std::string_view id) = 0;

    /** @param sharing told of what this entry sees; others' words come by the two calls below. */
    virtual void setCrashReportPublisher(CrashReportPublisher sharing) = 0;
    virtual void putCrashReport(const routing::CrashReport &report) = 0;
    virtual void withdrawCrashReport(std::string_view fingerprint, std::uint32_t ordinal) = 0;

    /** Stops as planned: not ready at once, new work as long as the balancer sends it, what is in progress to its end. */
    virtual void drain() = 0;

    virtual std::string callersAddress() const = 0;
    virtual std::string readyAddress() const = 0;
};

} // namespace magnolia::forward

#endif
