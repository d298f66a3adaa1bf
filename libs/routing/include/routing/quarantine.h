#ifndef MAGNOLIA_ROUTING_QUARANTINE_H
#define MAGNOLIA_ROUTING_QUARANTINE_H

#include "base/clock.h"
#include "routing/routetable.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

/** Report that an endpoint crashed while it ran a request. */
struct CrashReport {
    std::string fingerprint{}; ///< Of the request, see fingerprintOf().
    std::uint32_t ordinal = 1; ///< One more than the highest ordinal known for the request when it was dispatched.
    BootTime endedAt{};
};

/**
 * Quarantines requests that crash endpoints ("query of death").
 *
 * A crash affects every request that runs at the endpoint, so a single one proves little. The cause differs from the others in that it crashes one
 * endpoint after another and is never answered. Hence crashes of concurrent attempts count once (their reports have the same ordinal), and one
 * complete answer clears a request of all its reports. A request that was answered recently is not reported at all, so that a common request is not
 * suspected while endpoints crash for other reasons.
 *
 * A request with as many reports as the threshold is quarantined from its last crash on, and the time doubles with each further report. Instances share
 * reports and answers; each decides on what it knows. Lives as long as its entry's task. Not thread-safe.
 *
 * @code
 * const std::uint32_t ordinal = quarantine.nextOrdinal(fingerprint); // before the dispatch
 * if (quarantine.addReport({.fingerprint = fingerprint, .ordinal = ordinal, .endedAt = now}, now)) { shareReport(); }
 * if (const auto left = quarantine.timeLeft(fingerprint, now)) { reject(*left); }
 * @endcode
 */
class Quarantine
{
public:
    struct Options {
        std::size_t reportThreshold = 2; ///< Number of reports at which a request is quarantined.
        Duration initialQuarantineTime{600000}; ///< Duration of the first quarantine; reports of requests below the threshold expire after it.
        Duration maxQuarantineTime{86400000};
        Duration answerRetention{60000}; ///< A request that was answered within this time is not reported.
        std::size_t maxAnswered = 20000; ///< Requests remembered as answered, in each of two generations.
        std::size_t maxReported = 4000; ///< Requests with reports; the one with the oldest last crash is evicted.
    };

    explicit Quarantine(const Options &options);

    /** @return the ordinal for a report about the next attempt of the request. */
    std::uint32_t nextOrdinal(std::string_view fingerprint) const;

    /** @return false if nothing changed, because the report is known or too old, or the request was answered recently. */
    bool addReport(const CrashReport &report, BootTime now);

    /** Removes a report that a peer has withdrawn. */
    void withdraw(std::string_view fingerprint, std::uint32_t ordinal);

    /** The request was answered completely, which clears its reports. @return ordinals of the cleared reports. */
    std::vector<std::uint32_t> onAnswered(std::string_view fingerprint, BootTime now);

    bool wasAnsweredRecently(std::string_view fingerprint) const;

    /** @return the remaining quarantine of the request; nothing if it may be dispatched. */
    std::optional<Duration> timeLeft(std::string_view fingerprint, BootTime now) const;

    std::size_t size() const ///< @return the number of requests with reports.
    {
        return reported_.size();
    }

private:
    struct Reports {
        std::set<std::uint32_t> ordinals;
        BootTime lastEnd;
    };

    BootClock::duration quarantineTime(const Reports &reports) const;
    BootTime retainedUntil(const Reports &reports) const;
    void evictIfFull(BootTime now);

    Options options_;
    TextMap<Reports> reported_; ///< By fingerprint.
    TextMap<bool> answered_; ///< Fingerprints of the current generation; used as a set, the value is ignored.
    TextMap<bool> previousAnswered_; ///< Fingerprints of the preceding generation.
    BootTime generationStart_;
};

} // namespace magnolia::routing

#endif
