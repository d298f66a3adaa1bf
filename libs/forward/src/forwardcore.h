#ifndef MAGNOLIA_FORWARD_FORWARDCORE_H
#define MAGNOLIA_FORWARD_FORWARDCORE_H

#include "base/random.h"
#include "endpointconnections.h"
#include "forward/forwardtask.h"
#include "forwardmetrics.h"
#include "requestlog.h"

namespace magnolia::forward
{

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
    {
    }

    routing::RetryAllowance &allowanceOf(std::string_view service)
    {
        const auto found = allowances.find(service);
        if (found != allowances.end()) {
            return found->second;
        }
        return allowances.emplace(service, routing::RetryAllowance(options.retries)).first->second;
    }

    event_base *loop;
    ForwardOptions options;
    routing::RouteTable::Pointer routes; ///< Null until the first version has come.
    routing::EndpointTable endpoints;
    routing::RoutingProof proof;
    routing::TextMap<routing::RetryAllowance> allowances; ///< By service.
    EndpointConnections connections;
    Random random;
    ForwardMetrics metrics;
    RequestLog log;
    bool isStopping = false;
};

} // namespace magnolia::forward

#endif
