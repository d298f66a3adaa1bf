#ifndef MAGNOLIA_MANIFEST_SAMPLEMANIFEST_H
#define MAGNOLIA_MANIFEST_SAMPLEMANIFEST_H

#include "manifest/digest.h"
#include "manifest/manifest.h"

#include <cstddef>
#include <string>

namespace magnolia::manifest
{

/** @return the bearer key of organisation number i of sampleManifest(). */
inline std::string sampleKey(std::size_t i)
{
    return "key-" + std::to_string(i);
}

inline Organisation sampleOrganisation(std::size_t i)
{
    Organisation organisation;
    organisation.name = "organisation-" + std::to_string(i);
    organisation.tier = i % 4 == 0 ? Tier::Paying : Tier::Trial;
    organisation.weight = static_cast<std::uint32_t>(1 + i % 10);
    organisation.keyHashes = {Digest::of(sampleKey(i)).toString()};
    organisation.models = {{.model = "guide", .adapters = {"labels"}, .versions = {}}};
    organisation.services = {"bookings"};
    organisation.requestsPerSecond = 20;
    organisation.burst = 40;
    return organisation;
}

/** A checked manifest: two models, a group of two ranks, an engine on its own, one service. */
inline Manifest sampleManifest(std::size_t organisations, std::uint64_t version = 1)
{
    Manifest manifest;
    manifest.version = version;
    for (std::size_t i = 0; i < organisations; ++i) {
        manifest.organisations.push_back(sampleOrganisation(i));
    }
    manifest.models = {{.name = "guide",
                        .version = "7",
                        .adapters = {{.name = "labels", .version = "2"}, {.name = "torque", .version = "1"}},
                        .servingFloor = 1,
                        .maxMoving = 1},
                       {.name = "quotes", .version = "3", .adapters = {}, .servingFloor = 1, .maxMoving = 1}};
    manifest.services = {{.name = "bookings", .idempotent = false, .safeMethods = {"GET"}, .timeout = Duration(10000)},
                         {.name = "records", .idempotent = true, .safeMethods = {}, .timeout = Duration(30000)}};
    manifest.groups = {{.name = "g", .ranks = 2, .layers = 2, .experts = 8, .slotsPerRank = 6, .skewWeight = 1, .rebalanceWeight = 2}};
    for (std::uint32_t i = 0; i < 3; ++i) {
        Endpoint endpoint;
        endpoint.name = "engine-" + std::to_string(i);
        endpoint.dataCentre = "north";
        endpoint.models = {i < 2 ? "guide" : "quotes"};
        endpoint.role = "any";
        endpoint.group = i < 2 ? "g" : "";
        endpoint.rank = i < 2 ? 1 - i : 0;
        manifest.endpoints.push_back(endpoint);
    }
    Endpoint service;
    service.name = "bookings-1";
    service.dataCentre = "south";
    service.kind = EndpointKind::Service;
    service.service = "bookings";
    manifest.endpoints.push_back(service);
    return manifest;
}

} // namespace magnolia::manifest

#endif
