#ifndef MAGNOLIA_MANIFEST_SCHEMA_H
#define MAGNOLIA_MANIFEST_SCHEMA_H

#include "manifest/manifest.h"
#include "objectreader.h"

/** The manifest's form in JSON, shared by the manifests that operators write and by the chunks. */
namespace magnolia::manifest
{

Organisation readOrganisation(const Json &value, const Pointer &pointer, ProblemList &problems);
Model readModel(const Json &value, const Pointer &pointer, ProblemList &problems);
Endpoint readEndpoint(const Json &value, const Pointer &pointer, ProblemList &problems);
Group readGroup(const Json &value, const Pointer &pointer, ProblemList &problems);
Service readService(const Json &value, const Pointer &pointer, ProblemList &problems);
Manifest readManifest(const Json &value, ProblemList &problems);

/** The other way: sorted keys and lists, keys with their default value left out. */
Json toJson(const Organisation &organisation);
Json toJson(const Model &model);
Json toJson(const Endpoint &endpoint);
Json toJson(const Group &group);
Json toJson(const Service &service);

} // namespace magnolia::manifest

#endif
