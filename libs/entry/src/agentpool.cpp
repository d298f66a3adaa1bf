#include "agentpool.h"

#include "observe/log.h"

#include <algorithm>
#include <utility>

namespace magnolia::entry
{

namespace
{

constexpr std::size_t MaxOwedCancels = 1024;

std::shared_ptr<spdlog::logger> log()
{
    static const auto instance = observe::logger("link");
    return instance;
}

} // namespace

AgentPool::AgentPool(event_base *loop, wire::LinkOptions options, Callbacks callbacks)
    : loop_(loop), options_(std::move(options)), callbacks_(std::move(callbacks))
{
}

void AgentPool::retarget(const std::vector<AgentAddress> &wanted)
{
    for (auto known = agents_.begin(); known != agents_.end();) {
        Agent &agent = *known->second;
        const auto same = std::find_if(wanted.begin(), wanted.end(), [&agent](const AgentAddress &address) { return address.name == agent.at.name; });
        const bool isGone = same == wanted.end();
        const bool hasMoved = !isGone && *same != agent.at;
        // The list lags and has gaps; an agent that answers on its link is there, and work in progress is not cut off.
        const bool isInUse = !agent.requests.empty() || (isGone && agent.isUp() && !agent.isLeaving());
        if ((isGone || hasMoved) && !isInUse) {
            log()->info("Agent {} is dropped", agent.at.name);
            if (agent.isUp()) {
                --linksUp_;
            }
            callbacks_.dropped(agent);
            known = agents_.erase(known);
        } else {
            ++known;
        }
    }
    for (const AgentAddress &address : wanted) {
        if (agents_.find(address.name) == agents_.end()) {
            dial(address);
        }
    }
}

void AgentPool::dial(const AgentAddress &address)
{
    auto agent = std::make_unique<Agent>();
    agent->at = address;
    agent->key = policy::endpointKey(address.endpoint);
    Agent &known = *agents_.emplace(address.name, std::move(agent)).first->second;
    known.dialer = wire::LinkDialer::dial(loop_,
                                          address.address,
                                          options_,
                                          {
                                              .onUp = [this, &known](const wire::PeerInfo &peer) { linkUp(known, peer); },
                                              .onMessage = [this, &known](wire::Message &&message) { take(known, std::move(message)); },
                                              .onDown = [this, &known](const Failure &failure) { linkDown(known, failure); },
                                              .onPeerLost =
                                                  [this, &known](const Failure &failure) {
                                                      log()->warn("Agent {} can't be reached: {}", known.at.name, failure.detail);
                                                      callbacks_.lost(known);
                                                  },
                                          });
}

void AgentPool::linkUp(Agent &agent, const wire::PeerInfo &peer)
{
    agent.link = ++lastLink_;
    agent.incarnation = peer.incarnation;
    agent.report.reset();
    agent.loadedList = {};
    agent.loaded.clear();
    ++linksUp_;
    log()->info("Agent {} is up, incarnation {}", agent.at.name, agent.incarnation);
    for (const SendCancel &owed : std::exchange(agent.owedCancels, {})) {
        if (owed.incarnation == agent.incarnation) {
            agent.dialer->send(owed.cancel);
        }
    }
    callbacks_.up(agent);
}

void AgentPool::linkDown(Agent &agent, const Failure &failure)
{
    const LinkId ended = std::exchange(agent.link, 0);
    if (ended == 0) {
        return;
    }
    --linksUp_;
    log()->warn("Link to agent {} ended: {} {}", agent.at.name, failure.code.message(), failure.detail);
    callbacks_.down(agent, ended);
}

void AgentPool::take(Agent &agent, wire::Message &&message)
{
    auto *report = std::get_if<wire::LoadReport>(&message);
    if (report == nullptr) {
        callbacks_.message(agent, std::move(message));
        return;
    }
    const bool isListNew = !report->sameLoaded;
    agent.loadedList.restore(*report);
    if (isListNew || !agent.report) {
        agent.loaded = {report->loaded.begin(), report->loaded.end()};
    }
    agent.report = std::move(*report);
    agent.reportedAt = MonoClock::now();
    agent.ownAtReport = agent.ownInFlight;
}

Agent *AgentPool::find(std::string_view name)
{
    const auto found = agents_.find(name);
    return found == agents_.end() ? nullptr : found->second.get();
}

bool AgentPool::send(Agent &agent, const wire::Message &message)
{
    return agent.isUp() && agent.dialer->send(message);
}

void AgentPool::cancel(const SendCancel &cancel)
{
    Agent *agent = find(cancel.agent);
    if (agent == nullptr) {
        return;
    }
    const bool isSameProcess = agent->incarnation == cancel.incarnation;
    if (isSameProcess && !send(*agent, cancel.cancel) && agent->owedCancels.size() < MaxOwedCancels) {
        agent->owedCancels.push_back(cancel);
    }
}

} // namespace magnolia::entry
