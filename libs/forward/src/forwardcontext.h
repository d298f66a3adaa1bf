#ifndef MAGNOLIA_FORWARD_FORWARDCONTEXT_H
#define MAGNOLIA_FORWARD_FORWARDCONTEXT_H

#include "answerbuffers.h"
#include "base/random.h"
#include "bodybudget.h"
#include "coldmonitor.h"
#include "crashtracker.h"
#include "endpointconnectionpool.h"
#include "forward/forwardtask.h"
#include "forwardmetrics.h"
#include "healthcheck.h"
#include "http/timer.h"
#include "livenessmonitor.h"
#include "requestlog.h"
#include "slotqueue.h"
#include "statementreader.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace magnolia::forward
{

// After its start a process learns the routes and endpoints within a few tens of milliseconds if the store answers.
// Callers whose connections were closed by the restart reconnect at that moment, and would waste their retry on a rejection.
constexpr Duration StartupPeriod{3000};

// A body that would wait longer than this for memory is refused at once. Longer waits take the time that its request needs to run.
constexpr Duration MaxBodyWait{1000};

/** State shared by all requests of an entry. Owned by its ForwardTask. */
struct ForwardContext {
    ForwardContext(event_base *eventLoop, ForwardOptions forwardOptions, observe::Metrics &metricsRegistry)
        : loop(eventLoop)
        , options(std::move(forwardOptions))
        , endpoints({.dataCentre = options.dataCentre, .coldBound = options.coldBound})
        , proof(options.proof)
        , metrics(metricsRegistry)
        , bodyBudget({.memoryLimit = options.memoryLimit, .maxWait = MaxBodyWait, .heldBytes = metrics.heldBodyBytes})
        , connections(eventLoop)
        , random(seededRandom())
        , answerBuffers({.memoryLimit = options.memoryLimit, .heldBytes = metrics.heldAnswerBytes})
        , unreadAnswers({.memoryLimit = options.memoryLimit, .heldBytes = metrics.unreadAnswerBytes})
        , coldMonitor({.loop = eventLoop, .endpoints = endpoints, .metrics = metrics})
        , statements({.protocol = options.protocol,
                      .endpoints = endpoints,
                      .connections = connections,
                      .coldMonitor = coldMonitor,
                      .log = log,
                      .metrics = metrics,
                      .random = random})
        , crashTracker(eventLoop, connections, options.quarantine, metrics, [this] { scheduleNotification(); })
        , livenessMonitor({.loop = eventLoop, .endpoints = endpoints, .statements = statements, .metrics = metrics, .path = options.protocol.livenessPath})
        , healthCheck({.loop = eventLoop, .protocol = options.protocol, .metrics = metrics})
        , notifyTimer(eventLoop, [this] { notifyWaiters(); })
    {
    }

    /** Whether a new request is accepted. While stopping: only during the first seconds, or if its deadline is before the end of the process. */
    bool acceptsRequest(BootTime now, BootTime deadline) const
    {
        return !isStopping || now < acceptsUntil || deadline <= exitsAt;
    }

    /** The process has just started, and may receive missing routes and endpoints at any moment. */
    bool isStarting(BootTime now) const
    {
        return now < startedAt + StartupPeriod;
    }

    /** Calls all waiters for a change of the routes or endpoints. A waiter may register itself again. */
    void notifyWaiters()
    {
        for (const auto &waiter : std::exchange(waiters, {})) {
            waiter();
        }
    }

    /** An endpoint of the service began a successful answer: requests that wait for its group may be dispatched again. */
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

    /** Calls notifyWaiters() on the loop's next turn; for use within a call of a waiter. */
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
        const std::string name(service);
        SlotQueue::Service capacity{.hasOpening = [this, name] { return endpoints.canAdmitStream(name, BootClock::now(), random); },
                                    .slots = [this, name] { return endpoints.slotsOf(name, BootClock::now()); },
                                    .instances = [this, name] { return endpoints.effectiveInstances(name, BootClock::now()); },
                                    .isEvacuated = [this, name] { return endpoints.isEvacuated(name); }};
        return *slotQueues.emplace(name, std::make_unique<SlotQueue>(loop, std::move(capacity))).first->second;
    }

    /** Lets each service's queue admit streams on the loop's next turn, since endpoints may have changed. */
    void scheduleAdmissions()
    {
        for (const auto &[service, queue] : slotQueues) {
            queue->scheduleAdmission();
        }
    }

    void setInstanceCount(std::size_t instances)
    {
        metrics.instances.set(static_cast<double>(instances));
        options.retries.instances = instances;
        endpoints.setInstances(instances);
        for (auto &[service, allowance] : retryAllowances) {
            allowance.setInstances(instances);
        }
    }

    void setFirstProcess()
    {
        options.retries.precededUntil.reset();
        for (auto &[service, allowance] : retryAllowances) {
            allowance.setFirstProcess();
        }
    }

    void setInstances(Instances instances)
    {
        const std::size_t count = instances.others.size() + 1;
        if (instances.isFirstProcess) {
            setFirstProcess();
        }
        if (!instances.isComplete) {
            endpoints.setInstances(count);
            return;
        }
        setInstanceCount(count);
        endpoints.coldEndpoints().setInstances(std::move(instances.own), std::move(instances.others));
    }

    event_base *loop;
    ForwardOptions options;
    routing::RouteTable::Pointer routes; ///< Null until the first version has arrived.
    routing::EndpointTable endpoints;
    routing::FreshnessProof proof;
    routing::TextMap<routing::RetryAllowance> retryAllowances; ///< By service.
    routing::TextMap<std::unique_ptr<SlotQueue>> slotQueues; ///< By service.
    routing::TextMap<BootTime> lastGoodAnswerAt; ///< By service: when an endpoint last began a successful answer.
    ForwardMetrics metrics;
    BodyBudget bodyBudget; ///< Outlives the connections, which may still hold bodies.
    EndpointConnectionPool connections;
    Random random;
    AnswerBuffers answerBuffers;
    AnswerBuffers unreadAnswers; ///< Queued for callers.
    RequestLog log;
    ColdMonitor coldMonitor;
    StatementReader statements;
    CrashTracker crashTracker;
    LivenessMonitor livenessMonitor;
    HealthCheck healthCheck;
    bool isStopping = false;
    BootTime acceptsUntil; ///< While stopping: every new request is accepted until then.
    BootTime exitsAt; ///< While stopping: the process exits then at the latest.
    BootTime startedAt = BootClock::now();
    std::vector<std::function<void()>> waiters; ///< Called at the next change of the routes or endpoints.
    http::Timer notifyTimer;
};

} // namespace magnolia::forward

#endif
