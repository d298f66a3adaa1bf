#ifndef MAGNOLIA_ENTRY_CALLRUNNER_H
#define MAGNOLIA_ENTRY_CALLRUNNER_H

#include "agentpool.h"
#include "callerreply.h"
#include "entry/callerrequest.h"
#include "entry/requesttracker.h"
#include "entrymetrics.h"
#include "http/timer.h"
#include "observe/trace.h"
#include "placement.h"
#include "policy/retrybudget.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace magnolia::entry
{

/**
 * Runs callers' requests: one RequestTracker for each, whose actions it carries out on links and callers' connections.
 *
 * Owns the requests in progress. Lives as long as the entry's task.
 */
class CallRunner
{
public:
    struct Options {
        std::size_t maxWholeBytes = 16U << 20U;
        std::size_t maxPendingBytes = 4U << 20U;
        policy::RetryBudget::Options refusals{}; ///< For attempts after a refusal; earned by successes.
        policy::RetryBudget::Options losses{.share = 1, .window = Duration(60000), .floorPerSecond = 1}; ///< After a loss; earned by first pieces.
    };

    CallRunner(event_base *loop, Options options, AgentPool &pool, Placement &placement, EntryMetrics &metrics, observe::Tracer &tracer);
    ~CallRunner();
    CallRunner(const CallRunner &) = delete;
    CallRunner &operator=(const CallRunner &) = delete;

    /** @param closeAfterwards the caller is asked to open a fresh connection for its next request. */
    void begin(const RequestId &id, const std::shared_ptr<http::Exchange> &exchange, CallerRequest request, bool closeAfterwards);

    void agentUp(Agent &agent);
    void linkDown(Agent &agent, LinkId ended);
    void agentLost(Agent &agent);
    void take(Agent &agent, wire::Message &&message);

    std::size_t inProgress() const
    {
        return calls_.size();
    }

private:
    struct Call;
    /** Retries of one model or service. */
    struct Budgets {
        policy::RetryBudget refusals;
        policy::RetryBudget losses;
    };
    using CallPointer = std::shared_ptr<Call>;

    CallPointer find(const RequestId &id) const;
    std::vector<CallPointer> callsAt(const Agent &agent) const;
    void carryOut(const CallPointer &call);
    void perform(Call &call, ChooseEndpoint &choose);
    void perform(Call &call, SendQuery &query);
    void perform(Call &call, SendAttach &attach);
    void perform(Call &call, SendCancel &cancel);
    void perform(Call &call, DeliverChunk &chunk);
    void perform(Call &call, Conclude &end);
    void dispatch(Call &call, Agent &agent, const ChooseEndpoint &choose);
    void leaveAgent(Call &call);
    void hungUp(const RequestId &id);
    void deadlinePassed(const RequestId &id);
    Budgets &budgetsOf(const Call &call);
    void forget(const CallPointer &call);
    bool isPaidFor(const Call &call, RetryReason reason);

    event_base *loop_;
    Options options_;
    AgentPool &pool_;
    Placement &placement_;
    EntryMetrics &metrics_;
    observe::Tracer &tracer_;
    std::unordered_map<RequestId, CallPointer> calls_;
    std::unordered_map<std::string, Budgets> budgets_; ///< By model or service.
};

} // namespace magnolia::entry

#endif
