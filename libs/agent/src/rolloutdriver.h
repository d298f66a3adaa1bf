#ifndef MAGNOLIA_AGENT_ROLLOUTDRIVER_H
#define MAGNOLIA_AGENT_ROLLOUTDRIVER_H

#include "agent/platformports.h"
#include "agent/rolloutgate.h"
#include "agent/rolloutpace.h"
#include "base/random.h"
#include "engine/enginestate.h"
#include "http/timer.h"
#include "manifest/manifestindex.h"
#include "peerwatch.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace magnolia::agent
{

/**
 * Carries out what the RolloutGates of one endpoint decide: reads and writes the slots, hears the peers, takes models out
 * of service. Lives with its AgentTask.
 */
class RolloutDriver
{
public:
    struct Ports {
        std::function<void(const std::set<std::string> &models)> hold{}; ///< Take no new work for these.
        std::function<std::uint32_t(const std::string &model)> open{}; ///< Attempts of it in progress.
        std::function<void()> lookSoon{}; ///< Look at the engine at once, not only at the next poll.
    };

    RolloutDriver(event_base *loop, std::string endpoint, wire::LinkOptions links, const PlatformPorts &platform, Ports ports);

    void setManifest(manifest::ManifestIndex::Pointer index);

    /** The engine was seen. @return models that may be taken out now: leave is given and nothing of them is in progress. */
    std::set<std::string> onSeen(const engine::EngineState &state);

    /** @return models that take no new work. */
    const std::set<std::string> &held() const;

private:
    struct Move {
        explicit Move(RolloutGate::Options options) : gate(std::move(options)) {}
        RolloutGate gate;
        bool busy = false; ///< A read or a write of the table is in progress.
        MonoTime leaveUntil; ///< Leave to move holds until then.
        RolloutPace pace; ///< The table is not asked before its time.
        bool waits = false; ///< Serves another version, as far as the last look knows.
        bool idle = false; ///< Neither a slot is held nor one is wanted: no need to ask again.
    };

    void look(const std::string &model, Move &move, const engine::ModelState *seen);
    bool isDue(const Move &move, bool mayAct) const;
    void onSlots(const std::string &model, const Result<std::map<std::string, store::Row>> &rows, RolloutView view, MonoTime readAt);
    void write(const std::string &model, const WriteSlot &slot);
    void watchPeers();
    void onPeersChanged();
    void wakeAt(MonoTime time);

    std::string endpoint_;
    const PlatformPorts &platform_;
    Ports ports_;
    PeerWatch peers_;
    Random random_;
    http::Timer wakeTimer_;
    MonoTime wakeTime_ = MonoTime::max(); ///< When wakeTimer_ ends.
    manifest::ManifestIndex::Pointer index_;
    std::map<std::string, Move> moves_; ///< Models that are not in their version here.
    std::set<std::string> looked_; ///< Models whose slots have been looked at since this agent started.
    std::set<std::string> held_;
    std::shared_ptr<RolloutDriver *> self_; ///< Replies may come after this is gone.
};

} // namespace magnolia::agent

#endif
