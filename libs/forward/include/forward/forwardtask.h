#ifndef MAGNOLIA_FORWARD_FORWARDTASK_H
#define MAGNOLIA_FORWARD_FORWARDTASK_H

#include "base/clock.h"
#include "base/failure.h"
#include "forward/crashreportpublisher.h"
#include "forward/protocol.h"
#include "observe/metrics.h"
#include "observe/trace.h"
#include "routing/endpointtable.h"
#include "routing/evacuations.h"
#include "routing/freshnessproof.h"
#include "routing/quarantine.h"
#include "routing/retryallowance.h"
#include "routing/routetable.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct event_base;

namespace magnolia::forward
{

struct ForwardOptions {
    std::string instance{}; ///< Name of this process in logs.
    std::string dataCentre{};
    std::string callersAddress{}; ///< "IP:PORT"; port 0 picks a free one.
    std::string readyAddress{}; ///< "IP:PORT" of the readiness endpoint for the load balancer.
    Protocol protocol{};
    routing::FreshnessProof::Options proof{};
    routing::RetryAllowance::Options retries{};
    routing::Quarantine::Options quarantine{};
    std::optional<routing::ColdBound> coldBound{}; ///< For requests to cold endpoints; nothing: no endpoint is ever cold.
    std::size_t memoryLimit = 256U << 20U; ///< Of the process, in bytes; a part of it bounds the answers that are held until they are complete.
    Duration gracePeriod{8000}; ///< Time between the order to stop and the kill of the process.
    observe::Tracer *tracer = nullptr; ///< Outlives the task; null: no spans.
};

/** The instances of a deployment, each by a unique name or address. */
struct Instances {
    std::string own{};
    std::vector<std::string> others{};
    bool isComplete = true; ///< False: others that have started at the same time may be missing.
    bool isFirstProcess = false; ///< No process ran on this instance before.
};

/**
 * Reverse proxy between callers and endpoints, which forwards request bodies without parsing them.
 *
 * Its owner provides routes and endpoints. It accepts callers from the start, and rejects their requests as not run while
 * the routes or endpoints are not known. Lives on one event loop, all calls on its thread.
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

    /** Applies a version of the routes, unless it or a newer one is already in force. */
    virtual void putRoutes(routing::RouteTable::Pointer table) = 0;

    /** The routes in force were the newest as of the given time. */
    virtual void confirmRoutes(BootTime asOf) = 0;

    /** Sets how many instances share the retry budget and the endpoints' rate limits, this one included. */
    virtual void setInstanceCount(std::size_t instances) = 0;

    /**
     * Sets which instances share the retry budget, the endpoints' rate limits and the rate of each cold endpoint. Before a complete list is known, this one
     * uses no part of the retry budget's constant and sends nothing to cold endpoints.
     */
    virtual void setInstances(Instances instances) = 0;

    virtual void putEndpoint(const routing::EndpointRecord &record) = 0;
    virtual void removeEndpoint(std::string_view id) = 0;

    /**
     * Asks an endpoint, which need not be in use, whether it is healthy.
     *
     * @param done called once, never from within this call, with false if it didn't answer in time or its service has no health check.
     */
    virtual void askHealth(const routing::EndpointRecord &endpoint, std::function<void(bool isHealthy)> done) = 0;

    /** Replaces the evacuations in force. Requests in progress in an evacuated data centre are not cut off. */
    virtual void putEvacuations(const routing::Evacuations &evacuations) = 0;
    /** The first full list of endpoints was put: those that are put from now on have started during operation. */
    virtual void onFirstListComplete() = 0;

    /** @param sharing receives this entry's own crash reports. Reports of other entries arrive by the two calls below. */
    virtual void setCrashReportPublisher(CrashReportPublisher sharing) = 0;
    virtual void putCrashReport(const routing::CrashReport &report) = 0;
    virtual void withdrawCrashReport(std::string_view fingerprint, std::uint32_t ordinal) = 0;

    /**
     * Stops gracefully: reports not ready at once, accepts new requests for the time that the load balancer needs to notice,
     * and lets requests in progress finish within the grace period.
     */
    virtual void drain() = 0;

    virtual std::string callersAddress() const = 0;
    virtual std::string readyAddress() const = 0;
};

} // namespace magnolia::forward

#endif
