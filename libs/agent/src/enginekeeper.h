#ifndef MAGNOLIA_AGENT_ENGINEKEEPER_H
#define MAGNOLIA_AGENT_ENGINEKEEPER_H

#include "agent/fenceacquirer.h"
#include "agent/platformports.h"
#include "agent/reconciler.h"
#include "engine/engineclient.h"
#include "http/timer.h"
#include "manifest/manifestindex.h"
#include "observe/metrics.h"
#include "policy/backoff.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace magnolia::agent
{

/**
 * Brings one endpoint to what the manifest says and keeps it there: looks, orders what differs, looks again.
 *
 * Holds nothing that must last. Gives no order before it has a fencing number. Lives with its AgentTask.
 */
class EngineKeeper
{
public:
    struct Options {
        std::string endpoint{};
        wire::Incarnation incarnation = 0;
        Duration pollInterval{1000};
        Duration pollAfterOrder{100};
        policy::Backoff::Options weightStoreBackoff{.base = Duration(500), .limit = Duration(30000)};
        policy::Backoff::Options tableBackoff{.base = Duration(200), .limit = Duration(5000)};
    };

    struct Ports {
        std::function<void(const std::optional<engine::EngineState> &state, bool serving)> seen{};
        std::function<std::map<std::string, std::uint32_t>()> waiting{};
        std::function<std::set<std::string>(const engine::EngineState &state)> mayReplace{}; ///< Models that may go out of service now.
    };

    EngineKeeper(event_base *loop, Options options, engine::EngineClient &engine, const PlatformPorts &platform, Ports ports, observe::Metrics &metrics);

    void start();
    void setManifest(manifest::ManifestIndex::Pointer index);
    std::optional<std::uint64_t> fence() const;

    /** Looks at the engine at once, or soon after what is in progress. */
    void lookSoon();

private:
    using Weak = std::weak_ptr<EngineKeeper *>;

    void poll();
    void pollIn(Duration delay);
    void onState(const Result<engine::EngineState> &state);
    void onProbed(bool alive);
    void act(const ReconcilePlan &plan);
    void order(const engine::EngineOrder &order);
    void send(const engine::EngineOrder &order);
    void onOrdered(const engine::EngineOrder &order, const Result<void> &result);
    void onStaleFence();
    void stopOrders();
    void acquireFence();
    void onFenceRow(const std::optional<store::Row> &row);
    void retryFence();
    const manifest::Endpoint *endpoint() const;

    Options options_;
    engine::EngineClient &engine_;
    const PlatformPorts &platform_;
    Ports ports_;
    Random random_;
    FenceAcquirer acquirer_;
    policy::Backoff tableBackoff_;
    policy::Backoff storeBackoff_;
    http::Timer pollTimer_;
    http::Timer fenceTimer_;
    manifest::ManifestIndex::Pointer index_;
    MonoTime loadsFrom_; ///< The weight store has refused; no loads before.
    std::uint64_t highestSeen_ = 0;
    bool polling_ = false;
    bool superseded_ = false;
    std::string lastOrder_;
    observe::Counter &orders_;
    observe::Counter &refusedOrders_;
    std::shared_ptr<EngineKeeper *> self_; ///< Replies may come after this is gone.
};

} // namespace magnolia::agent

#endif
