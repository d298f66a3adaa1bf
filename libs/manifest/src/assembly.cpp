#include "manifest/assembly.h"

#include "check.h"
#include "indexdata.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace magnolia::manifest
{

namespace
{

/** Place of each kind of chunk in ChunkBody. */
enum Kind : std::size_t {
    Root = 0,
    Branch = 1,
    Shard = 2,
    Models = 3,
    Endpoints = 4,
    Groups = 5,
    Services = 6,
};

tl::unexpected<Failure> broken(std::string detail)
{
    return fail(ErrorCode::BadInput, Verdict::NotRun, "manifest: " + std::move(detail));
}

template<typename T>
const T &bodyOf(const ChunkMap &chunks, const Digest &hash)
{
    return std::get<T>(chunks.at(hash)->body);
}

} // namespace

struct Assembly::Parts {
    Target target;
    ManifestIndex::Pointer earlier;
    ChunkMap spare; ///< Of an unfinished assembly.
    ChunkMap chunks;
    std::unordered_map<Digest, std::size_t> missing; ///< With the kind that it must have.
    std::vector<Digest> discovered; ///< Those of missing that nobody has been told of.

    // Takes a chunk over from the earlier version, or notes that it is lacking. Fails if it is there with another kind.
    Result<void> want(const Digest &hash, std::size_t kind)
    {
        if (const auto known = chunks.find(hash); known != chunks.end()) {
            return checkKind(*known->second, kind);
        }
        if (earlier != nullptr) {
            const auto reused = earlier->data_->chunks.find(hash);
            if (reused != earlier->data_->chunks.end()) {
                return accept(hash, reused->second, kind);
            }
        }
        if (const auto reused = spare.find(hash); reused != spare.end()) {
            return accept(hash, reused->second, kind);
        }
        const auto [entry, isNew] = missing.emplace(hash, kind);
        if (isNew) {
            discovered.push_back(hash);
        } else if (entry->second != kind) {
            return broken("one chunk stands for two kinds");
        }
        return {};
    }

    Result<void> accept(const Digest &hash, ChunkPointer chunk, std::size_t kind)
    {
        if (auto fits = checkKind(*chunk, kind); !fits) {
            return fits;
        }
        const DecodedChunk &decoded = *chunk;
        chunks.emplace(hash, std::move(chunk));
        return wantChildren(decoded);
    }

    static Result<void> checkKind(const DecodedChunk &chunk, std::size_t kind)
    {
        if (chunk.body.index() != kind) {
            return broken("a chunk is of another kind than its parent says");
        }
        return {};
    }

    Result<void> wantChildren(const DecodedChunk &chunk)
    {
        if (const auto *root = std::get_if<RootChunk>(&chunk.body)) {
            return wantOfRoot(*root);
        }
        if (const auto *branch = std::get_if<BranchChunk>(&chunk.body)) {
            return wantAll(branch->shards, Kind::Shard);
        }
        return {};
    }

    Result<void> wantOfRoot(const RootChunk &root)
    {
        if (root.version != target.version) {
            return broken(fmt::format("the root says version {}, the head {}", root.version, target.version));
        }
        if (root.branches.size() != std::size_t{1} << branchBitsFor(root.shardBits)) {
            return broken("the root lists a wrong number of branches");
        }
        const std::array<std::pair<Digest, Kind>, 4> sections = {{
            {root.models, Kind::Models},
            {root.endpoints, Kind::Endpoints},
            {root.groups, Kind::Groups},
            {root.services, Kind::Services},
        }};
        for (const auto &[hash, kind] : sections) {
            if (auto wanted = want(hash, kind); !wanted) {
                return wanted;
            }
        }
        return wantAll(root.branches, Kind::Branch);
    }

    Result<void> wantAll(const std::vector<Digest> &hashes, std::size_t kind)
    {
        for (const Digest &hash : hashes) {
            if (auto wanted = want(hash, kind); !wanted) {
                return wanted;
            }
        }
        return {};
    }

    // The chunks that this version no longer refers to are not carried along: chunks holds only what was wanted.
    Result<void> link(ManifestIndex::Data &data)
    {
        data.rootDigest = target.root;
        data.rootText = target.root.toString();
        data.chunks = std::move(chunks);
        data.root = &bodyOf<RootChunk>(data.chunks, target.root);
        data.models = &bodyOf<SectionChunk<Model>>(data.chunks, data.root->models).entries;
        data.endpoints = &bodyOf<SectionChunk<Endpoint>>(data.chunks, data.root->endpoints).entries;
        data.groups = &bodyOf<SectionChunk<Group>>(data.chunks, data.root->groups).entries;
        data.services = &bodyOf<SectionChunk<Service>>(data.chunks, data.root->services).entries;
        linkEndpoints(data);
        if (auto checked = checkSections(data); !checked) {
            return checked;
        }
        if (auto linked = linkShards(data); !linked) {
            return linked;
        }
        return linkKeys(data);
    }

    static void linkEndpoints(ManifestIndex::Data &data)
    {
        for (const Endpoint &endpoint : *data.endpoints) {
            for (const std::string &model : endpoint.models) {
                data.endpointsOfModel[model].push_back(&endpoint);
            }
            if (!endpoint.service.empty()) {
                data.endpointsOfService[endpoint.service].push_back(&endpoint);
            }
            if (!endpoint.group.empty()) {
                data.ranksOfGroup[endpoint.group].push_back(&endpoint);
            }
        }
        for (auto &[group, ranks] : data.ranksOfGroup) {
            std::sort(ranks.begin(), ranks.end(), [](const Endpoint *a, const Endpoint *b) { return a->rank < b->rank; });
        }
    }

    // `magnoliactl` has checked the whole; this guards against a writer that did not. References from organisations are
    // left out, since they are many and the lookups answer "not found" to an unknown one.
    static Result<void> checkSections(const ManifestIndex::Data &data)
    {
        Manifest sections;
        sections.models = *data.models;
        sections.endpoints = *data.endpoints;
        sections.groups = *data.groups;
        sections.services = *data.services;
        ProblemList problems(1);
        checkManifest(sections, problems);
        if (!problems.all().empty()) {
            const LocatedProblem &problem = problems.all().front();
            return broken(fmt::format("{}: {}", problem.pointer.to_string(), problem.message));
        }
        return {};
    }

    Result<void> linkShards(ManifestIndex::Data &data) const
    {
        const std::uint32_t shardBits = data.root->shardBits;
        const std::size_t perBranch = (std::size_t{1} << shardBits) >> branchBitsFor(shardBits);
        std::uint64_t count = 0;
        for (const Digest &branchHash : data.root->branches) {
            const auto &branch = bodyOf<BranchChunk>(data.chunks, branchHash);
            if (branch.shards.size() != perBranch) {
                return broken("a branch lists a wrong number of shards");
            }
            for (const Digest &hash : branch.shards) {
                const auto &shard = bodyOf<ShardChunk>(data.chunks, hash);
                data.shards.push_back(&shard);
                count += shard.organisations.size();
                if (!isChecked(data, shard) && !isInPlace(shard, data.shards.size() - 1, shardBits)) {
                    return broken("an organisation stands in the wrong shard");
                }
            }
        }
        if (count != data.root->organisationCount) {
            return broken(fmt::format("the root says {} organisations, its shards hold {}", data.root->organisationCount, count));
        }
        return {};
    }

    // A shard that stands where it stood in the earlier version need not be hashed again.
    bool isChecked(const ManifestIndex::Data &data, const ShardChunk &shard) const
    {
        if (earlier == nullptr || earlier->data_->root->shardBits != data.root->shardBits) {
            return false;
        }
        return earlier->data_->shards[data.shards.size() - 1] == &shard;
    }

    // A misplaced organisation could not be found by name, and the same one might stand twice.
    static bool isInPlace(const ShardChunk &shard, std::size_t number, std::uint32_t shardBits)
    {
        return std::all_of(shard.organisations.begin(), shard.organisations.end(), [=](const Organisation &organisation) {
            return shardOf(organisation.name, shardBits) == number;
        });
    }

    static Result<void> linkKeys(ManifestIndex::Data &data)
    {
        std::size_t count = 0;
        for (const ShardChunk *shard : data.shards) {
            count += shard->keys.size();
        }
        data.keys.reserve(count);
        for (const ShardChunk *shard : data.shards) {
            for (const ShardKey &key : shard->keys) {
                const std::uint64_t prefix = keyPrefix(key.hash);
                const auto [begin, end] = data.keys.equal_range(prefix);
                const bool isTaken = std::any_of(begin, end, [&key](const auto &entry) { return *entry.second.hash == key.hash; });
                if (isTaken) {
                    return broken("two organisations have the same key");
                }
                data.keys.emplace(prefix, KeyOwner{.hash = &key.hash, .organisation = &shard->organisations[key.organisation]});
            }
        }
        return {};
    }
};

Assembly::Assembly(const Target &target, ManifestIndex::Pointer earlier, const Assembly *unfinished) : parts_(std::make_unique<Parts>())
{
    parts_->target = target;
    parts_->earlier = std::move(earlier);
    if (unfinished != nullptr) {
        parts_->spare = unfinished->parts_->chunks;
        parts_->spare.insert(unfinished->parts_->spare.begin(), unfinished->parts_->spare.end());
    }
    parts_->missing.emplace(target.root, Kind::Root);
    parts_->discovered.push_back(target.root);
}

Assembly::~Assembly() = default;
Assembly::Assembly(Assembly &&) noexcept = default;
Assembly &Assembly::operator=(Assembly &&) noexcept = default;

const Assembly::Target &Assembly::target() const
{
    return parts_->target;
}

std::vector<Digest> Assembly::missing() const
{
    std::vector<Digest> hashes;
    hashes.reserve(parts_->missing.size());
    for (const auto &[hash, kind] : parts_->missing) {
        hashes.push_back(hash);
    }
    std::sort(hashes.begin(), hashes.end());
    return hashes;
}

std::vector<Digest> Assembly::takeDiscovered()
{
    return std::exchange(parts_->discovered, {});
}

Result<void> Assembly::add(const Digest &hash, std::string_view data)
{
    const auto wanted = parts_->missing.find(hash);
    if (wanted == parts_->missing.end()) {
        return {}; // A second copy, or one that is not needed.
    }
    if (Digest::of(data) != hash) {
        return fail(ErrorCode::ProtocolError, Verdict::NotRun, "a manifest chunk does not fit its hash");
    }
    auto chunk = decodeChunk(data);
    if (!chunk) {
        return tl::unexpected(std::move(chunk.error()));
    }
    const std::size_t kind = wanted->second;
    parts_->missing.erase(wanted);
    return parts_->accept(hash, std::move(*chunk), kind);
}

bool Assembly::isComplete() const
{
    return parts_->missing.empty();
}

Result<ManifestIndex::Pointer> Assembly::finish()
{
    auto data = std::make_unique<ManifestIndex::Data>();
    if (auto linked = parts_->link(*data); !linked) {
        return tl::unexpected(std::move(linked.error()));
    }
    return ManifestIndex::Pointer(new ManifestIndex(std::move(data)));
}

} // namespace magnolia::manifest
