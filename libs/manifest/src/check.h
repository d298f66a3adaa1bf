#ifndef MAGNOLIA_MANIFEST_CHECK_H
#define MAGNOLIA_MANIFEST_CHECK_H

#include "manifest/manifest.h"
#include "objectreader.h"

namespace magnolia::manifest
{

/** Checks what the entries of a manifest say about each other: names, references, ranks, slots, floors. */
void checkManifest(const Manifest &manifest, ProblemList &problems);

} // namespace magnolia::manifest

#endif
