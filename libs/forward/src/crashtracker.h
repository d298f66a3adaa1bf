#ifndef MAGNOLIA_FORWARD_CRASHTRACKER_H
#define MAGNOLIA_FORWARD_CRASHTRACKER_H

#include "endpointprobe.h"
#include "forward/crashreportpublisher.h"
#include "forwardmetrics.h"
#include "routing/quarantine.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace magnolia::forward
{

/**
 * Tracks which requests crash endpoints, from own observations and reports of other entries, and quarantines them.
 *
 * Owned by the task, used on its loop.
 *
 * @code
 * const std::uint32_t ordinal = tracker.nextOrdinal(fingerprint); // at dispatch
 * tracker.probeEndpoint(endpoint, {.fingerprint = fingerprint, .ordinal = ordinal}, [] { dispatchElsewhere(); });
 * if (const auto left = tracker.quarantineLeft(fingerprint)) { reject(*left); }
 * @endcode
 */
class CrashTracker
{
public:
    struct RequestAttempt {
        std::string fingerprint{}; ///< Of the request.
        std::string promptParts{}; ///< Ids of the prompt's shared parts, for the log.
        std::uint32_t ordinal = 1; ///< nextOrdinal() when the attempt was dispatched.
    };

    /** @param onQuarantined called when a request was quarantined. */
    CrashTracker(event_base *loop,
                 EndpointConnectionPool &connections,
                 const routing::Quarantine::Options &options,
                 ForwardMetrics &metrics,
                 std::function<void()> onQuarantined);
    CrashTracker(const CrashTracker &) = delete;
    CrashTracker &operator=(const CrashTracker &) = delete;

    void setPublisher(CrashReportPublisher publisher);

    std::uint32_t nextOrdinal(std::string_view fingerprint) const;

    /**
     * Probes an endpoint after a connection to it broke while it may have been running a request, and reports a crash if
     * the endpoint is down.
     *
     * @param onProbed called once the result is known, never from within this call.
     */
    void probeEndpoint(const routing::EndpointPointer &endpoint, RequestAttempt attempt, std::function<void()> onProbed);

    /** An endpoint answered the request, so earlier crash reports about it are withdrawn. */
    void recordAnswer(const std::string &fingerprint);

    std::optional<Duration> quarantineLeft(std::string_view fingerprint) const;

    /** Adds another entry's report that an endpoint crashed while running a request. */
    void addPeerReport(const routing::CrashReport &report);

    /** Removes a crash report that another entry withdrew. */
    void withdrawPeerReport(std::string_view fingerprint, std::uint32_t ordinal);

private:
    void recordCrash(const std::string &endpoint, const RequestAttempt &attempt);
    void applyReport(const routing::CrashReport &report, std::string_view source);

    routing::Quarantine quarantine_;
    EndpointProbe probe_;
    ForwardMetrics &metrics_;
    std::function<void()> onQuarantined_;
    CrashReportPublisher publisher_;
};

} // namespace magnolia::forward

#endif
