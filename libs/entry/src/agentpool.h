#ifndef MAGNOLIA_ENTRY_AGENTPOOL_H
#define MAGNOLIA_ENTRY_AGENTPOOL_H

#include "base/clock.h"
#include "entry/requesttracker.h"
#include "policy/endpointchooser.h"
#include "wire/link.h"
#include "wire/loadedlist.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace magnolia::entry
{

/** An agent that this entry keeps a link to. */
struct AgentAddress {
    std::string name; ///< Instance name.
    std::string endpoint; ///< The manifest's name of its endpoint.
    std::string address; ///< "IP:PORT"
    policy::Distance distance = policy::Distance::SameDataCentre;

    bool operator==(const AgentAddress &) const = default;
};

/** What is known of one agent. */
struct Agent {
    AgentAddress at;
    policy::EndpointKey key = 0;
    std::unique_ptr<wire::LinkDialer> dialer;
    LinkId link = 0; ///< 0 while it is down.
    wire::Incarnation incarnation = 0; ///< Of the latest link.
    std::optional<wire::LoadReport> report; ///< Of the present link.
    wire::LoadedList loadedList; ///< Of the present link.
    std::unordered_set<std::string> loaded; ///< The report's, for lookups.
    MonoTime reportedAt;
    std::uint32_t ownInFlight = 0;
    std::uint32_t ownAtReport = 0;
    std::unordered_set<RequestId> requests; ///< Whose present attempt is there.
    std::vector<SendCancel> owedCancels; ///< To be sent once the link is back.

    bool isUp() const
    {
        return link != 0;
    }
    bool isLeaving() const
    {
        return report && report->leaving;
    }
};

/**
 * Keeps one link to each agent of the entry's subset.
 *
 * Owns the dialers; lives as long as the entry's task. Agents stay at their address in memory until retarget() drops them.
 */
class AgentPool
{
public:
    struct Callbacks {
        std::function<void(Agent &)> up;
        std::function<void(Agent &, LinkId ended)> down;
        std::function<void(Agent &)> lost; ///< A fresh connection failed too.
        std::function<void(Agent &, wire::Message &&)> message; ///< Any but a LoadReport.
        std::function<void(Agent &)> dropped; ///< About to be forgotten.
    };

    AgentPool(event_base *loop, wire::LinkOptions options, Callbacks callbacks);
    AgentPool(const AgentPool &) = delete;
    AgentPool &operator=(const AgentPool &) = delete;

    /** Dials what is new; drops what is gone, except agents whose link is up or that still work for us. */
    void retarget(const std::vector<AgentAddress> &wanted);

    Agent *find(std::string_view name);
    bool send(Agent &agent, const wire::Message &message);

    /** Sends a cancel now, or when the same incarnation is back. */
    void cancel(const SendCancel &cancel);

    const std::map<std::string, std::unique_ptr<Agent>, std::less<>> &agents() const
    {
        return agents_;
    }
    std::size_t linksUp() const
    {
        return linksUp_;
    }

private:
    void dial(const AgentAddress &address);
    void linkUp(Agent &agent, const wire::PeerInfo &peer);
    void linkDown(Agent &agent, const Failure &failure);
    void take(Agent &agent, wire::Message &&message);

    event_base *loop_;
    wire::LinkOptions options_;
    Callbacks callbacks_;
    std::map<std::string, std::unique_ptr<Agent>, std::less<>> agents_;
    LinkId lastLink_ = 0;
    std::size_t linksUp_ = 0;
};

} // namespace magnolia::entry

#endif
