#ifndef MAGNOLIA_FORWARD_FORWARDCONTEXT_H
#define MAGNOLIA_FORWARD_FORWARDCONTEXT_H

#include "base/random.h"
#include "crashtracker.h"
#include "endpointconnectionpool.h"
#include "forward/forwardtask.h"
#include "forwardmetrics.h"
#include "http/timer.h"
#include "livenessmonitor.h"
#include "requestlog.h"
#include "slotqueue.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace magnolia::forward
{

// A process that has just started knows its routes and endpoints within a few tens of milliseconds if the store answers.
// Callers whose connections were cut by its end come back at that very moment, and would use up their retry on a refusal.
constexpr Duration StartupPeriod{3000};

/** What all requests of an entry share; owned by its task. */
struct ForwardContext {
    ForwardContext(event_base *eventLoop, ForwardOptions forwardOptions, observe::Metrics &metricsRegistry)
        : loop(eventLoop)
        , options(std::move(forwardOptions))
        , endpoints({.dataCentre = options.dataCentre})
        , proof(options.proof)
        , connections(eventLoop)
        , random(seededRandom())
        , metrics(metricsRegistry)
        , crashTracker(eventLoop, connections, options.quarantine, metrics, [this] { scheduleNotification(); })
        , livenessMonitor(eventLoop, endpoints, metrics, options.protocol.livenessPath)
        , notifyTimer(eventLoop, [this] { notifyWaiters(); })
    {
    }

    /** Whether a request may be taken: always, but while stopping only early, or if it ends before the process does. */
    bool acceptsRequest(BootTime now, BootTime deadline) const
    {
        return !isStopping || now < acceptsUntil || deadline <= exitsAt;
    }

    /** The process has just started, and may learn what it lacks any moment. */
    bool isStarting(BootTime now) const
    {
        return now < startedAt + StartupPeriod;
    }

    /** Calls all who wait for news of routes or endpoints; each may begin to wait again. */
    void notifyWaiters()
    {
        for (const auto &waiter : std::exchange(waiters, {})) {
            waiter();
        }
    }

    /** An endpoint of the service began a good answer: whoever waits for its group may try again. */
    void recordGoodAnswer(std::string_view service)
    {
        const auto found = lastGoodAnswerAt.find(service);
        if (found == lastGoodAnswerAt.end()) {
            lastGoodAnswerAt.emplace(service, BootClock::now());
        } else {
            found->second = BootClock::now();
        }
        if (!waiters.empty()) {
            scheduleNotification();
        }
    }

    /** The same on the loop's next turn, from within a call of one of them. */
    void scheduleNotification()
    {
        notifyTimer.start(Duration(0));
    }

    routing::RetryAllowance &retryAllowanceOf(std::string_view service)
    {
        const auto found = retryAllowances.find(service);
        if (found != retryAllowances.end()) {
            return found->second;
        }
        return retryAllowances.emplace(service, routing::RetryAllowance(options.retries)).first->second;
    }

    SlotQueue &slotsOf(std::string_view service)
    {
        const auto found = slotQueues.find(service);
        if (found != slotQueues.end()) {
            return *found->second;
        }
        auto hasOpening = [this, name = std::string(service)] { return endpoints.hasOpening(name, BootClock::now(), random); };
        return *slotQueues.emplace(service, std::make_unique<SlotQueue>(loop, std::move(hasOpening))).first->second;
    }

    void setInstanceCount(std::size_t instances)
    {
        options.retries.instances = instances;
        endpoints.setInstances(instances);
        for (auto &[service, allowance] : retryAllowances) {
            allowance.setInstances(instances);
        }
    }

    event_base *loop;
    ForwardOptions options;
    routing::RouteTable::Pointer routes; ///< Null until the first version has come.
    routing::EndpointTable endpoints;
    routing::RoutingProof proof;
    routing::TextMap<routing::RetryAllowance> retryAllowances; ///< By service.
    routing::TextMap<std::unique_ptr<SlotQueue>> slotQueues; ///< By service.
    routing::TextMap<BootTime> lastGoodAnswerAt; ///< By service: when an endpoint last began a good answer.
    EndpointConnectionPool connections;
    Random random;
    ForwardMetrics metrics;
    CrashTracker crashTracker;
    LivenessMonitor livenessMonitor;
    RequestLog log;
    bool isStopping = false;
    BootTime acceptsUntil; ///< While stopping: any request is taken before that.
    BootTime exitsAt; ///< While stopping: the process ends then at the latest.
    BootTime startedAt = BootClock::now();
    std::vector<std::function<void()>> waiters; ///< For the next news.
    http::Timer notifyTimer;
};

} // namespace magnolia::forward

#endif
