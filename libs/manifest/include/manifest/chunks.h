#ifndef MAGNOLIA_MANIFEST_CHUNKS_H
#define MAGNOLIA_MANIFEST_CHUNKS_H

#include "base/failure.h"
#include "manifest/digest.h"
#include "manifest/manifest.h"

#include <cstddef>
#include <map>
#include <string>

namespace magnolia::manifest
{

/** Largest chunk that is taken from a peer or the store. */
constexpr std::size_t MaxChunkBytes = 4U << 20U;

/** A manifest cut into pieces that are named by their content. */
struct ChunkSet {
    Digest root;
    std::map<Digest, std::string> chunks; ///< All of them, the root included.
};

/**
 * Cuts a checked manifest into canonical chunks: equal values give equal bytes, whatever order they were written in.
 *
 * Chunks are JSON with sorted keys and without defaults. The root holds the version and the hashes of: models, endpoints,
 * groups, services, and branches; a branch lists shards, a shard holds the organisations whose names' hashes begin alike.
 * So a change of one organisation among 20,000 makes a new root, branch and shard, a few kilobytes together.
 */
ChunkSet split(const Manifest &manifest);

/** @return the object store's name of a chunk. */
std::string objectName(const Digest &hash);

} // namespace magnolia::manifest

#endif
