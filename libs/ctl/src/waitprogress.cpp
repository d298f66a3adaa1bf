#include "ctl/waitprogress.h"

#include <fmt/format.h>

#include <algorithm>

namespace magnolia::ctl
{

namespace
{

void count(WaitProgress &progress, std::uint64_t version, const DaemonReport &report)
{
    ++progress.expected;
    if (report.manifestVersion >= version) {
        ++progress.reached;
    } else {
        progress.lacking.push_back(fmt::format("{} has version {}", report.instance, report.manifestVersion));
    }
}

} // namespace

WaitProgress judgeProgress(std::uint64_t version, const std::optional<std::vector<store::Instance>> &live, std::span<const DaemonReport> reports)
{
    WaitProgress progress;
    for (const DaemonReport &report : reports) {
        if (report.answered && !report.leaving) {
            count(progress, version, report);
        } else if (!report.answered && !live) {
            ++progress.expected;
            progress.lacking.push_back(fmt::format("{} does not answer", report.address));
        }
    }
    for (const store::Instance &instance : live.value_or(std::vector<store::Instance>{})) {
        const bool hasAnswered = std::any_of(
            reports.begin(), reports.end(), [&instance](const DaemonReport &report) { return report.answered && report.instance == instance.name; });
        if (!hasAnswered && !instance.leaving) {
            ++progress.expected;
            progress.lacking.push_back(fmt::format("{} is listed as live, but no operators' address of ours reaches it", instance.name));
        }
    }
    // "At all of 0 daemons" would be true and say nothing.
    if (progress.expected == 0 && !reports.empty()) {
        progress.lacking.emplace_back("no daemon answers, and none is listed as live");
    }
    return progress;
}

} // namespace magnolia::ctl
