#include "placement.h"

#include <fmt/format.h>

#include <algorithm>

namespace magnolia::entry
{

namespace
{

std::string loadedName(const Wanted &wanted)
{
    return wanted.adapter.empty() ? std::string(wanted.model) : fmt::format("{}/{}", wanted.model, wanted.adapter);
}

/** @return why the agent can't take it now; empty if it can. */
std::string_view obstacle(const Agent &agent, const Wanted &wanted)
{
    if (!agent.isUp()) {
        return "its link is down";
    }
    if (!agent.report) {
        return {}; // It says so itself if it can't.
    }
    if (agent.report->leaving) {
        return "it is leaving";
    }
    if (wanted.model.empty()) {
        return agent.report->serving ? std::string_view{} : "its endpoint is not serving";
    }
    // Not "serving": while a version moves, endpoints that still have the former one go on with it.
    const std::string served = Placement::servedVersion(agent, wanted);
    const bool isLoaded = !served.empty() || (wanted.version.empty() && agent.loaded.contains(loadedName(wanted)));
    if (!isLoaded) {
        return "it has not loaded the model, adapter or version";
    }
    return {};
}

} // namespace

Placement::Placement(const policy::EndpointChooser::Options &options, Random random) : chooser_(options), random_(random) {}

void Placement::invalidate(manifest::ManifestIndex::Pointer index, const AgentPool &pool)
{
    index_ = std::move(index);
    pool_ = &pool;
    byModel_.clear();
    byService_.clear();
}

const std::vector<Agent *> &Placement::agentsOf(const Wanted &wanted)
{
    const bool isModel = !wanted.model.empty();
    auto &cache = isModel ? byModel_ : byService_;
    const auto [found, isNew] = cache.try_emplace(std::string(isModel ? wanted.model : wanted.service));
    if (isNew && index_ != nullptr) {
        const auto endpoints = isModel ? index_->endpointsOfModel(wanted.model) : index_->endpointsOfService(wanted.service);
        for (const auto &[name, agent] : pool_->agents()) {
            const auto isIts = [&endpoint = agent->at.endpoint](const manifest::Endpoint *candidate) { return candidate->name == endpoint; };
            if (std::any_of(endpoints.begin(), endpoints.end(), isIts)) {
                found->second.push_back(agent.get());
            }
        }
    }
    return found->second;
}

policy::Candidate Placement::candidateOf(const Agent &agent) const
{
    policy::Candidate candidate{.endpoint = agent.key,
                                .ownInFlight = agent.ownInFlight,
                                .reportedLoad = 0,
                                .ownAtReport = agent.ownAtReport,
                                .limit = 1,
                                .reportedAt = {},
                                .distance = agent.at.distance};
    if (agent.report) {
        candidate.reportedLoad = agent.report->running + agent.report->queuedPaying + agent.report->queuedTrial;
        candidate.limit = std::max(agent.report->limit, 1U);
        candidate.reportedAt = agent.reportedAt;
    }
    return candidate;
}

Agent *Placement::choose(const Wanted &wanted, std::optional<std::uint64_t> prefix, std::span<const policy::EndpointKey> tried, MonoTime now)
{
    usable_.clear();
    candidates_.clear();
    for (Agent *agent : agentsOf(wanted)) {
        if (obstacle(*agent, wanted).empty()) {
            usable_.push_back(agent);
            candidates_.push_back(candidateOf(*agent));
        }
    }
    const auto choices = chooser_.choose({.prefix = prefix, .tried = tried, .cacheHints = {}}, candidates_, now, random_);
    return choices.empty() ? nullptr : usable_[choices.front().index];
}

std::vector<Explanation> Placement::explain(const Wanted &wanted, std::optional<std::uint64_t> prefix, MonoTime now)
{
    std::vector<Explanation> excluded;
    usable_.clear();
    candidates_.clear();
    for (Agent *agent : agentsOf(wanted)) {
        const std::string_view reason = obstacle(*agent, wanted);
        if (reason.empty()) {
            usable_.push_back(agent);
            candidates_.push_back(candidateOf(*agent));
        } else {
            excluded.push_back({.agent = agent->at.name, .endpoint = agent->at.endpoint, .score = 0, .reason = std::string(reason), .isCandidate = false});
        }
    }
    std::vector<Explanation> lines;
    for (const policy::Choice &choice : chooser_.explain({.prefix = prefix, .tried = {}, .cacheHints = {}}, candidates_, now, random_)) {
        const Agent &agent = *usable_[choice.index];
        lines.push_back({.agent = agent.at.name,
                         .endpoint = agent.at.endpoint,
                         .score = choice.score,
                         .reason = std::string(policy::toString(choice.reason)),
                         .isCandidate = true});
    }
    lines.insert(lines.end(), excluded.begin(), excluded.end());
    return lines;
}

std::string Placement::servedVersion(const Agent &agent, const Wanted &wanted)
{
    const std::string prefix = loadedName(wanted) + '@';
    if (!wanted.version.empty()) {
        return agent.loaded.contains(prefix + std::string(wanted.version)) ? std::string(wanted.version) : std::string{};
    }
    for (const std::string &loaded : agent.loaded) {
        if (loaded.starts_with(prefix)) {
            return loaded.substr(prefix.size());
        }
    }
    return {};
}

} // namespace magnolia::entry
