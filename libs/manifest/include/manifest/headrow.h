#ifndef MAGNOLIA_MANIFEST_HEADROW_H
#define MAGNOLIA_MANIFEST_HEADROW_H

#include "base/failure.h"
#include "manifest/digest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::manifest
{

/** Key of the table's row that says which version is in force. */
constexpr std::string_view HeadRowKey = "manifest/head";

/** One version that was put in force. */
struct HeadEntry {
    std::uint64_t version = 0;
    Digest root;
    std::string applyId; ///< Names the run of `magnoliactl apply` that wrote it.
};

/** The head row's value: the version in force, and the few before it. */
struct HeadRow {
    /** As many earlier versions are kept, so that a lost reply can be settled and a rival's changes shown. */
    static constexpr std::size_t MaxHistory = 16;

    HeadEntry head;
    std::vector<HeadEntry> history; ///< Newest first.

    /** @return the row that follows this one. */
    HeadRow next(const Digest &root, std::string applyId) const;

    /** @return the entry that this run of apply wrote, if it is the head or in the history. */
    const HeadEntry *find(std::string_view applyId) const;
    const HeadEntry *find(std::uint64_t version) const;

    std::string encode() const;
    static Result<HeadRow> decode(std::string_view text);
};

} // namespace magnolia::manifest

#endif
