#include "chunkcodec.h"

#include "jsontext.h"
#include "manifest/chunks.h"
#include "schema.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace magnolia::manifest
{

namespace
{

constexpr std::uint32_t FormatVersion = 1;
constexpr std::size_t MaxChunkDepth = 8;
// A change moves one shard, a start reads them all: small shards make a change cheap and a start of every daemon at once
// dear. At 20,000 organisations this gives 64 shards: 81 KB a change, 77 reads a start; see docs/MANIFEST.md.
constexpr std::size_t OrganisationsPerShard = 320;
constexpr unsigned BitsPerByte = 8;

Json toJson(const std::vector<Digest> &digests)
{
    Json list = Json::array();
    for (const Digest &digest : digests) {
        list.push_back(digest.toString());
    }
    return list;
}

template<typename T>
std::string encodeSection(const char *kind, const std::vector<T> &entries)
{
    std::vector<const T *> sorted;
    sorted.reserve(entries.size());
    for (const T &entry : entries) {
        sorted.push_back(&entry);
    }
    std::sort(sorted.begin(), sorted.end(), [](const T *a, const T *b) { return a->name < b->name; });
    Json list = Json::array();
    for (const T *entry : sorted) {
        list.push_back(magnolia::manifest::toJson(*entry));
    }
    return Json({{"kind", kind}, {"entries", std::move(list)}}).dump();
}

Digest readDigest(ObjectReader &reader, const char *key, const Json &value, ProblemList &problems)
{
    reader.require(key);
    const auto entry = value.find(key);
    const auto digest = entry != value.end() && entry->is_string() ? Digest::parse(entry->get_ref<const std::string &>()) : std::nullopt;
    if (!digest) {
        problems.add(Pointer() / key, "expected a hash");
    }
    std::string known;
    reader.name(key, known);
    return digest.value_or(Digest{});
}

std::vector<Digest> readDigests(ObjectReader &reader, const char *key)
{
    std::vector<std::string> texts;
    reader.require(key).digests(key, texts);
    std::vector<Digest> digests;
    digests.reserve(texts.size());
    for (const std::string &text : texts) {
        digests.push_back(*Digest::parse(text));
    }
    return digests;
}

RootChunk readRoot(ObjectReader &reader, const Json &value, ProblemList &problems)
{
    constexpr std::uint64_t AnyNumber = std::numeric_limits<std::int64_t>::max();
    RootChunk root;
    std::uint32_t format = 0;
    reader.require("format").integer("format", format, FormatVersion, FormatVersion);
    reader.require("version").integer("version", root.version, std::uint64_t{1}, AnyNumber);
    reader.require("organisations").integer("organisations", root.organisationCount, std::uint64_t{0}, AnyNumber);
    reader.require("shard_bits").integer("shard_bits", root.shardBits, 0, MaxShardBits);
    root.branches = readDigests(reader, "branches");
    root.models = readDigest(reader, "models", value, problems);
    root.endpoints = readDigest(reader, "endpoints", value, problems);
    root.groups = readDigest(reader, "groups", value, problems);
    root.services = readDigest(reader, "services", value, problems);
    return root;
}

template<typename T>
void checkSorted(const std::vector<T> &entries, ProblemList &problems)
{
    for (std::size_t i = 1; i < entries.size(); ++i) {
        if (entries[i - 1].name >= entries[i].name) {
            problems.add(Pointer() / "entries" / i, "entries are not sorted by name");
        }
    }
}

template<typename T, typename Read>
std::vector<T> readEntries(ObjectReader &reader, ProblemList &problems, Read read)
{
    std::vector<T> entries;
    reader.require("entries").objects("entries", entries, read);
    entries.shrink_to_fit();
    checkSorted(entries, problems);
    return entries;
}

ShardChunk readShard(ObjectReader &reader, ProblemList &problems)
{
    ShardChunk shard{.organisations = readEntries<Organisation>(reader, problems, readOrganisation), .keys = {}};
    for (std::size_t i = 0; i < shard.organisations.size(); ++i) {
        for (const std::string &hash : shard.organisations[i].keyHashes) {
            shard.keys.push_back({.hash = *Digest::parse(hash), .organisation = static_cast<std::uint32_t>(i)});
        }
        shard.organisations[i].keyHashes = {};
    }
    shard.keys.shrink_to_fit();
    return shard;
}

std::optional<ChunkBody> readBody(std::string_view kind, ObjectReader &reader, const Json &value, ProblemList &problems)
{
    if (kind == "root") {
        return readRoot(reader, value, problems);
    }
    if (kind == "branch") {
        return BranchChunk{.shards = readDigests(reader, "shards")};
    }
    if (kind == "shard") {
        return readShard(reader, problems);
    }
    if (kind == "models") {
        return SectionChunk<Model>{readEntries<Model>(reader, problems, readModel)};
    }
    if (kind == "endpoints") {
        return SectionChunk<Endpoint>{readEntries<Endpoint>(reader, problems, readEndpoint)};
    }
    if (kind == "groups") {
        return SectionChunk<Group>{readEntries<Group>(reader, problems, readGroup)};
    }
    if (kind == "services") {
        return SectionChunk<Service>{readEntries<Service>(reader, problems, readService)};
    }
    return std::nullopt;
}

} // namespace

std::string encodeRoot(const RootChunk &root)
{
    return Json({{"kind", "root"},
                 {"format", FormatVersion},
                 {"version", root.version},
                 {"organisations", root.organisationCount},
                 {"shard_bits", root.shardBits},
                 {"branches", toJson(root.branches)},
                 {"models", root.models.toString()},
                 {"endpoints", root.endpoints.toString()},
                 {"groups", root.groups.toString()},
                 {"services", root.services.toString()}})
        .dump();
}

std::string encodeBranch(const BranchChunk &branch)
{
    return Json({{"kind", "branch"}, {"shards", toJson(branch.shards)}}).dump();
}

std::string encodeShard(const std::vector<const Organisation *> &organisations)
{
    Json list = Json::array();
    for (const Organisation *organisation : organisations) {
        list.push_back(magnolia::manifest::toJson(*organisation));
    }
    return Json({{"kind", "shard"}, {"entries", std::move(list)}}).dump();
}

std::string encodeModels(const std::vector<Model> &models)
{
    return encodeSection("models", models);
}

std::string encodeEndpoints(const std::vector<Endpoint> &endpoints)
{
    return encodeSection("endpoints", endpoints);
}

std::string encodeGroups(const std::vector<Group> &groups)
{
    return encodeSection("groups", groups);
}

std::string encodeServices(const std::vector<Service> &services)
{
    return encodeSection("services", services);
}

Result<std::shared_ptr<const DecodedChunk>> decodeChunk(std::string_view bytes)
{
    if (bytes.size() > MaxChunkBytes) {
        return fail(ErrorCode::TooLarge, Verdict::NotRun, fmt::format("a manifest chunk of {} bytes", bytes.size()));
    }
    ProblemList problems(1);
    const auto value = parseJson(bytes, MaxChunkDepth, problems);
    if (!value) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "a manifest chunk is no JSON: " + value.error().message);
    }
    if (!value->is_object() || !value->contains("kind") || !(*value)["kind"].is_string()) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "a manifest chunk without a kind");
    }
    ObjectReader reader(*value, Pointer(), problems);
    std::string kind;
    reader.name("kind", kind);
    auto body = readBody(kind, reader, *value, problems);
    if (!body) {
        return fail(ErrorCode::BadInput, Verdict::NotRun, "a manifest chunk of an unknown kind");
    }
    reader.finish();
    if (!problems.all().empty()) {
        const LocatedProblem &problem = problems.all().front();
        return fail(
            ErrorCode::BadInput, Verdict::NotRun, fmt::format("a manifest chunk of kind {}: {}: {}", kind, problem.pointer.to_string(), problem.message));
    }
    return std::make_shared<const DecodedChunk>(DecodedChunk{.bytes = std::string(bytes), .body = std::move(*body)});
}

std::uint32_t shardBitsFor(std::size_t organisations)
{
    std::uint32_t bits = 0;
    while (bits < MaxShardBits && (organisations >> bits) > OrganisationsPerShard) {
        ++bits;
    }
    return bits;
}

std::uint32_t shardOf(std::string_view organisation, std::uint32_t shardBits)
{
    constexpr unsigned PrefixBits = 2 * BitsPerByte;
    const Digest digest = Digest::of(organisation);
    const std::uint32_t prefix = (std::uint32_t{digest.bytes[0]} << BitsPerByte) | digest.bytes[1];
    return prefix >> (PrefixBits - shardBits);
}

std::uint32_t branchBitsFor(std::uint32_t shardBits)
{
    // Half of the bits each: root and branch are then of like size, and the two together smallest.
    return shardBits / 2;
}

} // namespace magnolia::manifest
