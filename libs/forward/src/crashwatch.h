#ifndef MAGNOLIA_FORWARD_CRASHWATCH_H
#define MAGNOLIA_FORWARD_CRASHWATCH_H

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
class CrashWatch
{
public:
    struct Run {
        std::string fingerprint{}; ///< Of the request.
        std::uint32_t ordinal = 1; ///< nextOrdinal() when it was sent.
    };

    /** @param quarantined called when a request has been quarantined. */
    CrashWatch(event_base *loop,
               EndpointConnections &connections,
               const routing::Quarantine::Options &options,
               ForwardMetrics &metrics,
               std::function<void()> quarantined);
    CrashWatch(const CrashWatch &) = delete;
    CrashWatch &operator=(const CrashWatch &) = delete;

    void share(CrashReportPublisher sharing);

    std::uint32_t nextOrdinal(std::string_view fingerprint) const;

    /** The connection to an endpoint broke while it may have run a request. @param judged called once it is known whether it ended, never from within. */
    void connectionBroke(const routing::EndpointPointer &endpoint, Run run, std::function<void()> judged);

    /** An endpoint ran a request to its end. */
    void answered(const std::string &fingerprint);

    std::optional<Duration> quarantineLeft(std::string_view fingerprint) const;

    /** Another entry saw an endpoint end under a request. */
    void takeReport(const routing::CrashReport &report);

    /** Another entry cleared a request of a report. */
    void takeWithdrawal(std::string_view fingerprint, std::uint32_t ordinal);

private:
    void endpointEnded(const std::string &endpoint, const Run &run);
    void note(const routing::CrashReport &report, std::string_view source);

    routing::Quarantine quarantine_;
    EndpointProbe probe_;
    ForwardMetrics &metrics_;
    std::function<void()> quarantined_;
    CrashReportPublisher sharing_;
};

} // namespace magnolia::forward

#endif
