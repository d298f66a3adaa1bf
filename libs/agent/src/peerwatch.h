#ifndef MAGNOLIA_AGENT_PEERWATCH_H
#define MAGNOLIA_AGENT_PEERWATCH_H

#include "agent/platformports.h"
#include "http/timer.h"
#include "wire/link.h"
#include "wire/loadedlist.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace magnolia::agent
{

/**
 * Hears the load reports of other endpoints' agents while somebody wants them: only during a version change, so that the
 * ordinary cost is nothing. Finds them by the instance list and keeps a link to each. Lives with its AgentTask.
 */
class PeerWatch
{
public:
    /** @param onChange what a peer serves has changed, or was heard for the first time on a link. Called from a link. */
    PeerWatch(event_base *loop, wire::LinkOptions links, const PlatformPorts &platform, std::function<void()> onChange);

    /** @param endpoints whose agents are to be heard from now on; empty: none, all links are closed. */
    void watch(std::set<std::string> endpoints);

    /** @return those of the watched endpoints that report that they serve this model in some version and are not leaving. */
    std::set<std::string> serving(std::string_view model) const;

    /** @return those of serving() whose version is another one. */
    std::set<std::string> servingOther(std::string_view model, std::string_view version) const;

private:
    struct Peer {
        std::string endpoint;
        wire::LoadedList loaded; ///< Of the present link.
        std::unique_ptr<wire::LinkDialer> dialer;
        std::optional<wire::LoadReport> report; ///< Nothing while the link is down.
    };

    void look();
    void onInstances(const Result<std::vector<store::Instance>> &instances);
    void dial(const store::Instance &instance);
    void take(Peer &peer, wire::LoadReport &&report);

    event_base *loop_;
    wire::LinkOptions links_;
    const PlatformPorts &platform_;
    std::function<void()> onChange_;
    http::Timer lookTimer_;
    std::set<std::string> endpoints_;
    std::map<std::string, Peer> peers_; ///< By address.
    std::shared_ptr<PeerWatch *> self_; ///< Replies may come after this is gone.
};

} // namespace magnolia::agent

#endif
