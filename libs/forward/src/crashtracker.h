#ifndef MAGNOLIA_FORWARD_CRASHTRACKER_H
#define MAGNOLIA_FORWARD_CRASHTRACKER_H

#include "endpointprobe.h"
#include "forward/crashreportpublisher.h"
#include "forwardmetrics.h"
#include "http/timer.h"
#include "routing/quarantine.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace magnolia::forward
{

/**
 * Tracks what crashes endpoints, from own observations and reports of other entries, and quarantines it.
 *
 * Owned by the task, used on its loop.
 *
 * @code
 * const auto suspects = tracker.suspectsOf(causes); // at dispatch
 * tracker.probeEndpoint(endpoint, {.suspects = suspects}, [](ProbeResult) { dispatchElsewhere(); });
 * if (tracker.admit({.causes = causes}, random).kind == routing::Quarantine::Admission::Kind::Rejected) { reject(); }
 * @endcode
 */
class CrashTracker
{
public:
    struct RequestAttempt {
        std::vector<routing::CrashSuspect> suspects{}; ///< What the attempt carried, as of its dispatch.
        std::string promptParts{}; ///< Ids of the prompt's shared parts, for the log.
        bool hadBegun = false; ///< The head of an answer was received.
    };

    /**
     * @param connections outlives this.
     * @param onQuarantined called when something is quarantined, by an own or a peer's report. Attempts in progress are notified as well.
     */
    CrashTracker(event_base *loop,
                 EndpointConnectionPool &connections,
                 const routing::Quarantine::Options &options,
                 ForwardMetrics &metrics,
                 std::function<void()> onQuarantined);

    void setPublisher(CrashReportPublisher publisher);

    std::vector<routing::CrashSuspect> suspectsOf(const routing::CrashCauses &causes) const;
    bool hasReports(const routing::CrashCauses &causes) const;

    /**
     * Probes an endpoint after a connection to it broke while it may have been running a request, and reports a crash if
     * the endpoint is down.
     *
     * @param onProbed called once the result is known, never from within this call.
     */
    void probeEndpoint(const routing::EndpointPointer &endpoint, RequestAttempt attempt, std::function<void(ProbeResult)> onProbed);

    /** An endpoint answered a request, so earlier crash reports about what it carried are withdrawn. */
    void recordAnswer(const routing::CrashCauses &causes);

    routing::Quarantine::Admission admit(const routing::Quarantine::AdmissionRequest &request, Random &random);

    /**
     * Registers an attempt in progress.
     *
     * @param request identifies the attempt in removeAttempt().
     * @param onQuarantined called after something has been quarantined, never from within another call.
     */
    void addAttempt(const void *request, std::function<void()> onQuarantined);
    void removeAttempt(const void *request);

    /** Adds another entry's report that an endpoint crashed while running a request. */
    void addPeerReport(const routing::CrashReport &report);

    /** Removes a crash report that another entry withdrew. */
    void withdrawPeerReport(std::string_view fingerprint, std::uint32_t ordinal);

private:
    void recordProbe(const std::string &endpoint, const RequestAttempt &attempt, ProbeResult result);
    void recordCrash(const std::string &endpoint, const RequestAttempt &attempt);
    void notifyAttempts();
    void applyReport(const routing::CrashReport &report, std::string_view source);

    routing::Quarantine quarantine_;
    EndpointProbe probe_;
    ForwardMetrics &metrics_;
    std::function<void()> onQuarantined_;
    CrashReportPublisher publisher_;
    std::unordered_map<const void *, std::function<void()>> attempts_; ///< Callbacks of the attempts in progress.
    http::Timer notifyTimer_;
};

} // namespace magnolia::forward

#endif
