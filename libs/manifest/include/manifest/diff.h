#ifndef MAGNOLIA_MANIFEST_DIFF_H
#define MAGNOLIA_MANIFEST_DIFF_H

#include "manifest/manifest.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace magnolia::manifest
{

enum class ChangeKind : std::uint8_t {
    Added,
    Removed,
    Changed,
};

/** One difference between two manifests. */
struct Change {
    ChangeKind kind = ChangeKind::Changed;
    std::string section; ///< "organisations", "models", "endpoints", "groups" or "services".
    std::string name;
    std::string key; ///< The key that changed; empty if the whole entry came or went.
    std::string before; ///< As JSON; empty if there was none.
    std::string after;

    bool operator==(const Change &) const = default;
};

/** @return what leads from one manifest to the other, by section and name; the order of entries does not count. */
std::vector<Change> diffManifests(const Manifest &before, const Manifest &after);

/** An entry of some section that is no manifest's; its document is a JSON object. */
struct NamedDocument {
    std::string name;
    std::string document;
};

/** As diffManifests(), for one section of any kind. */
std::vector<Change> diffDocuments(const std::string &section, std::span<const NamedDocument> before, std::span<const NamedDocument> after);

/** @return one line: "~ organisations/karoo tier: \"trial\" -> \"paying\"". */
std::string toString(const Change &change);

} // namespace magnolia::manifest

#endif
