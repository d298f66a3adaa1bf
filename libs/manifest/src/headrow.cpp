#include "manifest/headrow.h"

#include "jsontext.h"

#include <algorithm>

namespace magnolia::manifest
{

namespace
{

constexpr std::size_t MaxRowBytes = 64U << 10U;
constexpr std::size_t MaxRowDepth = 4;
constexpr std::size_t MaxApplyIdBytes = 128;

Json toJson(const HeadEntry &entry)
{
    return {{"version", entry.version}, {"root", entry.root.toString()}, {"apply_id", entry.applyId}};
}

std::optional<HeadEntry> readEntry(const Json &value)
{
    if (!value.is_object()) {
        return std::nullopt;
    }
    const auto version = value.find("version");
    const auto root = value.find("root");
    const auto applyId = value.find("apply_id");
    const bool hasAll = version != value.end() && root != value.end() && applyId != value.end();
    if (!hasAll || !version->is_number_unsigned() || !root->is_string() || !applyId->is_string()) {
        return std::nullopt;
    }
    const auto digest = Digest::parse(root->get_ref<const std::string &>());
    HeadEntry entry{.version = version->get<std::uint64_t>(), .root = digest.value_or(Digest{}), .applyId = applyId->get<std::string>()};
    if (!digest || entry.version == 0 || entry.applyId.size() > MaxApplyIdBytes) {
        return std::nullopt;
    }
    return entry;
}

} // namespace

HeadRow HeadRow::next(const Digest &root, std::string applyId) const
{
    HeadRow row;
    row.head = {.version = head.version + 1, .root = root, .applyId = std::move(applyId)};
    if (head.version != 0) {
        row.history.push_back(head);
    }
    const std::size_t kept = std::min(history.size(), MaxHistory - row.history.size());
    row.history.insert(row.history.end(), history.begin(), history.begin() + static_cast<std::ptrdiff_t>(kept));
    return row;
}

const HeadEntry *HeadRow::find(std::string_view applyId) const
{
    if (head.applyId == applyId) {
        return &head;
    }
    const auto entry = std::find_if(history.begin(), history.end(), [applyId](const HeadEntry &candidate) { return candidate.applyId == applyId; });
    return entry == history.end() ? nullptr : &*entry;
}

const HeadEntry *HeadRow::find(std::uint64_t version) const
{
    if (head.version == version) {
        return &head;
    }
    const auto entry = std::find_if(history.begin(), history.end(), [version](const HeadEntry &candidate) { return candidate.version == version; });
    return entry == history.end() ? nullptr : &*entry;
}

std::string HeadRow::encode() const
{
    Json value = toJson(head);
    if (!history.empty()) {
        Json list = Json::array();
        for (const HeadEntry &entry : history) {
            list.push_back(toJson(entry));
        }
        value["history"] = std::move(list);
    }
    return value.dump();
}

Result<HeadRow> HeadRow::decode(std::string_view text)
{
    ProblemList problems(1);
    if (text.size() > MaxRowBytes) {
        return fail(ErrorCode::TooLarge, Verdict::NotRun, "the manifest's head row is too large");
    }
    const auto value = parseJson(text, MaxRowDepth, problems);
    const auto head = value ? readEntry(*value) : std::nullopt;
    if (!head || !problems.all().empty()) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "the manifest's head row is malformed");
    }
    HeadRow row{.head = *head, .history = {}};
    const auto history = value->find("history");
    if (history == value->end()) {
        return row;
    }
    for (const Json &item : *history) {
        const auto entry = readEntry(item);
        if (!entry || row.history.size() == MaxHistory) {
            return fail(ErrorCode::BadInput, Verdict::NotRun, "the history in the manifest's head row is malformed");
        }
        row.history.push_back(*entry);
    }
    return row;
}

} // namespace magnolia::manifest
