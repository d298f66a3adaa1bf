#include "manifest/parser.h"

#include "check.h"
#include "jsontext.h"
#include "schema.h"
#include "tomltext.h"

#include <fmt/format.h>

#include <algorithm>

namespace magnolia::manifest
{

namespace
{

std::string linePlace(std::size_t line, std::size_t column)
{
    return fmt::format("line {}, column {}", line, column);
}

Problems syntaxProblem(const SyntaxError &error)
{
    return {Problem{.place = linePlace(error.line, error.column), .message = error.message}};
}

Manifest readAndCheck(const Json &value, ProblemList &problems)
{
    Manifest manifest = readManifest(value, problems);
    checkManifest(manifest, problems);
    return manifest;
}

tl::expected<Manifest, Problems> parseJsonManifest(std::string_view text, const ParseLimits &limits)
{
    ProblemList problems(limits.maxProblems);
    const auto value = parseJson(text, limits.maxDepth, problems);
    if (!value) {
        return tl::unexpected(syntaxProblem(value.error()));
    }
    Manifest manifest = readAndCheck(*value, problems);
    if (problems.all().empty()) {
        return manifest;
    }
    Problems placed;
    for (const LocatedProblem &problem : problems.all()) {
        const std::string pointer = problem.pointer.to_string();
        placed.push_back({.place = pointer.empty() ? "/" : pointer, .message = problem.message});
    }
    return tl::unexpected(std::move(placed));
}

tl::expected<Manifest, Problems> parseTomlManifest(std::string_view text, const ParseLimits &limits)
{
    const auto document = TomlText::parse(text, limits.maxDepth);
    if (!document) {
        return tl::unexpected(syntaxProblem(document.error()));
    }
    ProblemList problems(limits.maxProblems);
    Manifest manifest = readAndCheck(document->value(), problems);
    if (problems.all().empty()) {
        return manifest;
    }
    Problems placed;
    for (const LocatedProblem &problem : problems.all()) {
        const TomlText::Position position = document->positionOf(problem.pointer);
        placed.push_back({.place = linePlace(position.line, position.column), .message = problem.message});
    }
    return tl::unexpected(std::move(placed));
}

} // namespace

Format formatOfFile(std::string_view fileName)
{
    return fileName.ends_with(".json") ? Format::Json : Format::Toml;
}

tl::expected<Manifest, Problems> parseManifest(std::string_view text, Format format, const ParseLimits &limits)
{
    if (text.size() > limits.maxBytes) {
        return tl::unexpected(Problems{{.place = linePlace(1, 1), .message = fmt::format("{} bytes are over the limit of {}", text.size(), limits.maxBytes)}});
    }
    return format == Format::Json ? parseJsonManifest(text, limits) : parseTomlManifest(text, limits);
}

} // namespace magnolia::manifest
