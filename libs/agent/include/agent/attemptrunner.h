#ifndef MAGNOLIA_AGENT_ATTEMPTRUNNER_H
#define MAGNOLIA_AGENT_ATTEMPTRUNNER_H

#include "agent/answerstore.h"
#include "agent/attemptledger.h"
#include "agent/platformports.h"
#include "engine/engineclient.h"
#include "engine/enginestate.h"
#include "manifest/manifestindex.h"
#include "observe/metrics.h"
#include "observe/trace.h"
#include "policy/admissionqueue.h"
#include "wire/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

struct event_base;

namespace magnolia::agent
{

/** Names one link of the agent; never 0, never used again. */
using LinkId = std::uint64_t;

/**
 * Runs attempts at one endpoint: admission, the call, the claim of calls that may not be repeated, chunks and the end.
 *
 * Sends by the ports it is given and knows no link. Lives as long as its AgentTask, on one event loop.
 */
class AttemptRunner
{
public:
    struct Options {
        std::string endpoint{}; ///< The manifest's name of it.
        wire::Incarnation incarnation = 0;
        AttemptLedger::Options ledger{};
        AnswerStore::Options answers{};
        policy::AdmissionQueue::Options queue{};
        Duration orphanGrace{10000}; ///< An attempt whose link broke is stopped if nobody asks for it for so long.
        Duration longestTick{2000}; ///< A longer gap between two ticks was a pause of the process.
        Duration refusalRetryAfter{1000}; ///< Told where the endpoint lacks something that is on its way.
    };

    struct Ports {
        std::function<void(LinkId link, const wire::Message &message)> send{};
        std::function<void()> loadChanged{}; ///< Something of the load report changed that entries should hear at once.
    };

    AttemptRunner(event_base *loop,
                  const Options &options,
                  engine::EngineClient &engine,
                  PlatformPorts platform,
                  Ports ports,
                  observe::Metrics &metrics,
                  observe::Tracer &tracer);
    ~AttemptRunner();
    AttemptRunner(const AttemptRunner &) = delete;
    AttemptRunner &operator=(const AttemptRunner &) = delete;

    void dispatch(LinkId link, wire::Dispatch dispatch);
    void cancel(const wire::Cancel &cancel);
    void query(LinkId link, const wire::Query &query);
    void attach(LinkId link, const wire::Attach &attach);
    void linkDown(LinkId link);

    void setManifest(manifest::ManifestIndex::Pointer index);

    /** @param state as last seen; nothing if the engine did not answer, or if the endpoint is a plain service. */
    void setEngineState(std::optional<engine::EngineState> state);

    /** Takes no new work for these models, which are about to change their version. */
    void hold(std::set<std::string> models);

    /** Calls time out, orphans end, memory is freed. Call it about ten times a second. */
    void tick();

    /** Takes no new work; what is queued is refused, what runs ends. */
    void drain();

    /** @return true if no attempt is open and no claim is being settled. */
    bool isIdle() const;

    policy::QueueLoad load() const;
    std::size_t openAttempts() const;

    /** @return queued and lately refused requests of each model. */
    std::map<std::string, std::uint32_t> waitingByModel() const;

    /** @return how many attempts of a model are queued or at the engine. */
    std::uint32_t openOf(const std::string &model) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace magnolia::agent

#endif
