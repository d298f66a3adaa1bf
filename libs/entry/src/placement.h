#ifndef MAGNOLIA_ENTRY_PLACEMENT_H
#define MAGNOLIA_ENTRY_PLACEMENT_H

#include "agentpool.h"
#include "base/random.h"
#include "manifest/manifestindex.h"
#include "policy/endpointchooser.h"

#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace magnolia::entry
{

/** What an endpoint must offer to serve a request. */
struct Wanted {
    std::string_view model; ///< Empty for a service call.
    std::string_view adapter;
    std::string_view version; ///< Empty: any that the endpoint serves.
    std::string_view service;
};

/** One line of the answer to an operator who asks why a request would go where. */
struct Explanation {
    std::string agent;
    std::string endpoint;
    double score = 0;
    std::string reason;
    bool isCandidate = false;
};

/**
 * Chooses an agent among those that serve a request.
 *
 * The agents of each model and service are looked up once after each change of manifest or links, so that a request
 * costs its own candidates only.
 */
class Placement
{
public:
    Placement(const policy::EndpointChooser::Options &options, Random random);

    /** The manifest or the set of agents has changed. */
    void invalidate(manifest::ManifestIndex::Pointer index, const AgentPool &pool);

    /** @param tried not to be chosen again. @return null if no agent is left that can take it now. */
    Agent *choose(const Wanted &wanted, std::optional<std::uint64_t> prefix, std::span<const policy::EndpointKey> tried, MonoTime now);

    std::vector<Explanation> explain(const Wanted &wanted, std::optional<std::uint64_t> prefix, MonoTime now);

    /** @return the version that the agent serves of the wanted model or adapter; empty if it says none. */
    static std::string servedVersion(const Agent &agent, const Wanted &wanted);

private:
    const std::vector<Agent *> &agentsOf(const Wanted &wanted);
    policy::Candidate candidateOf(const Agent &agent) const;

    policy::EndpointChooser chooser_;
    Random random_;
    manifest::ManifestIndex::Pointer index_;
    const AgentPool *pool_ = nullptr;
    std::unordered_map<std::string, std::vector<Agent *>> byModel_;
    std::unordered_map<std::string, std::vector<Agent *>> byService_;
    std::vector<Agent *> usable_; ///< Scratch, parallel to candidates_.
    std::vector<policy::Candidate> candidates_;
};

} // namespace magnolia::entry

#endif
