#include "manifest/chunks.h"

#include "chunkcodec.h"

#include <algorithm>
#include <vector>

namespace magnolia::manifest
{

namespace
{

Digest put(ChunkSet &set, std::string bytes)
{
    const Digest digest = Digest::of(bytes);
    set.chunks.emplace(digest, std::move(bytes));
    return digest;
}

std::vector<Digest> putShards(ChunkSet &set, const std::vector<Organisation> &organisations, std::uint32_t shardBits)
{
    std::vector<std::vector<const Organisation *>> shards(std::size_t{1} << shardBits);
    for (const Organisation &organisation : organisations) {
        shards[shardOf(organisation.name, shardBits)].push_back(&organisation);
    }
    std::vector<Digest> digests;
    digests.reserve(shards.size());
    for (auto &shard : shards) {
        std::sort(shard.begin(), shard.end(), [](const Organisation *a, const Organisation *b) { return a->name < b->name; });
        digests.push_back(put(set, encodeShard(shard)));
    }
    return digests;
}

std::vector<Digest> putBranches(ChunkSet &set, const std::vector<Digest> &shards, std::uint32_t shardBits)
{
    const std::size_t perBranch = shards.size() >> branchBitsFor(shardBits);
    std::vector<Digest> digests;
    for (auto begin = shards.begin(); begin != shards.end(); begin += static_cast<std::ptrdiff_t>(perBranch)) {
        const BranchChunk branch{.shards = {begin, begin + static_cast<std::ptrdiff_t>(perBranch)}};
        digests.push_back(put(set, encodeBranch(branch)));
    }
    return digests;
}

} // namespace

ChunkSet split(const Manifest &manifest)
{
    ChunkSet set;
    RootChunk root;
    root.version = manifest.version;
    root.organisationCount = manifest.organisations.size();
    root.shardBits = shardBitsFor(manifest.organisations.size());
    root.branches = putBranches(set, putShards(set, manifest.organisations, root.shardBits), root.shardBits);
    root.models = put(set, encodeModels(manifest.models));
    root.endpoints = put(set, encodeEndpoints(manifest.endpoints));
    root.groups = put(set, encodeGroups(manifest.groups));
    root.services = put(set, encodeServices(manifest.services));
    set.root = put(set, encodeRoot(root));
    return set;
}

std::string objectName(const Digest &hash)
{
    return "manifest-" + hash.toString();
}

} // namespace magnolia::manifest
