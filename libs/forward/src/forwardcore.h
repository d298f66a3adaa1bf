#ifndef MAGNOLIA_FORWARD_FORWARDCORE_H
#define MAGNOLIA_FORWARD_FORWARDCORE_H

#include "base/random.h"
#include "crashwatch.h"
#include "endpointconnections.h"
#include "forward/forwardtask.h"
#include "forwardmetrics.h"
#include "http/timer.h"
#include "placequeue.h"
#include "requestlog.h"
#include "silencewatch.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace magnolia::forward
{

// A process that has just started knows its routes and endpoints within a few tens of milliseconds if the store answers.
// Callers whose connections were cut by its end come back at that very moment, and would use up their retry on a refusal.
constexpr Duration StartTime{3000};

/** What all requests of an entry share; owned by its task. */
struct ForwardCore {
    ForwardCore(event_base *eventLoop, ForwardOptions forwardOptions, observe::Metrics &metricsRegistry)
        : loop(eventLoop)
        , options(std::move(forwardOptions))
        , endpoints({.dataCentre = options.dataCentre})
        , proof(options.proof)
        , connections(eventLoop)
        , random(seededRandom())
        , metrics(metricsRegistry)
        , crashes(eventLoop, connections, options.quarantine, metrics, [this] { tellNewsSoon(); })
        , silence(eventLoop, endpoints, metrics, options.protocol.livenessPath)
        , newsTimer(eventLoop, [this] { tellNews(); })
    {
    }

    /** Whether a request may be taken: always, but while stopping only early, or if it ends before the process does. */
    bool takesRequest(BootTime now, BootTime deadline) const
    {
        return !isStopping || now < takesUntil || deadline <= endsAt;
    }

    /** The process has just started, and may learn what it lacks any moment. */
    bool isStarting(BootTime now) const
    {
        return now < startedAt + StartTime;
    }

    /** Calls all who wait for news of routes or endpoints; each may begin to wait again. */
    void tellNews()
    {
        for (const auto &waiter : std::exchange(waiters, {})) {
            waiter();
        }
    }

    /** An endpoint of the service began a good answer: whoever waits for its group may try again. */
    void served(std::string_view service)
    {
        const auto found = servedAt.find(service);
        if (found == servedAt.end()) {
            servedAt.emplace(service, BootClock::now());
        } else {
            found->second = BootClock::now();
        }
        if (!waiters.empty()) {
            tellNewsSoon();
        }
    }

    /** The same on the loop's next turn, from within a call of one of them. */
    void tellNewsSoon()
    {
        newsTimer.start(Duration(0));
    }

    routing::RetryAllowance &allowanceOf(std::string_view service)
    {
        const auto found = allowances.find(service);
        if (found != allowances.end()) {
            return found->second;
        }
        return allowances.emplace(service, routing::RetryAllowance(options.retries)).first->second;
    }

    PlaceQueue &placesOf(std::string_view service)
    {
        const auto found = places.find(service);
        if (found != places.end()) {
            return *found->second;
        }
        auto hasOpening = [this, name = std::string(service)] { return endpoints.hasOpening(name, BootClock::now(), random); };
        return *places.emplace(service, std::make_unique<PlaceQueue>(loop, std::move(hasOpening))).first->second;
    }

    void setInstanceCount(std::size_t instances)
    {
        options.retries.instances = instances;
        endpoints.setInstances(instances);
        for (auto &[service, allowance] : allowances) {
            allowance.setInstances(instances);
        }
    }

    event_base *loop;
    ForwardOptions options;
    routing::RouteTable::Pointer routes; ///< Null until the first version has come.
    routing::EndpointTable endpoints;
    routing::RoutingProof proof;
    routing::TextMap<routing::RetryAllowance> allowances; ///< By service.
    routing::TextMap<std::unique_ptr<PlaceQueue>> places; ///< By service.
    routing::TextMap<BootTime> servedAt; ///< By service: when an endpoint last began a good answer.
    EndpointConnections connections;
    Random random;
    ForwardMetrics metrics;
    CrashWatch crashes;
    SilenceWatch silence;
    RequestLog log;
    bool isStopping = false;
    BootTime takesUntil; ///< While stopping: any request is taken before that.
    BootTime endsAt; ///< While stopping: the process ends then at the latest.
    BootTime startedAt = BootClock::now();
    std::vector<std::function<void()>> waiters; ///< For the next news.
    http::Timer newsTimer;
};

} // namespace magnolia::forward

#endif
