#include "routing/quarantine.h"

#include <algorithm>
#include <utility>

namespace magnolia::routing
{

namespace
{

constexpr std::size_t MaxDoublings = 20;

} // namespace

Quarantine::Quarantine(const Options &options) : options_(options) {}

std::uint32_t Quarantine::nextOrdinal(std::string_view fingerprint) const
{
    const auto found = reported_.find(fingerprint);
    return found == reported_.end() ? 1 : *found->second.ordinals.rbegin() + 1;
}

bool Quarantine::addReport(const CrashReport &report, BootTime now)
{
    if (wasAnsweredRecently(report.fingerprint)) {
        return false;
    }
    const auto found = reported_.find(report.fingerprint);
    if (found != reported_.end() && now >= retainedUntil(found->second)) {
        reported_.erase(found);
    }
    Reports single{.ordinals = {report.ordinal}, .lastEnd = report.endedAt};
    if (now >= retainedUntil(single) && !reported_.contains(report.fingerprint)) {
        return false;
    }
    evictIfFull(now);
    const auto [entry, isNew] = reported_.try_emplace(report.fingerprint, std::move(single));
    Reports &reports = entry->second;
    reports.lastEnd = std::max(reports.lastEnd, report.endedAt);
    return reports.ordinals.insert(report.ordinal).second || isNew;
}

void Quarantine::withdraw(std::string_view fingerprint, std::uint32_t ordinal)
{
    const auto found = reported_.find(fingerprint);
    if (found == reported_.end()) {
        return;
    }
    found->second.ordinals.erase(ordinal);
    if (found->second.ordinals.empty()) {
        reported_.erase(found);
    }
}

std::vector<std::uint32_t> Quarantine::onAnswered(std::string_view fingerprint, BootTime now)
{
    if (now - generationStart_ >= options_.answerRetention || answered_.size() >= options_.maxAnswered) {
        previousAnswered_ = std::exchange(answered_, {});
        generationStart_ = now;
    }
    answered_.try_emplace(std::string(fingerprint), true);
    const auto found = reported_.find(fingerprint);
    if (found == reported_.end()) {
        return {};
    }
    std::vector<std::uint32_t> cleared(found->second.ordinals.begin(), found->second.ordinals.end());
    reported_.erase(found);
    return cleared;
}

bool Quarantine::wasAnsweredRecently(std::string_view fingerprint) const
{
    return answered_.contains(fingerprint) || previousAnswered_.contains(fingerprint);
}

std::optional<Duration> Quarantine::timeLeft(std::string_view fingerprint, BootTime now) const
{
    const auto found = reported_.find(fingerprint);
    if (found == reported_.end() || found->second.ordinals.size() < options_.reportThreshold) {
        return std::nullopt;
    }
    const BootClock::duration left = found->second.lastEnd + quarantineTime(found->second) - now;
    return left.count() > 0 ? std::optional(std::chrono::ceil<Duration>(left)) : std::nullopt;
}

/** @return the duration of the quarantine; for fewer reports than the limit, the duration of the first one. */
BootClock::duration Quarantine::quarantineTime(const Reports &reports) const
{
    const std::size_t further = reports.ordinals.size() - std::min(reports.ordinals.size(), options_.reportThreshold);
    const Duration doubled = options_.initialQuarantineTime * (1LL << std::min(further, MaxDoublings));
    return std::min(doubled, options_.maxQuarantineTime);
}

/** @return when the reports expire. After a quarantine they are retained for the same time again, so that a further crash leads to a longer one. */
BootTime Quarantine::retainedUntil(const Reports &reports) const
{
    const bool wasQuarantined = reports.ordinals.size() >= options_.reportThreshold;
    return reports.lastEnd + quarantineTime(reports) * (wasQuarantined ? 2 : 1);
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
    const auto earlier = [](const auto &one, const auto &other) { return one.second.lastEnd < other.second.lastEnd; };
    reported_.erase(std::min_element(reported_.begin(), reported_.end(), earlier));
}

} // namespace magnolia::routing
