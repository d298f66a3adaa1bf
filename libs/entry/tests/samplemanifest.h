#ifndef MAGNOLIA_ENTRY_TESTS_SAMPLEMANIFEST_H
#define MAGNOLIA_ENTRY_TESTS_SAMPLEMANIFEST_H

#include "manifest/digest.h"
#include "manifest/manifest.h"

#include <string>

namespace magnolia::entry::tests
{

inline const std::string PayingKey = "paying-key";
inline const std::string TrialKey = "trial-key";
inline const std::string LimitedKey = "limited-key";

inline manifest::Organisation organisation(const std::string &name, manifest::Tier tier, const std::string &key)
{
    manifest::Organisation made;
    made.name = name;
    made.tier = tier;
    made.keyHashes = {manifest::Digest::of(key).toString()};
    return made;
}

inline manifest::Endpoint modelEndpoint(const std::string &name)
{
    manifest::Endpoint made;
    made.name = name;
    made.dataCentre = "north";
    made.models = {"guide"};
    made.role = "any";
    return made;
}

inline manifest::Service service(const std::string &name, bool idempotent)
{
    manifest::Service made;
    made.name = name;
    made.idempotent = idempotent;
    made.safeMethods = {"GET", "HEAD"};
    return made;
}

inline manifest::Model model(const std::string &name, const std::string &version)
{
    manifest::Model made;
    made.name = name;
    made.version = version;
    return made;
}

/** Two engines of model "guide", a booking service that may not be repeated, a lookup service that may. */
inline manifest::Manifest sampleManifest()
{
    manifest::Manifest made;
    made.version = 7;
    made.organisations = {organisation("crew", manifest::Tier::Paying, PayingKey),
                          organisation("visitor", manifest::Tier::Trial, TrialKey),
                          organisation("limited", manifest::Tier::Trial, LimitedKey)};
    manifest::ModelAccess access;
    access.model = "guide";
    access.adapters = {"labels"};
    made.organisations[0].models = {access};
    made.organisations[0].services = {"booking", "lookup"};
    made.organisations[1].models = {access};
    made.organisations[1].models[0].adapters = {};
    made.organisations[2].models = {access};
    made.organisations[2].requestsPerSecond = 0.01;
    made.organisations[2].burst = 1;
    made.models = {model("guide", "3"), model("secret", "1")};
    made.models[0].adapters = {{.name = "labels", .version = "5"}, {.name = "caps", .version = "1"}};
    made.endpoints = {modelEndpoint("engine-1"), modelEndpoint("engine-2"), modelEndpoint("engine-3"), modelEndpoint("booking-1")};
    made.endpoints[2].models = {"secret"};
    made.endpoints[3].kind = manifest::EndpointKind::Service;
    made.endpoints[3].models = {};
    made.endpoints[3].role = {};
    made.endpoints[3].service = "booking";
    made.services = {service("booking", false), service("lookup", true)};
    return made;
}

} // namespace magnolia::entry::tests

#endif
