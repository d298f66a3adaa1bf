#ifndef MAGNOLIA_MANIFEST_ASSEMBLY_H
#define MAGNOLIA_MANIFEST_ASSEMBLY_H

#include "base/failure.h"
#include "manifest/digest.h"
#include "manifest/manifestindex.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace magnolia::manifest
{

/**
 * Puts one version of the manifest together from chunks that come in any order.
 *
 * Takes what it can from an earlier version. Each chunk is checked against its hash and its shape as it comes and decoded
 * at once, so that no second copy of the manifest stands in memory. Not for use by several threads.
 *
 * @code
 * Assembly assembly({.version = 8, .root = head.root}, current);
 * for (const Digest &hash : assembly.missing()) { ... assembly.add(hash, fetched) ... }
 * if (assembly.isComplete()) { Result<ManifestIndex::Pointer> next = assembly.finish(); }
 * @endcode
 */
class Assembly
{
public:
    struct Target {
        std::uint64_t version = 0;
        Digest root;
    };

    /**
     * @param earlier a version to take unchanged chunks from; may be null.
     * @param unfinished an assembly that is given up for this one, and whose chunks are taken over; may be null.
     */
    explicit Assembly(const Target &target, ManifestIndex::Pointer earlier = nullptr, const Assembly *unfinished = nullptr);
    ~Assembly();
    Assembly(Assembly &&) noexcept;
    Assembly &operator=(Assembly &&) noexcept;

    const Target &target() const;

    /** @return the chunks known to be lacking; more may turn up once these are here. */
    std::vector<Digest> missing() const;

    /** @return those of missing() that no earlier call has returned. */
    std::vector<Digest> takeDiscovered();

    /**
     * Takes a chunk; one that is not missing is ignored. Fails with ProtocolError if its bytes do not fit the hash, so
     * that another source may have it, and with BadInput or TooLarge if the manifest itself is broken.
     */
    Result<void> add(const Digest &hash, std::string_view data);

    bool isComplete() const;

    /** Checks the whole and hands it over; call once, when complete. Fails with BadInput, e.g. if the versions differ. */
    Result<ManifestIndex::Pointer> finish();

private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

} // namespace magnolia::manifest

#endif
