#include "routing/quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace magnolia::routing
{

namespace
{

constexpr std::size_t MaxDoublings = 20;

// For each report, so that an attempt of the cause that happens to be cut for another reason does not clear it.
constexpr std::size_t BrokenOffPerReport = 2;

// Crashes one after the other, as a multiple of the threshold, that outweigh earlier answers.
constexpr std::size_t CrashesToLoseTrust = 2;

// When a peer dispatched an attempt is not reported. Endpoints that crash within this time may have one cause, e.g. their rack.
constexpr Duration SameIncident{1000};

constexpr Duration TrialRetryAfter{1000};

} // namespace

Quarantine::Quarantine(const Options &options)
    : options_(options)
    , answers_({.retention = options.answerRetention,
                .maxRemembered = options.maxAnswered,
                .maxCrashes = static_cast<std::uint32_t>(CrashesToLoseTrust * options.reportThreshold)})
{
}

std::uint32_t Quarantine::nextOrdinal(std::string_view fingerprint) const
{
    const auto found = reported_.find(fingerprint);
    return found == reported_.end() ? 1 : found->second.companions.rbegin()->first + 1;
}

std::vector<CrashSuspect> Quarantine::suspectsOf(const CrashCauses &causes, BootTime now) const
{
    std::vector<CrashSuspect> suspects;
    causes.forEach(
        [&](const std::string &fingerprint) { suspects.push_back({.fingerprint = fingerprint, .ordinal = nextOrdinal(fingerprint), .dispatchedAt = now}); });
    return suspects;
}

bool Quarantine::hasReports(const CrashCauses &causes) const
{
    bool isAnyReported = false;
    causes.forEach([&](const std::string &fingerprint) { isAnyReported = isAnyReported || reported_.contains(fingerprint); });
    return isAnyReported;
}

std::vector<CrashReport> Quarantine::onCrash(std::span<const CrashSuspect> suspects, BootTime now)
{
    std::vector<CrashReport> reports;
    std::vector<std::string> parts;
    for (const CrashSuspect &suspect : suspects) {
        answers_.onCrash(suspect.fingerprint, suspect.dispatchedAt, now);
        reports.push_back({.fingerprint = suspect.fingerprint, .ordinal = suspect.ordinal, .endedAt = now});
        if (isPromptPart(suspect.fingerprint) && !answers_.isUnlikelyCause(suspect.fingerprint, now)) {
            parts.push_back(suspect.fingerprint);
        }
    }
    for (CrashReport &report : reports) {
        std::copy_if(parts.begin(), parts.end(), std::back_inserter(report.companions), [&](const std::string &part) { return part != report.fingerprint; });
    }
    std::erase_if(reports, [this, now](const CrashReport &report) { return !addReport(report, now); });
    return reports;
}

bool Quarantine::addReport(const CrashReport &report, BootTime now)
{
    answers_.onCrash(report.fingerprint, report.endedAt - SameIncident, report.endedAt);
    if (isRefuted(report)) {
        return false;
    }
    const auto found = reported_.find(report.fingerprint);
    if (found != reported_.end() && now >= retainedUntil(found->second)) {
        reported_.erase(found);
    }
    Evidence single{.companions = {{report.ordinal, report.companions}}, .lastEnd = report.endedAt};
    if (now >= retainedUntil(single) && !reported_.contains(report.fingerprint)) {
        return false;
    }
    evictIfFull(now);
    const auto [entry, isNew] = reported_.try_emplace(report.fingerprint, std::move(single));
    Evidence &evidence = entry->second;
    evidence.lastEnd = std::max(evidence.lastEnd, report.endedAt);
    const auto [known, isFurther] = evidence.companions.emplace(report.ordinal, report.companions);
    if (!isFurther && !isNew) {
        // Another crash at the same time; only what accompanied the cause in both can explain both.
        std::erase_if(known->second, [&](const std::string &companion) {
            return std::find(report.companions.begin(), report.companions.end(), companion) == report.companions.end();
        });
    }
    return isFurther || isNew;
}

void Quarantine::withdraw(std::string_view fingerprint, std::uint32_t ordinal)
{
    const auto found = reported_.find(fingerprint);
    if (found == reported_.end()) {
        return;
    }
    found->second.companions.erase(ordinal);
    if (found->second.companions.empty()) {
        reported_.erase(found);
    }
}

std::vector<CrashReport> Quarantine::onAnswered(const CrashCauses &causes, BootTime now)
{
    std::vector<CrashReport> cleared;
    answers_.onAnswered(causes, now);
    causes.forEach([&](const std::string &fingerprint) {
        const auto found = reported_.find(fingerprint);
        if (found == reported_.end()) {
            return;
        }
        for (const auto &[ordinal, companions] : found->second.companions) {
            cleared.push_back({.fingerprint = fingerprint, .ordinal = ordinal, .endedAt = found->second.lastEnd});
        }
        reported_.erase(found);
    });
    return cleared;
}

void Quarantine::onBrokenOffAtLiveEndpoint(std::span<const CrashSuspect> suspects)
{
    for (const CrashSuspect &suspect : suspects) {
        if (Evidence *evidence = find(suspect.fingerprint)) {
            ++evidence->brokenOffAtLiveEndpoint;
        }
    }
}

Quarantine::Admission Quarantine::admit(const AdmissionRequest &request, BootTime now, Random &random)
{
    Admission strictest;
    std::vector<Evidence *> tried;
    request.causes.forEach([&](const std::string &fingerprint) {
        Evidence *evidence = find(fingerprint);
        if (evidence == nullptr) {
            return;
        }
        const Admission admission = evaluate(*evidence, request.causes, now);
        if (admission.kind == Admission::Kind::Trial) {
            tried.push_back(evidence);
        }
        if (admission.kind > strictest.kind || admission.retryAfter > strictest.retryAfter) {
            strictest = admission;
        }
    });
    if (strictest.kind != Admission::Kind::Trial || request.isTrial) {
        return strictest;
    }
    const bool isDue = std::all_of(tried.begin(), tried.end(), [&](Evidence *evidence) { return takeTrial(*evidence, request.instances, now, random); });
    return isDue ? strictest : Admission{.kind = Admission::Kind::Rejected, .retryAfter = TrialRetryAfter};
}

/** @return what the reports about one cause mean for a request that carries it among others. */
Quarantine::Admission Quarantine::evaluate(const Evidence &evidence, const CrashCauses &causes, BootTime now) const
{
    if (!isThresholdReached(evidence) || now >= retainedUntil(evidence)) {
        return {};
    }
    const BootClock::duration left = evidence.lastEnd + quarantineTime(evidence) - now;
    if (left.count() <= 0 || isExplainedElsewhere(evidence, causes)) {
        return {.kind = Admission::Kind::Trial};
    }
    return {.kind = Admission::Kind::Rejected, .retryAfter = std::chrono::ceil<Duration>(left)};
}

bool Quarantine::takeTrial(Evidence &evidence, std::size_t instances, BootTime now, Random &random) const
{
    if (!evidence.trials.isLimited()) {
        evidence.trials.update(options_.trialsPerSecond, instances, now, random);
    }
    if (!evidence.trials.canSend(instances, now, random)) {
        return false;
    }
    evidence.trials.consume(instances, now, random);
    return true;
}

std::optional<Duration> Quarantine::timeLeft(std::string_view fingerprint, BootTime now) const
{
    const auto found = reported_.find(fingerprint);
    if (found == reported_.end() || !isThresholdReached(found->second)) {
        return std::nullopt;
    }
    const BootClock::duration left = found->second.lastEnd + quarantineTime(found->second) - now;
    return left.count() > 0 ? std::optional(std::chrono::ceil<Duration>(left)) : std::nullopt;
}

Quarantine::Evidence *Quarantine::find(std::string_view fingerprint)
{
    const auto found = reported_.find(fingerprint);
    return found == reported_.end() ? nullptr : &found->second;
}

bool Quarantine::isThresholdReached(const Evidence &evidence) const
{
    const std::size_t reports = evidence.companions.size();
    return reports >= options_.reportThreshold && evidence.brokenOffAtLiveEndpoint < BrokenOffPerReport * reports;
}

/** Whether a quarantined part that the request does not carry was present in the crashes of the cause, but for fewer than the threshold. */
bool Quarantine::isExplainedElsewhere(const Evidence &evidence, const CrashCauses &causes) const
{
    std::map<std::string_view, std::size_t> explained; // Number of crashes, by companion.
    for (const auto &[ordinal, companions] : evidence.companions) {
        for (const std::string &companion : companions) {
            ++explained[companion];
        }
    }
    return std::any_of(explained.begin(), explained.end(), [&](const auto &entry) {
        const auto &[companion, crashes] = entry;
        const auto other = reported_.find(companion);
        const bool isQuarantined = other != reported_.end() && isThresholdReached(other->second);
        return isQuarantined && !causes.contains(companion) && evidence.companions.size() - crashes < options_.reportThreshold;
    });
}

/** @return the duration of the quarantine; for fewer reports than the limit, the duration of the first one. */
BootClock::duration Quarantine::quarantineTime(const Evidence &evidence) const
{
    const std::size_t further = evidence.companions.size() - std::min(evidence.companions.size(), options_.reportThreshold);
    const Duration doubled = options_.initialQuarantineTime * (1LL << std::min(further, MaxDoublings));
    return std::min(doubled, options_.maxQuarantineTime);
}

/** @return when the reports expire. After a quarantine they are retained for the same time again, so that a further crash leads to a longer one. */
BootTime Quarantine::retainedUntil(const Evidence &evidence) const
{
    const bool wasQuarantined = evidence.companions.size() >= options_.reportThreshold;
    return evidence.lastEnd + quarantineTime(evidence) * (wasQuarantined ? 2 : 1);
}

void Quarantine::evictIfFull(BootTime now)
{
    if (reported_.size() < options_.maxReported) {
        return;
    }
    std::erase_if(reported_, [this, now](const auto &entry) { return now >= retainedUntil(entry.second); });
    if (reported_.size() < options_.maxReported) {
        return;
    }
    const auto rank = [this](const Evidence &evidence) { return std::pair(isThresholdReached(evidence), evidence.lastEnd); };
    reported_.erase(
        std::min_element(reported_.begin(), reported_.end(), [&](const auto &one, const auto &other) { return rank(one.second) < rank(other.second); }));
}

} // namespace magnolia::routing
