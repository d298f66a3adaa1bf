#ifndef MAGNOLIA_ROUTING_QUARANTINE_H
#define MAGNOLIA_ROUTING_QUARANTINE_H

#include "base/clock.h"
#include "base/random.h"
#include "routing/answermemory.h"
#include "routing/crashcauses.h"
#include "routing/ratelimitshare.h"
#include "routing/routetable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::routing
{

/** Report that an endpoint crashed while it ran a request with a possible cause of the crash. */
struct CrashReport {
    std::string fingerprint{}; ///< Of the possible cause, see crashCausesOf().
    std::uint32_t ordinal = 1; ///< One more than the highest ordinal known for the cause when the request was dispatched.
    BootTime endedAt{};
    std::vector<std::string> companions{}; ///< Fingerprints of the other parts of the same prompt that may have caused the crash as well.
};

/** A possible cause of a crash, as known when a request that carries it is dispatched. */
struct CrashSuspect {
    std::string fingerprint{};
    std::uint32_t ordinal = 1; ///< For the report if the endpoint crashes.
    BootTime dispatchedAt{};
};

/**
 * Quarantines what crashes endpoints ("query of death"): whole requests, and parts of prompts that many requests share.
 *
 * A crash affects every request that runs at the endpoint, so a single one proves little. The cause differs from all else that ran there in that it
 * crashes one endpoint after another and is never answered. Hence each possible cause is reported, crashes of concurrent attempts count once (their
 * reports have the same ordinal), and one complete answer clears all that its request carried. What AnswerMemory takes for an unlikely cause is not reported,
 * so that common requests and parts are not suspected while endpoints crash for other reasons.
 *
 * A cause with as many reports as the threshold is quarantined from its last crash on, and the time doubles with each further report.
 *
 * - Attempts that broke off although their endpoint lives count in favour of what they carried. Without that, a part that most requests share would be
 *   quarantined when the endpoints of a group that answers nothing crash for other reasons.
 * - A part that had the same quarantined companion in its crashes, but for fewer than the threshold, may only have accompanied the cause. A request with
 *   just one of the two is a trial.
 * - A request is also a trial after the end of a quarantine. Trials are paced.
 *
 * Instances share reports and answers; each decides on what it knows. Lives as long as its entry's task. Not thread-safe.
 *
 * @code
 * if (quarantine.admit({.causes = causes}, now, random).kind == Quarantine::Admission::Kind::Rejected) { reject(); }
 * const auto suspects = quarantine.suspectsOf(causes, now); // before the dispatch
 * for (const CrashReport &report : quarantine.onCrash(suspects, now)) { shareReport(report); }
 * @endcode
 */
class Quarantine
{
public:
    struct Options {
        std::size_t reportThreshold = 2; ///< Number of reports at which a cause is quarantined.
        Duration initialQuarantineTime{600000}; ///< Duration of the first quarantine; reports below the threshold expire after it.
        Duration maxQuarantineTime{86400000};
        Duration answerRetention{60000}; ///< See AnswerMemory.
        std::size_t maxAnswered = 20000; ///< Causes remembered as answered, in each of two generations.
        std::size_t maxReported = 4000; ///< Causes with reports. The one with the oldest last crash is evicted, if possible one that is not quarantined.
        double trialsPerSecond = 2; ///< Of each cause, for all instances together; at most this many.
    };

    /** Whether a request may be dispatched. */
    struct Admission {
        enum class Kind : std::uint8_t {
            Allowed,
            Trial, ///< Allowed, and its outcome shows whether what it carries is harmless.
            Rejected,
        };

        Kind kind = Kind::Allowed;
        Duration retryAfter{0}; ///< If it is rejected.
    };

    explicit Quarantine(const Options &options);

    /** @return the ordinal for a report about the next attempt with the cause. */
    std::uint32_t nextOrdinal(std::string_view fingerprint) const;

    /** @return what an attempt carries that is about to be dispatched. */
    std::vector<CrashSuspect> suspectsOf(const CrashCauses &causes, BootTime now) const;

    /** Whether there are reports about anything that a request carries. */
    bool hasReports(const CrashCauses &causes) const;

    /** An endpoint crashed while it ran an attempt. @return the new reports. */
    std::vector<CrashReport> onCrash(std::span<const CrashSuspect> suspects, BootTime now);

    /** @return false if nothing changed, because the report is known or too old, or answers refute it. */
    bool addReport(const CrashReport &report, BootTime now);

    /** Removes a report that a peer has withdrawn. */
    void withdraw(std::string_view fingerprint, std::uint32_t ordinal);

    /** A request was answered completely, which clears all that it carried. @return the cleared reports. */
    std::vector<CrashReport> onAnswered(const CrashCauses &causes, BootTime now);

    /** An attempt broke off that an endpoint had begun to answer, and the endpoint lives. */
    void onBrokenOffAtLiveEndpoint(std::span<const CrashSuspect> suspects);

    /** Whether answers to this instance show that the report says nothing about its cause. */
    bool isRefuted(const CrashReport &report) const
    {
        return answers_.isUnlikelyCause(report.fingerprint, report.endedAt);
    }

    struct AdmissionRequest {
        const CrashCauses &causes;
        bool isTrial = false; ///< It was allowed as a trial before, and needs no further one.
        std::size_t instances = 1; ///< Number of instances that share the trials, including this one.
    };

    /** Decides whether a request may be dispatched. */
    Admission admit(const AdmissionRequest &request, BootTime now, Random &random);

    /** @return the remaining quarantine of a cause; nothing if there is none. */
    std::optional<Duration> timeLeft(std::string_view fingerprint, BootTime now) const;

    std::size_t size() const ///< @return the number of causes with reports.
    {
        return reported_.size();
    }

private:
    struct Evidence {
        std::map<std::uint32_t, std::vector<std::string>> companions{}; ///< Of each report, by its ordinal.
        BootTime lastEnd{};
        std::size_t brokenOffAtLiveEndpoint = 0; ///< Number of calls of onBrokenOffAtLiveEndpoint() since the first report.
        RateLimitShare trials{};
    };

    Evidence *find(std::string_view fingerprint);
    bool isThresholdReached(const Evidence &evidence) const;
    bool isExplainedElsewhere(const Evidence &evidence, const CrashCauses &causes) const;
    Admission evaluate(const Evidence &evidence, const CrashCauses &causes, BootTime now) const;
    bool takeTrial(Evidence &evidence, std::size_t instances, BootTime now, Random &random) const;
    BootClock::duration quarantineTime(const Evidence &evidence) const;
    BootTime retainedUntil(const Evidence &evidence) const;
    void evictIfFull(BootTime now);

    Options options_;
    AnswerMemory answers_;
    TextMap<Evidence> reported_; ///< By fingerprint.
};

} // namespace magnolia::routing

#endif
