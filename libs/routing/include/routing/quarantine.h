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

/** Word that an endpoint ended while it ran a request. */
struct CrashReport {
    std::string fingerprint{}; ///< Of the request, see fingerprintOf().
    std::uint32_t ordinal = 1; ///< One more than the reports of it that were known when it was sent.
    BootTime endedAt{};
};

/**
 * Keeps requests away from endpoints that would end under them, a "query of death".
 *
 * Whatever runs at an endpoint sees it end, so one end says little. What tells the cause from those that ran beside it: it
 * ends one endpoint after the other, and is never answered. Hence ends that were under way at the same time count once
 * (their reports have the same ordinal), and one whole answer clears a request of all reports; a request that was answered
 * lately is not reported at all, so that a common one stays clear while endpoints end for other reasons.
 *
 * A request with as many reports as the limit is quarantined from the last end on, for twice the time with each further
 * report. Instances tell one another of reports and answers; each judges by what it knows. Lives as long as its entry's
 * task. Not thread-safe.
 *
 * @code
 * const std::uint32_t ordinal = quarantine.nextOrdinal(fingerprint); // before it is sent
 * if (quarantine.report({.fingerprint = fingerprint, .ordinal = ordinal, .endedAt = now}, now)) { tellPeers(); }
 * if (const auto left = quarantine.timeLeft(fingerprint, now)) { refuse(*left); }
 * @endcode
 */
class Quarantine
{
public:
    struct Options {
        std::size_t limit = 2; ///< Reports that quarantine a request.
        Duration time{600000}; ///< Of the first quarantine; reports below the limit are forgotten after it.
        Duration longestTime{86400000};
        Duration answerTime{60000}; ///< A request that was answered within it is not reported.
        std::size_t mostAnswered = 20000; ///< Requests remembered as answered, twice over.
        std::size_t mostReported = 4000; ///< Requests with reports; the ones reported longest ago make room.
    };

    explicit Quarantine(const Options &options);

    /** @return what the next sending of that request is reported with if its endpoint ends. */
    std::uint32_t nextOrdinal(std::string_view fingerprint) const;

    /** @return false if it changes nothing: it is known or too old, or the request was answered lately. */
    bool addReport(const CrashReport &report, BootTime now);

    /** A peer cleared the request of that report. */
    void withdraw(std::string_view fingerprint, std::uint32_t ordinal);

    /** An endpoint ran the request to its end. @return ordinals of the reports that this clears it of. */
    std::vector<std::uint32_t> onAnswered(std::string_view fingerprint, BootTime now);

    bool wasAnsweredRecently(std::string_view fingerprint) const;

    /** @return for how long the request is not to be sent to any endpoint; nothing if it may. */
    std::optional<Duration> timeLeft(std::string_view fingerprint, BootTime now) const;

    std::size_t size() const ///< Requests with reports.
    {
        return reported_.size();
    }

private:
    struct Reports {
        std::set<std::uint32_t> ordinals;
        BootTime lastEnd;
    };

    BootClock::duration timeOf(const Reports &reports) const;
    BootTime keptUntil(const Reports &reports) const;
    void makeRoom(BootTime now);

    Options options_;
    TextMap<Reports> reported_; ///< By fingerprint.
    TextMap<bool> answered_; ///< Fingerprints, since the last change of generations; the value says nothing.
    TextMap<bool> answeredBefore_; ///< Of the generation before.
    BootTime generationBegan_;
};

} // namespace magnolia::routing

#endif
