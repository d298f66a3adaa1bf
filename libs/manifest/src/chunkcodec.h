#ifndef MAGNOLIA_MANIFEST_CHUNKCODEC_H
#define MAGNOLIA_MANIFEST_CHUNKCODEC_H

#include "base/failure.h"
#include "manifest/digest.h"
#include "manifest/manifest.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/** The chunks' form, see manifest/chunks.h. */
namespace magnolia::manifest
{

/** Most bits of a name's hash that choose the shard. */
constexpr std::uint32_t MaxShardBits = 12;

struct RootChunk {
    std::uint64_t version = 0;
    std::uint64_t organisationCount = 0;
    std::uint32_t shardBits = 0;
    std::vector<Digest> branches;
    Digest models;
    Digest endpoints;
    Digest groups;
    Digest services;
};

struct BranchChunk {
    std::vector<Digest> shards;
};

/** The hash of a bearer key and the place of its organisation in the shard. */
struct ShardKey {
    Digest hash;
    std::uint32_t organisation = 0;
};

/** The organisations' keyHashes stand in keys instead, at a third of the memory. */
struct ShardChunk {
    std::vector<Organisation> organisations; ///< Sorted by name.
    std::vector<ShardKey> keys;
};

/** A list of models, endpoints, groups or services, sorted by name. */
template<typename T>
struct SectionChunk {
    std::vector<T> entries;
};

using ChunkBody = std::variant<RootChunk, BranchChunk, ShardChunk, SectionChunk<Model>, SectionChunk<Endpoint>, SectionChunk<Group>, SectionChunk<Service>>;

/** A chunk as bytes, for peers that lack it, and as values. */
struct DecodedChunk {
    std::string bytes;
    ChunkBody body;
};

std::string encodeRoot(const RootChunk &root);
std::string encodeBranch(const BranchChunk &branch);
std::string encodeShard(const std::vector<const Organisation *> &organisations);
std::string encodeModels(const std::vector<Model> &models);
std::string encodeEndpoints(const std::vector<Endpoint> &endpoints);
std::string encodeGroups(const std::vector<Group> &groups);
std::string encodeServices(const std::vector<Service> &services);

/** Fails with BadInput if the bytes are no chunk. Does not look at the hash. */
Result<std::shared_ptr<const DecodedChunk>> decodeChunk(std::string_view bytes);

/** @return how many bits of a name's hash choose the shard among so many organisations. */
std::uint32_t shardBitsFor(std::size_t organisations);

/** @return the number of the shard that an organisation belongs to. */
std::uint32_t shardOf(std::string_view organisation, std::uint32_t shardBits);

/** @return how many bits of a shard's number choose the branch. */
std::uint32_t branchBitsFor(std::uint32_t shardBits);

} // namespace magnolia::manifest

#endif
