#include "ctl/output.h"

#include "base/verdict.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace magnolia::ctl
{

namespace
{

using Json = nlohmann::json;
constexpr std::size_t RootDigits = 12;
constexpr int Indent = 2;
constexpr std::size_t MaxChangesShown = 50;

std::string_view nameOf(manifest::ChangeKind kind)
{
    switch (kind) {
    case manifest::ChangeKind::Added:
        return "added";
    case manifest::ChangeKind::Removed:
        return "removed";
    case manifest::ChangeKind::Changed:
        break;
    }
    return "changed";
}

std::string_view nameOf(manifest::ApplyResult result)
{
    switch (result) {
    case manifest::ApplyResult::Applied:
        return "applied";
    case manifest::ApplyResult::Unchanged:
        return "unchanged";
    case manifest::ApplyResult::Conflict:
        return "conflict";
    case manifest::ApplyResult::Unavailable:
        return "unavailable";
    case manifest::ApplyResult::Broken:
        break;
    }
    return "broken";
}

ExitCode exitCodeOf(const manifest::ApplyOutcome &outcome)
{
    if (outcome.verdict == Verdict::MayHaveRun) {
        return ExitCode::Unknown;
    }
    switch (outcome.result) {
    case manifest::ApplyResult::Applied:
    case manifest::ApplyResult::Unchanged:
        return ExitCode::Ok;
    case manifest::ApplyResult::Conflict:
        return ExitCode::Conflict;
    case manifest::ApplyResult::Unavailable:
        return ExitCode::Unavailable;
    case manifest::ApplyResult::Broken:
        break;
    }
    return ExitCode::Failed;
}

Json toJson(std::span<const manifest::Change> changes)
{
    Json list = Json::array();
    for (const manifest::Change &change : changes) {
        list.push_back({{"kind", nameOf(change.kind)},
                        {"section", change.section},
                        {"name", change.name},
                        {"key", change.key},
                        {"before", change.before.empty() ? Json() : Json::parse(change.before)},
                        {"after", change.after.empty() ? Json() : Json::parse(change.after)}});
    }
    return list;
}

Json toJson(const manifest::ApplyOutcome &outcome)
{
    return {{"result", nameOf(outcome.result)},
            {"verdict", toString(outcome.verdict)},
            {"version", outcome.version},
            {"root", outcome.root.toString()},
            {"superseded", outcome.superseded},
            {"detail", outcome.detail},
            {"rival_changes", toJson(outcome.rivalChanges)},
            {"chunks_written", outcome.chunksWritten},
            {"bytes_written", outcome.bytesWritten}};
}

void printChanges(std::ostream &out, std::span<const manifest::Change> changes, std::string_view indent)
{
    for (const manifest::Change &change : changes.first(std::min(changes.size(), MaxChangesShown))) {
        out << indent << toString(change) << '\n';
    }
    if (changes.size() > MaxChangesShown) {
        out << indent << fmt::format("... and {} more; --json shows all\n", changes.size() - MaxChangesShown);
    }
}

} // namespace

Output::Output(std::ostream &out, std::ostream &err, bool json) : out_(out), err_(err), json_(json) {}

ExitCode Output::error(ExitCode code, std::string_view message)
{
    err_ << "magnoliactl: " << message << '\n';
    if (json_) {
        out_ << Json({{"error", message}, {"exit_code", static_cast<int>(code)}}).dump(Indent, ' ', false, Json::error_handler_t::replace) << '\n';
    }
    return code;
}

ExitCode Output::problems(std::string_view file, std::span<const manifest::Problem> problems)
{
    Json list = Json::array();
    for (const manifest::Problem &problem : problems) {
        err_ << fmt::format("{}: {}: {}\n", file, problem.place, problem.message);
        list.push_back({{"place", problem.place}, {"message", problem.message}});
    }
    if (json_) {
        out_ << Json({{"valid", false}, {"problems", list}}).dump(Indent, ' ', false, Json::error_handler_t::replace) << '\n';
    }
    return ExitCode::BadInput;
}

ExitCode Output::valid(std::string_view file, const manifest::Manifest &manifest)
{
    if (json_) {
        out_ << Json({{"valid", true},
                      {"organisations", manifest.organisations.size()},
                      {"models", manifest.models.size()},
                      {"endpoints", manifest.endpoints.size()},
                      {"groups", manifest.groups.size()},
                      {"services", manifest.services.size()}})
                    .dump(Indent)
             << '\n';
    } else {
        out_ << fmt::format("{} is valid: {} organisations, {} models, {} endpoints, {} groups, {} services\n",
                            file,
                            manifest.organisations.size(),
                            manifest.models.size(),
                            manifest.endpoints.size(),
                            manifest.groups.size(),
                            manifest.services.size());
    }
    return ExitCode::Ok;
}

ExitCode Output::changes(std::span<const manifest::Change> changes)
{
    if (json_) {
        out_ << toJson(changes).dump(Indent) << '\n';
        return ExitCode::Ok;
    }
    for (const manifest::Change &change : changes) {
        out_ << toString(change) << '\n';
    }
    if (changes.empty()) {
        out_ << "no difference\n";
    }
    return ExitCode::Ok;
}

ExitCode Output::applied(const manifest::ApplyOutcome &outcome)
{
    if (json_) {
        out_ << toJson(outcome).dump(Indent) << '\n';
        return exitCodeOf(outcome);
    }
    const bool isGood = outcome.result == manifest::ApplyResult::Applied || outcome.result == manifest::ApplyResult::Unchanged;
    std::ostream &stream = isGood ? out_ : err_;
    stream << fmt::format(
        "{}: version {}, root {}: {}\n", nameOf(outcome.result), outcome.version, outcome.root.toString().substr(0, RootDigits), outcome.detail);
    if (outcome.superseded) {
        stream << "a rival has put a later version in force since\n";
    }
    if (outcome.verdict == Verdict::MayHaveRun) {
        stream << "it may be in force, or may yet come in force: run `magnoliactl diff` against it once the platform answers\n";
    }
    if (!outcome.rivalChanges.empty()) {
        stream << "the rival changed:\n";
        printChanges(stream, outcome.rivalChanges, "  ");
    }
    return exitCodeOf(outcome);
}

ExitCode Output::reports(std::span<const DaemonReport> reports)
{
    const bool allAnswered = std::all_of(reports.begin(), reports.end(), [](const DaemonReport &report) { return report.answered; });
    if (json_) {
        Json list = Json::array();
        for (const DaemonReport &report : reports) {
            list.push_back({{"address", report.address}, {"answered", report.answered}, {"status", report.answered ? Json::parse(report.text) : Json()}});
        }
        out_ << Json({{"daemons", list}}).dump(Indent) << '\n';
    } else {
        constexpr std::string_view Row = "{:<20} {:<16} {:<12} {:<10} {:<14} {:<22} {}\n";
        out_ << fmt::format(Row, "INSTANCE", "PROGRAM", "DATA CENTRE", "MANIFEST", "ROOT", "ADDRESS", "STATE");
        for (const DaemonReport &report : reports) {
            const std::string_view state = !report.answered ? "no answer" : report.leaving ? "leaving" : "live";
            out_ << fmt::format(Row,
                                report.answered ? report.instance : "?",
                                report.program,
                                report.dataCentre,
                                report.answered ? std::to_string(report.manifestVersion) : "?",
                                report.manifestRoot.substr(0, RootDigits),
                                report.address,
                                state);
        }
    }
    return allAnswered ? ExitCode::Ok : ExitCode::Failed;
}

ExitCode Output::drained(std::string_view daemon)
{
    if (json_) {
        out_ << Json({{"draining", daemon}}).dump(Indent) << '\n';
    } else {
        out_ << fmt::format("{} is draining\n", daemon);
    }
    return ExitCode::Ok;
}

void Output::progress(std::uint64_t version, const WaitProgress &progress)
{
    err_ << fmt::format("version {}: {} of {} daemons\n", version, progress.reached, progress.expected);
}

ExitCode Output::waited(const manifest::ApplyOutcome &outcome, const WaitProgress &progress)
{
    for (const std::string &daemon : progress.lacking) {
        err_ << fmt::format("not yet: {}\n", daemon);
    }
    if (json_) {
        Json document = toJson(outcome);
        document["daemons"] = {{"expected", progress.expected}, {"reached", progress.reached}, {"lacking", progress.lacking}};
        out_ << document.dump(Indent) << '\n';
    } else if (progress.isDone()) {
        out_ << fmt::format("version {} is in force at all {} daemons\n", outcome.version, progress.expected);
    }
    return progress.isDone() ? ExitCode::Ok : ExitCode::TimedOut;
}

ExitCode Output::document(std::string_view text)
{
    const Json value = Json::parse(text, nullptr, false);
    out_ << (value.is_discarded() ? std::string(text) : value.dump(Indent)) << '\n';
    return ExitCode::Ok;
}

} // namespace magnolia::ctl
