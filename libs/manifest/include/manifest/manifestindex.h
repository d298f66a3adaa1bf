#ifndef MAGNOLIA_MANIFEST_MANIFESTINDEX_H
#define MAGNOLIA_MANIFEST_MANIFESTINDEX_H

#include "base/failure.h"
#include "manifest/digest.h"
#include "manifest/manifest.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::manifest
{

class Assembly;

/** What a caller's "model" stands for: NAME, NAME@VERSION, NAME/ADAPTER or NAME/ADAPTER@VERSION. */
struct ModelTarget {
    const Model *model = nullptr;
    const Adapter *adapter = nullptr; ///< Null for the bare model.
    std::string_view version; ///< Version of the adapter if there is one, else of the model.
};

/** The parts of a caller's "model"; views into the text. */
struct ModelName {
    std::string_view model;
    std::string_view adapter; ///< Empty for the bare model.
    std::string_view version; ///< Empty for the current one.

    /** @return nothing if the text does not follow the grammar. */
    static std::optional<ModelName> parse(std::string_view text);
};

/**
 * One version of the manifest, ready for lookups.
 *
 * Immutable and shared by pointer, so any thread may read it; whoever holds the pointer keeps all that its lookups
 * returned alive. Versions share the organisations that did not change between them. The cost of a lookup does not depend
 * on the number of organisations.
 *
 * @code
 * ManifestIndex::Pointer index = follower.current();
 * const Organisation *organisation = index->organisationOfKey(bearerKey);
 * const Result<ModelTarget> target = index->resolveModel(*organisation, "guide/labels");
 * @endcode
 */
class ManifestIndex
{
public:
    using Pointer = std::shared_ptr<const ManifestIndex>;

    /** Builds an index from checked values. Its version is that of the manifest, at least 1. Throws if they do not fit. */
    static Pointer build(const Manifest &manifest);

    ~ManifestIndex();
    ManifestIndex(const ManifestIndex &) = delete;
    ManifestIndex &operator=(const ManifestIndex &) = delete;

    std::uint64_t version() const;
    /** @return the content hash of the root chunk, 64 hexadecimal digits. */
    const std::string &root() const;

    /**
     * @param key a bearer key as the caller sent it. @return null if nobody has it. Compares hashes in constant time.
     * The keyHashes of organisations in an index are empty: it keeps them in a form of its own.
     */
    const Organisation *organisationOfKey(std::string_view key) const;
    const Organisation *organisation(std::string_view name) const;
    std::size_t organisationCount() const;

    /** Fails with BadInput, NotFound or Forbidden, always NotRun. */
    Result<ModelTarget> resolveModel(const Organisation &organisation, std::string_view requested) const;
    /** @return the names that resolveModel takes from this organisation without a version. */
    std::vector<std::string> reachableModels(const Organisation &organisation) const;
    /** Fails with NotFound or Forbidden, always NotRun. */
    Result<const Service *> resolveService(const Organisation &organisation, std::string_view name) const;

    const Model *model(std::string_view name) const;
    const Service *service(std::string_view name) const;
    const Endpoint *endpoint(std::string_view name) const;
    const Group *group(std::string_view name) const;
    /** @return the endpoints that shall serve the model, in the order of their names. */
    std::span<const Endpoint *const> endpointsOfModel(std::string_view model) const;
    std::span<const Endpoint *const> endpointsOfService(std::string_view service) const;
    /** @return the endpoints of the group in the order of their ranks. */
    std::span<const Endpoint *const> ranksOfGroup(std::string_view group) const;

    std::span<const Model> models() const;
    std::span<const Endpoint> endpoints() const;
    std::span<const Group> groups() const;
    std::span<const Service> services() const;

    /** @return the bytes of one of this version's chunks, for a peer that lacks it; nothing if it is not one of them. */
    std::optional<std::string> chunk(const Digest &hash) const;

    /** @return a copy as plain values. */
    Manifest toManifest() const;

private:
    friend class Assembly;
    struct Data;
    explicit ManifestIndex(std::unique_ptr<const Data> data);
    std::unique_ptr<const Data> data_;
};

} // namespace magnolia::manifest

#endif
