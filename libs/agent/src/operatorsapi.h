#ifndef MAGNOLIA_AGENT_OPERATORSAPI_H
#define MAGNOLIA_AGENT_OPERATORSAPI_H

#include "base/failure.h"
#include "http/httpserver.h"
#include "observe/metrics.h"
#include "observe/secret.h"

#include <functional>
#include <memory>
#include <string>

namespace magnolia::agent
{

/** Answers operators: /healthz, /readyz, /metrics, /status and /drain; see docs/INTERFACES.md. Lives with its AgentTask. */
class OperatorsApi
{
public:
    struct Ports {
        std::function<std::string()> notReadyReason{}; ///< Empty: it takes new work.
        std::function<std::string()> status{}; ///< JSON.
        std::function<void()> beforeMetrics{}; ///< Brings the gauges up to date.
        std::function<void()> drain{};
    };

    static Result<std::unique_ptr<OperatorsApi>>
    listen(event_base *loop, const http::HttpServer::Options &options, observe::Secret key, observe::Metrics &metrics, Ports ports);

    std::string address() const;

private:
    OperatorsApi(observe::Secret key, observe::Metrics &metrics, Ports ports);
    void handle(http::Exchange &exchange);
    void drain(http::Exchange &exchange);

    observe::Secret key_;
    observe::Metrics &metrics_;
    Ports ports_;
    std::unique_ptr<http::HttpServer> server_;
};

} // namespace magnolia::agent

#endif
