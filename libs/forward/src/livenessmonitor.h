#ifndef MAGNOLIA_FORWARD_LIVENESSMONITOR_H
#define MAGNOLIA_FORWARD_LIVENESSMONITOR_H

#include "forwardmetrics.h"
#include "http/httpclient.h"
#include "http/timer.h"
#include "routing/endpointtable.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace magnolia::forward
{

/**
 * Finds endpoints out of reach while requests wait there, so that all of them can move before their callers leave.
 *
 * An endpoint from which nothing comes for any of its requests is suspected, sooner if others of its service go on. It is then asked for a sign
 * of life on a connection of its own; what does not answer in time is marked silent, gets nothing new, and is asked again until it answers. Owned by the
 * task, on its loop.
 *
 * @code
 * watch.began(endpoint, this, [this] { moveElsewhere(); });
 * watch.ended(endpoint->record.id, this);
 * @endcode
 */
class LivenessMonitor
{
public:
    /** @param path that endpoints answer whatever they run; any answer counts; empty: nothing is checked. Table and metrics outlive this. */
    LivenessMonitor(event_base *loop, const routing::EndpointTable &endpoints, ForwardMetrics &metrics, std::string path);
    LivenessMonitor(const LivenessMonitor &) = delete;
    LivenessMonitor &operator=(const LivenessMonitor &) = delete;

    bool isEnabled() const
    {
        return !path_.empty();
    }

    /** @param silent called each time the endpoint was found silent, never from within, until ended() with the same owner. */
    void addRequest(const routing::EndpointPointer &endpoint, const void *request, std::function<void()> onUnresponsive);
    void removeRequest(std::string_view endpoint, const void *request);

private:
    struct Monitored {
        routing::EndpointPointer endpoint;
        std::unordered_map<const void *, std::function<void()>> callbacks; ///< Of the requests in progress there.
        std::unique_ptr<http::HttpClient> client; ///< Null until the first check.
        BootTime checkedAt;
    };

    void checkAll();
    void detectOwnDelay(BootTime now);
    bool clearMarks(const Monitored &monitored);
    bool isIdle(const Monitored &monitored) const;
    bool isCheckDue(const Monitored &monitored, BootTime now) const;
    void startCheck(Monitored &monitored, BootTime now);
    void onCheckEnd(const std::string &id, const Result<http::Response> &answer);
    void markUnresponsive(Monitored &monitored, BootTime now);
    void markResponsive(Monitored &monitored, BootTime now);

    event_base *loop_;
    const routing::EndpointTable &endpoints_;
    ForwardMetrics &metrics_;
    std::string path_;
    routing::TextMap<Monitored> monitored_; ///< By the endpoint's id.
    BootTime lastTimerAt_;
    BootTime lastDelayAt_; ///< When this process last found itself late.
    http::Timer timer_;
};

} // namespace magnolia::forward

#endif
