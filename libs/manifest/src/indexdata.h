#ifndef MAGNOLIA_MANIFEST_INDEXDATA_H
#define MAGNOLIA_MANIFEST_INDEXDATA_H

#include "chunkcodec.h"
#include "manifest/manifestindex.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace magnolia::manifest
{

using ChunkPointer = std::shared_ptr<const DecodedChunk>;
using ChunkMap = std::unordered_map<Digest, ChunkPointer>;

/** Whose key a hash is; both point into a shard. */
struct KeyOwner {
    const Digest *hash = nullptr;
    const Organisation *organisation = nullptr;
};

/** What a ManifestIndex holds. The chunks own everything; the rest points into them. */
struct ManifestIndex::Data {
    Digest rootDigest;
    std::string rootText;
    ChunkMap chunks;
    const RootChunk *root = nullptr;
    std::vector<const ShardChunk *> shards; ///< By number.
    const std::vector<Model> *models = nullptr;
    const std::vector<Endpoint> *endpoints = nullptr;
    const std::vector<Group> *groups = nullptr;
    const std::vector<Service> *services = nullptr;

    /** By the first bytes of the hash; the whole is then compared in constant time. */
    std::unordered_multimap<std::uint64_t, KeyOwner> keys;
    std::unordered_map<std::string_view, std::vector<const Endpoint *>> endpointsOfModel;
    std::unordered_map<std::string_view, std::vector<const Endpoint *>> endpointsOfService;
    std::unordered_map<std::string_view, std::vector<const Endpoint *>> ranksOfGroup;
};

/** @return the part of a key's hash that ManifestIndex::Data::keys is ordered by. */
std::uint64_t keyPrefix(const Digest &hash);

} // namespace magnolia::manifest

#endif
