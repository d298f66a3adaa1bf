#ifndef MAGNOLIA_AGENT_RECONCILER_H
#define MAGNOLIA_AGENT_RECONCILER_H

#include "engine/enginestate.h"
#include "manifest/manifestindex.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace magnolia::agent
{

/** A model that an engine shall serve. */
struct DesiredModel {
    std::string name{};
    std::string version{};
    std::vector<engine::AdapterState> adapters{};
};

/** What the manifest wants of one engine. */
struct DesiredEngine {
    std::string role = "any";
    std::vector<DesiredModel> models{};
};

/** @return what the manifest wants of that endpoint; nothing at all if it isn't in the manifest. */
DesiredEngine desiredEngine(const manifest::ManifestIndex &index, std::string_view endpoint);

/** What is to be done at an engine. */
struct ReconcilePlan {
    std::vector<engine::EngineOrder> orders{}; ///< In the order in which they are best given.
    std::set<std::string> replaces{}; ///< Models that serve another version; they need leave to go out of service.
    bool converged = false; ///< What was seen is what is wanted, and it serves.
};

/**
 * Works out what differs between what an engine has and what the manifest wants.
 *
 * Pure and without memory: worked out afresh from each state that is seen, so that an order that was lost, refused or
 * done twice, an engine that was restarted and an agent that was replaced all end in the same place.
 *
 * @param waiting how many callers wait for each model; what more of them wait for is loaded first.
 * @param mayReplace models that have leave to go out of service for another version.
 */
ReconcilePlan reconcile(const DesiredEngine &desired,
                        const engine::EngineState &seen,
                        const std::map<std::string, std::uint32_t> &waiting,
                        const std::set<std::string> &mayReplace);

/** @return what a load report says of a state: "model@version" and "model/adapter@version" of what serves. */
std::vector<std::string> loadedNames(const engine::EngineState &seen);

} // namespace magnolia::agent

#endif
