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
 * Which requests endpoints ended under, as this entry saw it and as others told.
 *
 * Owned by the task, on its loop.
 *
 * @code
 * const std::uint32_t ordinal = crashes.nextOrdinal(fingerprint); // as it is sent
 * crashes.connectionBroke(endpoint, {.fingerprint = fingerprint, .ordinal = ordinal}, [] { sendElsewhere(); });
 * if (const auto left = crashes.quarantineLeft(fingerprint)) { refuse(*left); }
 * @endcode
 */
class CrashTracker
{
public:
    struct RequestAttempt {
        std::string fingerprint{}; ///< Of the request.
        std::uint32_t ordinal = 1; ///< nextOrdinal() when it was sent.
    };

    /** @param quarantined called when a request has been quarantined. */
    CrashTracker(event_base *loop,
                 EndpointConnectionPool &connections,
                 const routing::Quarantine::Options &options,
                 ForwardMetrics &metrics,
                 std::function<void()> onQuarantined);
    CrashTracker(const CrashTracker &) = delete;
    CrashTracker &operator=(const CrashTracker &) = delete;

    void setPublisher(CrashReportPublisher publisher);

    std::uint32_t nextOrdinal(std::string_view fingerprint) const;

    /** The connection to an endpoint broke while it may have run a request. @param judged called once it is known whether it ended, never from within. */
    void probeEndpoint(const routing::EndpointPointer &endpoint, RequestAttempt attempt, std::function<void()> onProbed);

    /** An endpoint ran a request to its end. */
    void recordAnswer(const std::string &fingerprint);

    std::optional<Duration> quarantineLeft(std::string_view fingerprint) const;

    /** Another entry saw an endpoint end under a request. */
    void addPeerReport(const routing::CrashReport &report);

    /** Another entry cleared a request of a report. */
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
