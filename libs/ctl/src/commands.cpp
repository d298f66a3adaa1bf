#include "ctl/commands.h"

#include "manifest/parser.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace magnolia::ctl
{

tl::expected<manifest::Manifest, ExitCode> readManifestFile(const std::string &file, Output &output)
{
    std::ifstream stream(file, std::ios::binary);
    const std::string text(std::istreambuf_iterator<char>(stream), {});
    if (!stream.is_open() || stream.bad()) {
        return tl::unexpected(output.error(ExitCode::BadInput, fmt::format("{} cannot be read", file)));
    }
    auto manifest = manifest::parseManifest(text, manifest::formatOfFile(file));
    if (!manifest) {
        return tl::unexpected(output.problems(file, manifest.error()));
    }
    return std::move(*manifest);
}

ExitCode validate(const CommandLine &line, Output &output)
{
    const auto manifest = readManifestFile(line.arguments.front(), output);
    return manifest ? output.valid(line.arguments.front(), *manifest) : manifest.error();
}

ExitCode diffFiles(const CommandLine &line, Output &output)
{
    const auto before = readManifestFile(line.arguments.at(0), output);
    if (!before) {
        return before.error();
    }
    const auto after = readManifestFile(line.arguments.at(1), output);
    if (!after) {
        return after.error();
    }
    return output.changes(manifest::diffManifests(*before, *after));
}

ExitCode status(Daemons &daemons, Output &output)
{
    return output.reports(daemons.reports());
}

ExitCode drain(const CommandLine &line, Daemons &daemons, Output &output)
{
    const std::vector<DaemonReport> reports = daemons.reports();
    ExitCode worst = ExitCode::Ok;
    for (const std::string &wanted : line.arguments) {
        const auto report = std::find_if(
            reports.begin(), reports.end(), [&wanted](const DaemonReport &candidate) { return candidate.instance == wanted || candidate.address == wanted; });
        if (report == reports.end()) {
            worst = output.error(ExitCode::Failed, fmt::format("{} is no daemon of the settings that answers", wanted));
            continue;
        }
        const auto drained = daemons.drain(report->address);
        if (drained) {
            output.drained(wanted);
        } else {
            worst = output.error(ExitCode::Failed, fmt::format("{}: {} {}", wanted, drained.error().code.message(), drained.error().detail));
        }
    }
    return worst;
}

ExitCode explain(const CommandLine &line, Daemons &daemons, Output &output)
{
    nlohmann::json question = {{"organisation", line.organisation}};
    question[line.model.empty() ? "service" : "model"] = line.model.empty() ? line.service : line.model;
    if (!line.path.empty()) {
        question["path"] = line.path;
    }
    const auto answer = daemons.explain(question.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    if (!answer) {
        const bool isRefused = answer.error().code == ErrorCode::EndpointError;
        return output.error(isRefused ? ExitCode::Failed : ExitCode::Unavailable, fmt::format("{} {}", answer.error().code.message(), answer.error().detail));
    }
    return output.document(*answer);
}

} // namespace magnolia::ctl
