#ifndef MAGNOLIA_MANIFEST_MANIFEST_H
#define MAGNOLIA_MANIFEST_MANIFEST_H

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/** The manifest as plain values: the whole truth about what runs where, and who may reach it. */
namespace magnolia::manifest
{

enum class Tier : std::uint8_t {
    Paying = 0,
    Trial = 1,
};

/** What an organisation may reach of one model. Empty adapters: the bare model only; "*" means all of them. */
struct ModelAccess {
    std::string model;
    std::vector<std::string> adapters;
    std::vector<std::string> versions; ///< Empty: the current version only.
};

struct Organisation {
    std::string name;
    Tier tier = Tier::Trial;
    std::uint32_t weight = 1; ///< Share within its tier, 1 to 1000.
    std::vector<std::string> keyHashes; ///< SHA-256 of its bearer keys, lower-case hexadecimal.
    std::vector<ModelAccess> models;
    std::vector<std::string> services; ///< Names of the plain services it may call.
    double requestsPerSecond = 0; ///< Cheap first cut at the entry; 0: none.
    double burst = 0;
};

struct Adapter {
    std::string name;
    std::string version;
};

struct Model {
    std::string name;
    std::string version; ///< The version that every endpoint of it shall serve.
    std::vector<Adapter> adapters;
    std::uint32_t servingFloor = 1; ///< A rolling version change keeps at least so many endpoints serving.
    std::uint32_t maxMoving = 1; ///< A rolling version change takes at most so many out at once.
};

enum class EndpointKind : std::uint8_t {
    Model = 0,
    Service = 1,
};

struct Endpoint {
    std::string name;
    std::string dataCentre;
    EndpointKind kind = EndpointKind::Model;
    std::vector<std::string> models; ///< Models that it serves; for EndpointKind::Model.
    std::string service; ///< For EndpointKind::Service.
    std::string role; ///< Engine role: "any", "prefill" or "decode".
    std::uint32_t concurrency = 8; ///< Requests that it runs at once.
    bool checksFencing = false; ///< Its engine refuses orders with an old fencing number.
    std::string group; ///< Group of ranks it belongs to; empty for none.
    std::uint32_t rank = 0;
};

/** A group of ranks that advance in lock-step on one expert map. */
struct Group {
    std::string name;
    std::uint32_t ranks = 0;
    std::uint32_t layers = 1;
    std::uint32_t experts = 0;
    std::uint32_t slotsPerRank = 0; ///< Expert replicas that a rank can hold, per layer.
    double skewWeight = 1; ///< What a unit of step-time skew costs this deployment, per second.
    double rebalanceWeight = 1; ///< What a gigabyte moved costs it.
};

struct Service {
    std::string name;
    bool idempotent = true; ///< False: calls need an Idempotency-Key, except by methods in safeMethods.
    std::vector<std::string> safeMethods; ///< Methods that never need one: "GET", "HEAD"...
    Duration timeout{30000}; ///< Default deadline of a call.
};

/** A checked manifest. Names are unique within each list. */
struct Manifest {
    std::uint64_t version = 0; ///< Given by the head row; 0: none.
    std::vector<Organisation> organisations;
    std::vector<Model> models;
    std::vector<Endpoint> endpoints;
    std::vector<Group> groups;
    std::vector<Service> services;
};

} // namespace magnolia::manifest

#endif
