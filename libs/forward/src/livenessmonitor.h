#ifndef MAGNOLIA_FORWARD_LIVENESSMONITOR_H
#define MAGNOLIA_FORWARD_LIVENESSMONITOR_H

#include "forwardmetrics.h"
#include "http/httpclient.h"
#include "http/timer.h"
#include "routing/endpointtable.h"
#include "statementreader.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace magnolia::forward
{

/**
 * Detects unresponsive endpoints with requests in progress, so that the requests can move before their callers leave.
 *
 * An endpoint that sends nothing for any of its requests is suspected, sooner if other endpoints of its service do send. It
 * then gets a liveness check on a separate connection. If it does not answer in time, it is marked unresponsive, receives no
 * new requests, and is checked again until it answers. A check is a request as well, so none is sent to an endpoint that rests. Owned by the task, used on its
 * loop.
 *
 * @code
 * monitor.addRequest(endpoint, this, [this] { moveToOtherEndpoint(); });
 * monitor.removeRequest(endpoint->record.id, this);
 * @endcode
 */
class LivenessMonitor
{
public:
    /** What it refers to outlives it. */
    struct Options {
        event_base *loop = nullptr;
        const routing::EndpointTable &endpoints;
        StatementReader &statements;
        ForwardMetrics &metrics;
        std::string path{}; ///< Path that endpoints answer at once under any load; any answer counts. Empty: the monitor is disabled.
    };

    explicit LivenessMonitor(Options options);
    LivenessMonitor(const LivenessMonitor &) = delete;
    LivenessMonitor &operator=(const LivenessMonitor &) = delete;

    bool isEnabled() const
    {
        return !options_.path.empty();
    }

    /**
     * Monitors the endpoint while the request is in progress there.
     *
     * @param request identifies the request in removeRequest().
     * @param onUnresponsive called after each check that the endpoint did not answer, never from within this call.
     */
    void addRequest(const routing::EndpointPointer &endpoint, const void *request, std::function<void()> onUnresponsive);
    void removeRequest(std::string_view endpoint, const void *request);

private:
    struct MonitoredEndpoint {
        routing::EndpointPointer endpoint;
        std::unordered_map<const void *, std::function<void()>> callbacks; ///< By request in progress at the endpoint.
        std::unique_ptr<http::HttpClient> client; ///< Null until the first check.
        BootTime checkedAt;
    };

    void checkAll();
    void detectOwnDelay(BootTime now);
    bool clearMarks(const MonitoredEndpoint &monitored);
    bool isIdle(const MonitoredEndpoint &monitored) const;
    bool mayAskCold(const routing::Endpoint &endpoint, BootTime now) const;
    bool isCheckDue(const MonitoredEndpoint &monitored, BootTime now) const;
    void startCheck(MonitoredEndpoint &monitored, BootTime now);
    void onCheckEnd(const std::string &id, const Result<http::Response> &answer);
    void markUnresponsive(MonitoredEndpoint &monitored, BootTime now);
    void markResponsive(MonitoredEndpoint &monitored, BootTime now);

    Options options_;
    routing::TextMap<MonitoredEndpoint> monitored_; ///< By endpoint id.
    BootTime lastTimerAt_;
    BootTime lastDelayAt_; ///< When this process was last found to be delayed.
    http::Timer timer_;
};

} // namespace magnolia::forward

#endif
