#include "manifest/diff.h"

#include "schema.h"

#include <fmt/format.h>

#include <map>
#include <span>
#include <string_view>

namespace magnolia::manifest
{

namespace
{

Json toJson(const NamedDocument &entry)
{
    return Json::parse(entry.document);
}

template<typename T>
std::map<std::string_view, const T *> byName(std::span<const T> entries)
{
    std::map<std::string_view, const T *> sorted;
    for (const T &entry : entries) {
        sorted.emplace(entry.name, &entry);
    }
    return sorted;
}

void addKeyChanges(const Json &before, const Json &after, const Change &pattern, std::vector<Change> &changes)
{
    Json keys = before;
    keys.update(after);
    for (const auto &entry : keys.items()) {
        const std::string &key = entry.key();
        const std::string from = before.contains(key) ? before[key].dump() : std::string();
        const std::string to = after.contains(key) ? after[key].dump() : std::string();
        if (from != to) {
            Change change = pattern;
            change.key = key;
            change.before = from;
            change.after = to;
            changes.push_back(std::move(change));
        }
    }
}

template<typename T>
void diffSection(const std::string &section, std::span<const T> before, std::span<const T> after, std::vector<Change> &changes)
{
    const auto old = byName(before);
    const auto now = byName(after);
    auto names = old;
    names.insert(now.begin(), now.end());
    for (const auto &[name, entry] : names) {
        const auto was = old.find(name);
        const auto is = now.find(name);
        Change change{.kind = ChangeKind::Changed, .section = section, .name = std::string(name), .key = {}, .before = {}, .after = {}};
        if (was == old.end()) {
            change.kind = ChangeKind::Added;
            change.after = toJson(*is->second).dump();
            changes.push_back(std::move(change));
        } else if (is == now.end()) {
            change.kind = ChangeKind::Removed;
            change.before = toJson(*was->second).dump();
            changes.push_back(std::move(change));
        } else {
            addKeyChanges(toJson(*was->second), toJson(*is->second), change, changes);
        }
    }
}

} // namespace

std::vector<Change> diffManifests(const Manifest &before, const Manifest &after)
{
    std::vector<Change> changes;
    diffSection("organisations", std::span(before.organisations), std::span(after.organisations), changes);
    diffSection("models", std::span(before.models), std::span(after.models), changes);
    diffSection("endpoints", std::span(before.endpoints), std::span(after.endpoints), changes);
    diffSection("groups", std::span(before.groups), std::span(after.groups), changes);
    diffSection("services", std::span(before.services), std::span(after.services), changes);
    return changes;
}

std::vector<Change> diffDocuments(const std::string &section, std::span<const NamedDocument> before, std::span<const NamedDocument> after)
{
    std::vector<Change> changes;
    diffSection(section, before, after, changes);
    return changes;
}

std::string toString(const Change &change)
{
    switch (change.kind) {
    case ChangeKind::Added:
        return fmt::format("+ {}/{} {}", change.section, change.name, change.after);
    case ChangeKind::Removed:
        return fmt::format("- {}/{}", change.section, change.name);
    case ChangeKind::Changed:
        break;
    }
    const std::string_view before = change.before.empty() ? "(default)" : std::string_view(change.before);
    const std::string_view after = change.after.empty() ? "(default)" : std::string_view(change.after);
    return fmt::format("~ {}/{} {}: {} -> {}", change.section, change.name, change.key, before, after);
}

} // namespace magnolia::manifest
